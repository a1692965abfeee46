import { MAX_BATCH_RECORDS, type ReplicationBatch } from './messages.js';
import type { ReplicationRecord } from './replicationrecord.js';

/** The most records that wait to be acknowledged; beyond this the stream begins anew rather than grow. */
const MAX_QUEUED_RECORDS = 6000;
/** Records of a snapshot that are drawn at once, so that it takes its turns beside all else. */
const SNAPSHOT_CHUNK_RECORDS = 200;

/** Where a standby learns what there is. */
export interface ReplicationSource {
  /** All that a standby has to know now; drawn piece by piece, each record as of when it is drawn. */
  snapshot(): Iterator<ReplicationRecord>;
}

/** A start that is announced before its order is sent. */
export interface TaskStart {
  readonly job: string;
  readonly machine: string;
}

/** An announcement that waits for its acknowledgement. */
interface Announcement {
  /** All records before this sequence number have to be acknowledged. */
  nextSequence: number;
  readonly settle: (mayStart: boolean) => void;
}

/**
 * The owner's side of what a standby follows: a stream of records in order, of which one message is under way at a time.
 * It begins with a snapshot in pieces; records of what happens meanwhile come between the pieces, each later than what it
 * changes, so that the last word on anything is the newest.
 */
export class ReplicationStream {
  private queue: ReplicationRecord[] = [];
  /** Sequence number of the first record in the queue. */
  private firstSequence = 0;
  private snapshot: Iterator<ReplicationRecord> | null = null;
  /** The standby may take itself for one in sync: what may be started has to be announced and acknowledged before. */
  private mayBeInSync = false;
  /** Where the newest stream begins; a standby in sync before it is so until that has been acknowledged. */
  private beganAt = 0;
  private announcements: Announcement[] = [];
  private closed = false;
  /** Streams begun since the standby was named. */
  streams = 0;

  constructor(private readonly source: ReplicationSource) {
    this.begin();
  }

  /** Begins anew with a snapshot: whatever is queued is dropped, since the snapshot says it all. */
  begin(): void {
    this.streams++;
    this.firstSequence += this.queue.length;
    this.queue = [{ kind: 'snapshotBegin' }];
    this.beganAt = this.firstSequence;
    this.snapshot = this.source.snapshot();
    // What waits to be started is in the new snapshot, or the standby is no longer in sync before it starts.
    for (const a of this.announcements) a.nextSequence = this.beganAt + 1;
  }

  /** Adds a record of what has changed just now. */
  add(record: ReplicationRecord): void {
    if (this.closed) return;
    this.queue.push(record);
    if (this.queue.length > MAX_QUEUED_RECORDS) this.begin();
  }

  /**
   * Says where tasks may be started before their orders are sent. Null when that need not be waited for; else true once no
   * standby can take over without knowing, false when it is not to be started any more.
   */
  announce(starts: readonly TaskStart[]): Promise<boolean> | null {
    if (this.closed) return null;
    const seen = new Set<string>();
    for (const { job, machine } of starts) {
      const key = `${job} ${machine}`;
      if (!seen.has(key)) this.add({ kind: 'mayRunOn', job, machine });
      seen.add(key);
    }
    if (!this.mayBeInSync) return null;
    return new Promise((settle) => {
      this.announcements.push({ nextSequence: this.firstSequence + this.queue.length, settle });
    });
  }

  /** Whether something waits that should not wait for the next regular message. */
  get urgent(): boolean {
    return this.announcements.length > 0 || this.snapshot !== null;
  }

  /** Whether the standby has all that there is. */
  get inSync(): boolean {
    return this.mayBeInSync && this.snapshot === null && this.queue.length === 0;
  }

  /** Records that are not acknowledged yet. */
  get unacknowledged(): number {
    return this.queue.length;
  }

  /** What the next message holds. */
  batch(): ReplicationBatch {
    for (
      let i = 0;
      this.snapshot && i < SNAPSHOT_CHUNK_RECORDS && this.queue.length < MAX_BATCH_RECORDS;
      i++
    ) {
      const drawn = this.snapshot.next();
      if (!drawn.done) {
        this.queue.push(drawn.value);
        continue;
      }
      this.snapshot = null;
      this.queue.push({ kind: 'inSync' });
      this.mayBeInSync = true;
    }
    return { from: this.firstSequence, records: this.queue.slice(0, MAX_BATCH_RECORDS) };
  }

  /** The standby has all records before `nextSequence`. */
  acknowledge(nextSequence: number): void {
    if (nextSequence > this.firstSequence + this.queue.length) return;
    if (nextSequence < this.firstSequence) {
      // It lacks what is kept no more; unless that was before a stream that it has not seen yet.
      if (this.queue[0]?.kind !== 'snapshotBegin') this.begin();
      return;
    }
    this.queue.splice(0, nextSequence - this.firstSequence);
    this.firstSequence = nextSequence;
    // It has forgotten what it had, and is in sync again only with the mark of the new stream.
    if (nextSequence > this.beganAt && this.snapshot !== null) this.mayBeInSync = false;
    this.settle((a) => a.nextSequence <= nextSequence, true);
  }

  /**
   * Ends the stream. What was announced may start when no standby can take over any more (`mayStart`), and may not when
   * this owner has ceased to act.
   */
  close(mayStart: boolean): void {
    this.closed = true;
    this.queue = [];
    this.snapshot = null;
    this.settle(() => true, mayStart);
  }

  private settle(isSettled: (a: Announcement) => boolean, mayStart: boolean): void {
    const settled = this.announcements.filter(isSettled);
    if (settled.length === 0) return;
    this.announcements = this.announcements.filter((a) => !isSettled(a));
    for (const a of settled) a.settle(mayStart);
  }
}
