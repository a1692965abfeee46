import type { ChangeSource } from '../changefeed/changefeed.js';
import { type Clock, pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { Entry } from '../wire/state.js';

const WATCH_TIMEOUT_MS = 10_000;
const RETRY_MS = 300;

/**
 * A cache of the keys under a prefix. It lags behind the key-value store and is only a hint: every check that safety
 * depends on is a condition of a transaction instead.
 */
export class ClusterStateCache {
  /** The cached entries, by key. */
  readonly entries = new Map<string, Entry>();
  /** Whether all keys have been read once; changes made since then may be missing. */
  isLoaded = false;
  /** The revision up to which the cache includes all changes. */
  revision = 0;

  constructor(
    private readonly clock: Clock,
    private readonly source: ChangeSource,
    private readonly prefix: string,
    private readonly log: Log,
    private readonly onChange: (key: string, entry: Entry | null) => void,
  ) {}

  /** Loads the cache and keeps it up to date for the lifetime of the process. */
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
          // Skips a duplicate of a change that another source has already delivered.
          if (change.version <= this.revision) continue;
          if ('gone' in change) this.remove(change.key, change.version);
          else this.apply({ key: change.key, value: change.value, version: change.version });
        }
        // Only an answer with changes advances the revision: an empty one from a watch that timed out while this node
        // was being refused does not include the changes that the node missed.
        if (result.changes.length === 0) continue;
        this.revision = Math.max(this.revision, result.revision);
      } catch (error) {
        this.log.debug({ err: error }, 'cluster state watch failed: retrying');
        await pause(this.clock, RETRY_MS);
      }
    }
  }

  /** Applies a change from the watch, or one made by this node itself before the watch delivers it. */
  apply(entry: Entry): void {
    const before = this.entries.get(entry.key);
    if (before && before.version >= entry.version) return;
    this.entries.set(entry.key, entry);
    this.onChange(entry.key, entry);
  }

  /** Applies a deletion at a version, from the watch or made by this node itself. */
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
