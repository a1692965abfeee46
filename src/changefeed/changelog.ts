import type { Change } from '../wire/state.js';

/** Changes of a prefix that follow a revision: everything up to `revision` is known with them. */
export interface Batch {
  /** The revision that the changes follow. */
  since: number;
  revision: number;
  changes: Change[];
}

interface Kept {
  change: Change;
  bytes: number;
}

/** What is kept for followers; whoever is further behind reads elsewhere. */
const KEPT_CHANGES = 4000;
const KEPT_BYTES = 4 * 1024 * 1024;
/** The most in one answer, well below the largest message between nodes; a revision is never cut in two. */
const BATCH_CHANGES = 200;
const BATCH_BYTES = 256 * 1024;

/** The last changes of a prefix, in the order of their revisions, without a gap. */
export class ChangeLog {
  private kept: Kept[] = [];
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
    return this.kept.at(-1)?.change.version ?? 0;
  }

  /** What is appended next follows this revision: the log begins anew there unless it is its end. */
  startFrom(revision: number): void {
    if (revision === this.end) return;
    this.kept = [];
    this.bytes = 0;
    this.base = revision;
    this.end = revision;
  }

  append(batch: Batch): void {
    this.startFrom(batch.since);
    const fresh = batch.changes.filter((c) => c.version > this.end);
    for (const change of fresh.sort((a, b) => a.version - b.version)) {
      const bytes = Buffer.byteLength(JSON.stringify(change));
      this.kept.push({ change, bytes });
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
    const complete = next === this.kept.length;
    const revision = complete ? Math.max(since, this.end) : this.kept[next - 1]!.change.version;
    return { since, revision, changes: this.kept.slice(first, next).map((k) => k.change) };
  }

  private forgetOldest(): void {
    let drop = Math.max(0, this.kept.length - KEPT_CHANGES);
    let bytes = this.bytes;
    for (let i = 0; i < drop; i++) bytes -= this.kept[i]!.bytes;
    while (bytes > KEPT_BYTES && drop < this.kept.length) bytes -= this.kept[drop++]!.bytes;
    if (drop === 0) return;
    this.base = this.kept[drop - 1]!.change.version;
    // Of a revision, either all changes are kept or none.
    while (drop < this.kept.length && this.kept[drop]!.change.version === this.base)
      bytes -= this.kept[drop++]!.bytes;
    this.kept.splice(0, drop);
    this.bytes = bytes;
  }

  private endOfBatch(first: number): number {
    let next = first;
    let bytes = 0;
    while (next < this.kept.length && next - first < BATCH_CHANGES && bytes < BATCH_BYTES)
      bytes += this.kept[next++]!.bytes;
    const last = this.kept[next - 1]?.change.version;
    while (next < this.kept.length && this.kept[next]!.change.version === last) next++;
    return next;
  }

  private firstAfter(since: number): number {
    let low = 0;
    let high = this.kept.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.kept[middle]!.change.version <= since) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
