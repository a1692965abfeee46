import { MAX_BATCH_RECORDS, type ReplicationRecord } from './messages.js';

/** Records that wait to be acknowledged; beyond this the stream begins anew rather than grow. */
const MAX_QUEUED_RECORDS = 6000;
/** Records of a snapshot that are drawn at once, so that it takes its turns beside all else. */
const SNAPSHOT_CHUNK_RECORDS = 200;

export interface ReplicationSource {
  /** All that a standby has to know now; drawn piece by piece, each record as of when it is drawn. */
  snapshot(): Iterator<ReplicationRecord>;
}

interface Announced {
  /** All records before this one have to be acknowledged. */
  next: number;
  settle: (clear: boolean) => void;
}

/**
 * The owner's side of what a standby follows: a stream of records in order, of which one message is under way at a time.
 * It begins with a snapshot in pieces; records of what happens meanwhile come between the pieces, each later than what it
 * changes, so that the last word on anything is the newest.
 */
export class ReplicationStream {
  private queue: ReplicationRecord[] = [];
  /** Sequence number of the first record in the queue. */
  private first = 0;
  private pieces: Iterator<ReplicationRecord> | null = null;
  /** The standby may take itself for level: what may be started has to be announced and acknowledged before. */
  private mayBeInSync = false;
  /** Where the newest stream begins; what was level before it is so until that has been acknowledged. */
  private begun = 0;
  private announced: Announced[] = [];
  private closed = false;
  /** Streams begun since the standby was named. */
  streams = 0;

  constructor(private readonly source: ReplicationSource) {
    this.begin();
  }

  /** Begins anew with a snapshot. */
  begin(): void {
    this.streams++;
    this.first += this.queue.length;
    this.queue = [{ t: 'begin' }];
    this.begun = this.first;
    this.pieces = this.source.snapshot();
    // What waits to be started is in the new snapshot, or the standby is no longer level before it starts.
    for (const a of this.announced) a.next = this.begun + 1;
  }

  add(record: ReplicationRecord): void {
    if (this.closed) return;
    this.queue.push(record);
    if (this.queue.length > MAX_QUEUED_RECORDS) this.begin();
  }

  /**
   * Says where tasks may be started before their orders are sent. Null when that need not be waited for; else true once no
   * standby can take over without knowing, false when it is not to be started any more.
   */
  announce(starts: readonly { job: string; machine: string }[]): Promise<boolean> | null {
    if (this.closed) return null;
    const seen = new Set<string>();
    for (const { job, machine } of starts) {
      const key = `${job} ${machine}`;
      if (!seen.has(key)) this.add({ t: 'at', job, machine });
      seen.add(key);
    }
    if (!this.mayBeInSync) return null;
    return new Promise((settle) => {
      this.announced.push({ next: this.first + this.queue.length, settle });
    });
  }

  /** Whether something waits that should not wait for the next regular message. */
  get urgent(): boolean {
    return this.announced.length > 0 || this.pieces !== null;
  }

  /** Whether the standby has all that there is. */
  get inSync(): boolean {
    return this.mayBeInSync && this.pieces === null && this.queue.length === 0;
  }

  /** Records that are not acknowledged yet. */
  get unacknowledged(): number {
    return this.queue.length;
  }

  /** What the next message holds. */
  batch(): { from: number; records: ReplicationRecord[] } {
    for (let i = 0; this.pieces && i < SNAPSHOT_CHUNK_RECORDS && this.queue.length < MAX_BATCH_RECORDS; i++) {
      const drawn = this.pieces.next();
      if (!drawn.done) {
        this.queue.push(drawn.value);
        continue;
      }
      this.pieces = null;
      this.queue.push({ t: 'level' });
      this.mayBeInSync = true;
    }
    return { from: this.first, records: this.queue.slice(0, MAX_BATCH_RECORDS) };
  }

  /** The standby has all records before `next`. */
  acknowledge(next: number): void {
    if (next > this.first + this.queue.length) return;
    if (next < this.first) {
      // It lacks what is kept no more; unless that was before a stream that it has not seen yet.
      if (this.queue[0]?.t !== 'begin') this.begin();
      return;
    }
    this.queue.splice(0, next - this.first);
    this.first = next;
    // It has forgotten what it had, and is level again only with the mark of the new stream.
    if (next > this.begun && this.pieces !== null) this.mayBeInSync = false;
    this.settle((a) => a.next <= next, true);
  }

  /** No standby can take over any more (`clear`), or this owner starts nothing any more. */
  close(clear: boolean): void {
    this.closed = true;
    this.queue = [];
    this.pieces = null;
    this.settle(() => true, clear);
  }

  private settle(which: (a: Announced) => boolean, clear: boolean): void {
    const now = this.announced.filter(which);
    if (now.length === 0) return;
    this.announced = this.announced.filter((a) => !which(a));
    for (const a of now) a.settle(clear);
  }
}
