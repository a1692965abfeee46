import { MAX_BATCH_RECORDS, type ReplicationBatch } from './messages.js';
import type { ReplicationRecord } from './replicationrecord.js';

/**
 * Maximum number of unacknowledged records. Beyond this the stream restarts with a snapshot instead of growing.
 */
const MAX_QUEUED_RECORDS = 6000;
/** Maximum number of snapshot records read per message, so that a snapshot does not block other work. */
const SNAPSHOT_CHUNK_RECORDS = 200;

/** Source of the state that a standby replicates. */
export interface ReplicationSource {
  /**
   * Returns an iterator over the complete state that a standby needs. It is consumed in pieces; each record
   * reflects the state at the time it is read.
   */
  snapshot(): Iterator<ReplicationRecord>;
}

/** A task start that is announced to the standby before the start command is sent. */
export interface TaskStart {
  readonly job: string;
  readonly machine: string;
}

/** An announcement that has not been acknowledged yet. */
interface Announcement {
  /** All records before this sequence number have to be acknowledged. */
  nextSequence: number;
  readonly settle: (mayStart: boolean) => void;
}

/**
 * The owner's side of the replication of one shard: an ordered stream of records, with one message in flight at
 * a time. The stream begins with a snapshot sent in pieces. Records of concurrent changes are sent between the
 * pieces, each after the record whose content it changes, so the last record about an item is always the
 * newest.
 */
export class ReplicationStream {
  private queue: ReplicationRecord[] = [];
  /** Sequence number of the first record in the queue. */
  private firstSequence = 0;
  private snapshot: Iterator<ReplicationRecord> | null = null;
  /**
   * Whether the standby may consider itself in sync. If so, each start has to be announced and acknowledged
   * before its command is sent.
   */
  private mayBeInSync = false;
  /**
   * Sequence number at which the newest snapshot begins. A standby that was in sync before remains so until
   * this record is acknowledged.
   */
  private snapshotSequence = 0;
  private announcements: Announcement[] = [];
  private closed = false;
  /** Number of snapshots begun since the standby was named. */
  streams = 0;

  constructor(private readonly source: ReplicationSource) {
    this.begin();
  }

  /**
   * Restarts the stream with a new snapshot. Queued records are dropped because the snapshot contains their
   * information.
   */
  begin(): void {
    this.streams++;
    this.firstSequence += this.queue.length;
    this.queue = [{ kind: 'snapshotBegin' }];
    this.snapshotSequence = this.firstSequence;
    this.snapshot = this.source.snapshot();
    // Pending announcements now wait for the start of the new snapshot to be acknowledged: either the snapshot
    // contains the announced start, or the standby has ceased to be in sync before the task is started.
    for (const announcement of this.announcements) announcement.nextSequence = this.snapshotSequence + 1;
  }

  /** Adds a record of a change that has just been made. */
  add(record: ReplicationRecord): void {
    if (this.closed) return;
    this.queue.push(record);
    if (this.queue.length > MAX_QUEUED_RECORDS) this.begin();
  }

  /**
   * Announces where tasks may be started, before their commands are sent. Returns null if the caller need not
   * wait. Otherwise the promise resolves to true once no standby can take over without knowing of the starts,
   * and to false if the tasks must no longer be started.
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

  /** Whether something is waiting that should not be delayed until the next heartbeat. */
  get urgent(): boolean {
    return this.announcements.length > 0 || this.snapshot !== null;
  }

  /** Whether the standby has acknowledged the complete state. */
  get inSync(): boolean {
    return this.mayBeInSync && this.snapshot === null && this.queue.length === 0;
  }

  /** Number of records that have not been acknowledged yet. */
  get unacknowledged(): number {
    return this.queue.length;
  }

  /** Returns the records of the next message. */
  batch(): ReplicationBatch {
    for (
      let i = 0;
      this.snapshot && i < SNAPSHOT_CHUNK_RECORDS && this.queue.length < MAX_BATCH_RECORDS;
      i++
    ) {
      const next = this.snapshot.next();
      if (!next.done) {
        this.queue.push(next.value);
        continue;
      }
      this.snapshot = null;
      this.queue.push({ kind: 'inSync' });
      this.mayBeInSync = true;
    }
    return { from: this.firstSequence, records: this.queue.slice(0, MAX_BATCH_RECORDS) };
  }

  /** Handles the acknowledgement of all records before `nextSequence`. */
  acknowledge(nextSequence: number): void {
    if (nextSequence > this.firstSequence + this.queue.length) return;
    if (nextSequence < this.firstSequence) {
      // The standby lacks records that are no longer queued, so the stream restarts, unless a new snapshot is
      // already queued that the standby has not received yet.
      if (this.queue[0]?.kind !== 'snapshotBegin') this.begin();
      return;
    }
    this.queue.splice(0, nextSequence - this.firstSequence);
    this.firstSequence = nextSequence;
    // The standby has discarded its former state at the start of the new snapshot. It is in sync again only
    // after the `inSync` record of that snapshot.
    if (nextSequence > this.snapshotSequence && this.snapshot !== null) this.mayBeInSync = false;
    this.settle((announcement) => announcement.nextSequence <= nextSequence, true);
  }

  /**
   * Ends the stream. Pending announcements resolve to `mayStart`: true if no standby can take over any more,
   * false if this owner has ceased to act.
   */
  close(mayStart: boolean): void {
    this.closed = true;
    this.queue = [];
    this.snapshot = null;
    this.settle(() => true, mayStart);
  }

  private settle(isSettled: (announcement: Announcement) => boolean, mayStart: boolean): void {
    const settled = this.announcements.filter(isSettled);
    if (settled.length === 0) return;
    this.announcements = this.announcements.filter((announcement) => !isSettled(announcement));
    for (const announcement of settled) announcement.settle(mayStart);
  }
}
