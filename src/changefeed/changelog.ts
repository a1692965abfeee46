import type { Change } from '../wire/state.js';

/** The changes of a prefix after a revision, complete up to `revision`. */
export interface Batch {
  /** The revision after which the changes begin. */
  readonly since: number;
  readonly revision: number;
  readonly changes: Change[];
}

interface LoggedChange {
  readonly change: Change;
  readonly bytes: number;
}

/** Limits of the changes kept for followers; a follower that is further behind reads from another source. */
const MAX_LOGGED_CHANGES = 4000;
const MAX_LOGGED_BYTES = 4 * 1024 * 1024;
/**
 * Limits of one answer, well below the largest message between nodes; the changes of one revision are never split.
 */
const MAX_BATCH_CHANGES = 200;
const MAX_BATCH_BYTES = 256 * 1024;

/** The latest changes of a prefix, in the order of their revisions and without gaps. */
export class ChangeLog {
  private logged: LoggedChange[] = [];
  private bytes = 0;
  /** The log holds all changes after this revision. */
  private base = 0;
  private end = 0;

  /** The revision up to which every change is either in the log or older than its base. */
  get revision(): number {
    return this.end;
  }

  /** The revision of the last change in the log; 0 if the log is empty. */
  get lastChange(): number {
    return this.logged.at(-1)?.change.version ?? 0;
  }

  /** Makes the next batch follow this revision, and clears the log unless the revision is its end. */
  startFrom(revision: number): void {
    if (revision === this.end) return;
    this.logged = [];
    this.bytes = 0;
    this.base = revision;
    this.end = revision;
  }

  /**
   * Appends changes, skipping those up to the log's end; a batch that does not follow that end clears the log first.
   */
  append(batch: Batch): void {
    this.startFrom(batch.since);
    const newChanges = batch.changes.filter((c) => c.version > this.end);
    for (const change of newChanges.sort((a, b) => a.version - b.version)) {
      const bytes = Buffer.byteLength(JSON.stringify(change));
      this.logged.push({ change, bytes });
      this.bytes += bytes;
    }
    this.end = Math.max(this.end, batch.revision);
    this.evictOldest();
  }

  /** Returns the changes after a revision, possibly none; null if the log does not reach back that far. */
  after(since: number): Batch | null {
    if (since < this.base) return null;
    const first = this.firstAfter(since);
    const next = this.endOfBatch(first);
    const complete = next === this.logged.length;
    const revision = complete ? Math.max(since, this.end) : this.logged[next - 1]!.change.version;
    return { since, revision, changes: this.logged.slice(first, next).map((logged) => logged.change) };
  }

  private evictOldest(): void {
    let dropCount = Math.max(0, this.logged.length - MAX_LOGGED_CHANGES);
    let bytes = this.bytes;
    for (let i = 0; i < dropCount; i++) bytes -= this.logged[i]!.bytes;
    while (bytes > MAX_LOGGED_BYTES && dropCount < this.logged.length)
      bytes -= this.logged[dropCount++]!.bytes;
    if (dropCount === 0) return;
    this.base = this.logged[dropCount - 1]!.change.version;
    // The changes of one revision are either all kept or all evicted.
    while (dropCount < this.logged.length && this.logged[dropCount]!.change.version === this.base)
      bytes -= this.logged[dropCount++]!.bytes;
    this.logged.splice(0, dropCount);
    this.bytes = bytes;
  }

  private endOfBatch(first: number): number {
    let next = first;
    let bytes = 0;
    while (next < this.logged.length && next - first < MAX_BATCH_CHANGES && bytes < MAX_BATCH_BYTES)
      bytes += this.logged[next++]!.bytes;
    const last = this.logged[next - 1]?.change.version;
    while (next < this.logged.length && this.logged[next]!.change.version === last) next++;
    return next;
  }

  private firstAfter(since: number): number {
    let low = 0;
    let high = this.logged.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.logged[middle]!.change.version <= since) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
