import type { ChangeSource } from '../changefeed/changefeed.js';
import { type Clock, pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { Entry } from '../wire/state.js';

const WATCH_TIMEOUT_MS = 10_000;
const RETRY_MS = 300;

/**
 * A copy of the keys under a prefix. It lags behind the key-value store, so it serves as a hint: whatever safety
 * depends on is a condition of a transaction.
 */
export class ClusterStateCache {
  /** The copy, by key. */
  readonly entries = new Map<string, Entry>();
  /** Whether all keys have been read; changes may be missing since then. */
  isLoaded = false;
  /** All changes up to this revision are in the copy. */
  revision = 0;

  constructor(
    private readonly clock: Clock,
    private readonly source: ChangeSource,
    private readonly prefix: string,
    private readonly log: Log,
    private readonly onChange: (key: string, entry: Entry | null) => void,
  ) {}

  /** Loads the copy and keeps it up to date, for as long as the process runs. */
  async run(): Promise<never> {
    for (;;) {
      try {
        if (!this.isLoaded) await this.load();
        const result = await this.source.watch(this.prefix, this.revision, WATCH_TIMEOUT_MS);
        if (!result) {
          this.isLoaded = false;
          continue;
        }
        for (const change of result.changes) {
          // A copy of what is known already, by way of another source.
          if (change.version <= this.revision) continue;
          if ('gone' in change) this.remove(change.key, change.version);
          else this.apply({ key: change.key, value: change.value, version: change.version });
        }
        // Only with changes: an empty answer whose time was over while this node was refused says nothing of what it missed.
        if (result.changes.length === 0) continue;
        this.revision = Math.max(this.revision, result.revision);
      } catch (error) {
        this.log.debug({ err: error }, 'state watch failed');
        await pause(this.clock, RETRY_MS);
      }
    }
  }

  /** Takes a change: of the watch, or one that this node made itself, before the watch shows it. */
  apply(entry: Entry): void {
    const before = this.entries.get(entry.key);
    if (before && before.version >= entry.version) return;
    this.entries.set(entry.key, entry);
    this.onChange(entry.key, entry);
  }

  /** Takes a deletion at a version: of the watch, or this node's own. */
  remove(key: string, version: number): void {
    const before = this.entries.get(key);
    if (!before || before.version > version) return;
    this.entries.delete(key);
    this.onChange(key, null);
  }

  private async load(): Promise<void> {
    const { entries, revision } = await this.source.list(this.prefix);
    const seen = new Set<string>();
    for (const e of entries) {
      seen.add(e.key);
      this.apply(e);
    }
    for (const [key, e] of this.entries)
      if (!seen.has(key) && e.version <= revision) this.remove(key, revision);
    this.revision = revision;
    this.isLoaded = true;
  }
}
