import type { ReplicationRecord } from './messages.js';

/** Bounds of what a standby keeps of one shard; beyond them it knows less, and says so, rather than grow. */
const MACHINES_OF_JOB = 64;
const PLACES_MOST = 20_000;
const RUNS_MOST = 20_000;

/** What a new owner knows of a shard from the one before it. */
export interface ReplicaSnapshot {
  /**
   * Machines on which tasks of a job may be that the former owner, or one before it, has started; empty: none was started
   * ever. Null: not known, they may be anywhere.
   */
  machinesOf(job: string): ReadonlySet<string> | null;
  /** Time of day since which an attempt has run; null when that is not known. */
  runningSince(task: string, attempt: number): number | null;
  /** The session of a machine and its images, as the former owner last knew them. */
  machine(id: string): { session: number; images: readonly (readonly [string, number])[] } | null;
  /** Run-time ratios of the classes. */
  classes(): Iterable<[string, { log: number; count: number }]>;
  quarantine(job: string): { failures: number; until: number } | null;
}

const NONE: ReadonlySet<string> = new Set();

/** The standby's side of what it follows of one shard (`Feed`). */
export class ShardReplica implements ReplicaSnapshot {
  /** Sequence number of the record that comes next. */
  nextSequence = 0;
  /** The snapshot is complete, and every record since has been taken. */
  inSync = false;
  private started = false;
  private readonly where = new Map<string, Set<string> | null>();
  private places = 0;
  private readonly runs = new Map<string, number>();
  private readonly machines = new Map<string, { session: number; images: [string, number][] }>();
  private readonly ratios = new Map<string, { log: number; count: number }>();
  private readonly suspects = new Map<string, { failures: number; until: number }>();

  /** Takes records; what it has already is skipped, and after a gap nothing is taken until the gap is filled. */
  applyBatch(from: number, records: readonly ReplicationRecord[]): void {
    // A stream that begins anew may leave out what waited before it.
    if (from > this.nextSequence && records[0]?.t === 'begin') this.nextSequence = from;
    if (from > this.nextSequence) return;
    for (let i = this.nextSequence - from; i < records.length; i++) {
      this.apply(records[i]!);
      this.nextSequence++;
    }
  }

  private apply(r: ReplicationRecord): void {
    if (r.t === 'begin') {
      this.clear();
      this.started = true;
      return;
    }
    if (!this.started) return;
    switch (r.t) {
      case 'level':
        this.inSync = true;
        return;
      case 'at':
        this.mayBe(r.job, r.machine);
        return;
      case 'only':
        this.forget(r.job);
        if (r.machines === null) this.where.set(r.job, null);
        else for (const m of r.machines) this.mayBe(r.job, m);
        return;
      case 'off':
        if (this.where.get(r.job)?.delete(r.machine)) this.places--;
        return;
      case 'over':
        this.forget(r.job);
        this.suspects.delete(r.job);
        return;
      case 'runs':
        this.runs.set(`${r.task}#${r.attempt}`, r.since);
        if (this.runs.size > RUNS_MOST) this.runs.delete(this.runs.keys().next().value!);
        return;
      case 'machine':
        this.machines.set(r.id, { session: r.session, images: r.images });
        return;
      case 'class':
        this.ratios.set(r.name, { log: r.log, count: r.count });
        return;
      case 'suspect':
        this.suspects.set(r.job, { failures: r.failures, until: r.until });
        return;
      case 'trusted':
        this.suspects.delete(r.job);
        return;
    }
  }

  private clear(): void {
    this.inSync = false;
    this.places = 0;
    for (const map of [this.where, this.runs, this.machines, this.ratios, this.suspects]) map.clear();
  }

  private forget(job: string): void {
    this.places -= this.where.get(job)?.size ?? 0;
    this.where.delete(job);
  }

  private mayBe(job: string, machine: string): void {
    const known = this.where.get(job);
    if (known === null) return;
    const set = known ?? new Set<string>();
    if (set.has(machine)) return;
    if (set.size >= MACHINES_OF_JOB || this.places >= PLACES_MOST) {
      // Too many to keep apart: from now on it may be anywhere.
      this.forget(job);
      this.where.set(job, null);
      return;
    }
    set.add(machine);
    this.places++;
    this.where.set(job, set);
  }

  /** Entries kept, for those who watch its size. */
  get size(): number {
    return this.places + this.where.size + this.runs.size + this.machines.size + this.suspects.size;
  }

  machinesOf(job: string): ReadonlySet<string> | null {
    // Of what was never level nothing is sure.
    if (!this.inSync) return null;
    const known = this.where.get(job);
    return known === undefined ? NONE : known;
  }

  runningSince(task: string, attempt: number): number | null {
    return this.runs.get(`${task}#${attempt}`) ?? null;
  }

  machine(id: string): { session: number; images: [string, number][] } | null {
    return this.machines.get(id) ?? null;
  }

  classes(): Iterable<[string, { log: number; count: number }]> {
    return this.ratios;
  }

  quarantine(job: string): { failures: number; until: number } | null {
    return this.suspects.get(job) ?? null;
  }
}
