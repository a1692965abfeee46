import type { Change } from '../wire/state.js';

/** Changes of a prefix that follow a revision: everything up to `revision` is known with them. */
export interface Batch {
  /** The revision that the changes follow. */
  readonly since: number;
  readonly revision: number;
  readonly changes: Change[];
}

interface LoggedChange {
  readonly change: Change;
  readonly bytes: number;
}

/** What is kept for followers; whoever is further behind reads elsewhere. */
const MAX_LOGGED_CHANGES = 4000;
const MAX_LOGGED_BYTES = 4 * 1024 * 1024;
/** The most in one answer, well below the largest message between nodes; a revision is never cut in two. */
const MAX_BATCH_CHANGES = 200;
const MAX_BATCH_BYTES = 256 * 1024;

/** The last changes of a prefix, in the order of their revisions, without a gap. */
export class ChangeLog {
  private logged: LoggedChange[] = [];
  private bytes = 0;
  /** Changes after this revision are all here. */
  private base = 0;
  private end = 0;

  /** All changes up to this revision are here or before the base. */
  get revision(): number {
    return this.end;
  }

  /** The revision of the last change that is kept; 0 when none is. */
  get lastChange(): number {
    return this.logged.at(-1)?.change.version ?? 0;
  }

  /** What is appended next follows this revision: the log begins anew there unless it is its end. */
  startFrom(revision: number): void {
    if (revision === this.end) return;
    this.logged = [];
    this.bytes = 0;
    this.base = revision;
    this.end = revision;
  }

  /** Adds changes; those up to the log's end are left out, and a batch that does not follow it begins the log anew. */
  append(batch: Batch): void {
    this.startFrom(batch.since);
    const fresh = batch.changes.filter((c) => c.version > this.end);
    for (const change of fresh.sort((a, b) => a.version - b.version)) {
      const bytes = Buffer.byteLength(JSON.stringify(change));
      this.logged.push({ change, bytes });
      this.bytes += bytes;
    }
    this.end = Math.max(this.end, batch.revision);
    this.forgetOldest();
  }

  /** What follows a revision, empty when nothing does; null when the log does not reach back so far. */
  after(since: number): Batch | null {
    if (since < this.base) return null;
    const first = this.firstAfter(since);
    const next = this.endOfBatch(first);
    const complete = next === this.logged.length;
    const revision = complete ? Math.max(since, this.end) : this.logged[next - 1]!.change.version;
    return { since, revision, changes: this.logged.slice(first, next).map((logged) => logged.change) };
  }

  private forgetOldest(): void {
    let drop = Math.max(0, this.logged.length - MAX_LOGGED_CHANGES);
    let bytes = this.bytes;
    for (let i = 0; i < drop; i++) bytes -= this.logged[i]!.bytes;
    while (bytes > MAX_LOGGED_BYTES && drop < this.logged.length) bytes -= this.logged[drop++]!.bytes;
    if (drop === 0) return;
    this.base = this.logged[drop - 1]!.change.version;
    // Of a revision, either all changes are kept or none.
    while (drop < this.logged.length && this.logged[drop]!.change.version === this.base)
      bytes -= this.logged[drop++]!.bytes;
    this.logged.splice(0, drop);
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
