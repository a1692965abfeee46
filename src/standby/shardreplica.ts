import type { ReplicatedImage, ReplicationRecord } from './replicationrecord.js';

/** Bounds of what a standby keeps of one shard; beyond them it knows less, and says so, rather than grow. */
const MAX_MACHINES_PER_JOB = 64;
const MAX_PLACEMENTS = 20_000;
const MAX_RUNNING_ATTEMPTS = 20_000;

/** A machine as the former owner last knew it. */
export interface ReplicatedMachine {
  readonly incarnation: number;
  readonly images: readonly ReplicatedImage[];
}

/** A class's mean logarithm of run time to estimate, over `count` tasks. */
export interface ReplicatedEstimate {
  readonly log: number;
  readonly count: number;
}

/** A quarantined job: how often it failed, and the time of day in milliseconds until which it is held back. */
export interface ReplicatedQuarantine {
  readonly failures: number;
  readonly until: number;
}

/** What a new owner knows of a shard from the one before it. */
export interface ReplicaSnapshot {
  /**
   * Machines on which tasks of a job may be that the former owner, or one before it, has started; empty: none was started
   * ever. Null: not known, they may be anywhere.
   */
  machinesOf(job: string): ReadonlySet<string> | null;
  /** Time of day in milliseconds since which an attempt has run; null when that is not known. */
  runningSince(task: string, attempt: number): number | null;
  /** The incarnation of a machine and its images, as the former owner last knew them; null when it told none. */
  machine(id: string): ReplicatedMachine | null;
  /** Run-time ratios of the classes. */
  classes(): Iterable<[string, ReplicatedEstimate]>;
  /** The quarantine of a job; null when it is in none. */
  quarantine(job: string): ReplicatedQuarantine | null;
}

const NO_MACHINES: ReadonlySet<string> = new Set();

/** The standby's side of the replication stream of one shard (`ReplicationStream`). */
export class ShardReplica implements ReplicaSnapshot {
  /** Sequence number of the record that comes next. */
  nextSequence = 0;
  /** The snapshot is complete, and every record since has been applied. */
  inSync = false;
  private snapshotBegun = false;
  /** Machines by job; null where they are too many to keep apart. */
  private readonly machinesByJob = new Map<string, Set<string> | null>();
  /** Machines in all sets of `machinesByJob`. */
  private placementCount = 0;
  private readonly runningAttempts = new Map<string, number>();
  private readonly machines = new Map<string, ReplicatedMachine>();
  private readonly estimates = new Map<string, ReplicatedEstimate>();
  private readonly quarantines = new Map<string, ReplicatedQuarantine>();

  /**
   * Applies records of which the first has the sequence number `from`; what it has already is skipped, and after a gap
   * nothing is applied until the gap is filled.
   */
  applyBatch(from: number, records: readonly ReplicationRecord[]): void {
    // A stream that begins anew may leave out what waited before it.
    if (from > this.nextSequence && records[0]?.kind === 'snapshotBegin') this.nextSequence = from;
    if (from > this.nextSequence) return;
    for (let i = this.nextSequence - from; i < records.length; i++) {
      this.apply(records[i]!);
      this.nextSequence++;
    }
  }

  private apply(r: ReplicationRecord): void {
    if (r.kind === 'snapshotBegin') {
      this.clear();
      this.snapshotBegun = true;
      return;
    }
    if (!this.snapshotBegun) return;
    switch (r.kind) {
      case 'inSync':
        this.inSync = true;
        return;
      case 'mayRunOn':
        this.addPlacement(r.job, r.machine);
        return;
      case 'runsOnlyOn':
        this.forgetPlacements(r.job);
        if (r.machines === null) this.machinesByJob.set(r.job, null);
        else for (const m of r.machines) this.addPlacement(r.job, m);
        return;
      case 'leftMachine':
        if (this.machinesByJob.get(r.job)?.delete(r.machine)) this.placementCount--;
        return;
      case 'jobEnded':
        this.forgetPlacements(r.job);
        this.quarantines.delete(r.job);
        return;
      default:
        this.applyHint(r);
    }
  }

  /** Applies a record that only guides a new owner. */
  private applyHint(
    r: Extract<
      ReplicationRecord,
      { kind: 'attemptRunning' | 'machine' | 'runtimeEstimate' | 'quarantined' | 'quarantineLifted' }
    >,
  ): void {
    switch (r.kind) {
      case 'attemptRunning':
        this.runningAttempts.set(attemptKey(r.task, r.attempt), r.runningSince);
        if (this.runningAttempts.size > MAX_RUNNING_ATTEMPTS)
          this.runningAttempts.delete(this.runningAttempts.keys().next().value!);
        return;
      case 'machine':
        this.machines.set(r.id, { incarnation: r.incarnation, images: r.images });
        return;
      case 'runtimeEstimate':
        this.estimates.set(r.jobClass, { log: r.log, count: r.count });
        return;
      case 'quarantined':
        this.quarantines.set(r.job, { failures: r.failures, until: r.until });
        return;
      case 'quarantineLifted':
        this.quarantines.delete(r.job);
        return;
    }
  }

  private clear(): void {
    this.inSync = false;
    this.placementCount = 0;
    this.machinesByJob.clear();
    this.runningAttempts.clear();
    this.machines.clear();
    this.estimates.clear();
    this.quarantines.clear();
  }

  private forgetPlacements(job: string): void {
    this.placementCount -= this.machinesByJob.get(job)?.size ?? 0;
    this.machinesByJob.delete(job);
  }

  private addPlacement(job: string, machine: string): void {
    const known = this.machinesByJob.get(job);
    if (known === null) return;
    const machines = known ?? new Set<string>();
    if (machines.has(machine)) return;
    if (machines.size >= MAX_MACHINES_PER_JOB || this.placementCount >= MAX_PLACEMENTS) {
      // Too many to keep apart: from now on it may be anywhere.
      this.forgetPlacements(job);
      this.machinesByJob.set(job, null);
      return;
    }
    machines.add(machine);
    this.placementCount++;
    this.machinesByJob.set(job, machines);
  }

  /** Entries kept, for those who watch its size. */
  get size(): number {
    return (
      this.placementCount +
      this.machinesByJob.size +
      this.runningAttempts.size +
      this.machines.size +
      this.quarantines.size
    );
  }

  machinesOf(job: string): ReadonlySet<string> | null {
    // Of what was never in sync nothing is sure.
    if (!this.inSync) return null;
    const known = this.machinesByJob.get(job);
    return known === undefined ? NO_MACHINES : known;
  }

  runningSince(task: string, attempt: number): number | null {
    return this.runningAttempts.get(attemptKey(task, attempt)) ?? null;
  }

  machine(id: string): ReplicatedMachine | null {
    return this.machines.get(id) ?? null;
  }

  classes(): Iterable<[string, ReplicatedEstimate]> {
    return this.estimates;
  }

  quarantine(job: string): ReplicatedQuarantine | null {
    return this.quarantines.get(job) ?? null;
  }
}

function attemptKey(task: string, attempt: number): string {
  return `${task}#${attempt}`;
}
