import type { ReplicatedImage, ReplicationRecord } from './replicationrecord.js';

/**
 * Limits on the state kept for one shard. Beyond them the replica drops details and reports them as unknown
 * instead of growing.
 */
const MAX_MACHINES_PER_JOB = 64;
const MAX_PLACEMENTS = 20_000;
const MAX_RUNNING_ATTEMPTS = 20_000;

/** State of a machine as last known by the former owner. */
export interface ReplicatedMachine {
  readonly incarnation: number;
  readonly images: readonly ReplicatedImage[];
}

/** Mean logarithm of the ratio of run time to estimate for a class of jobs, over `count` tasks. */
export interface ReplicatedEstimate {
  readonly log: number;
  readonly count: number;
}

/**
 * Quarantine of a job: the number of its failures, and the wall-clock time in milliseconds until which it is
 * held back.
 */
export interface ReplicatedQuarantine {
  readonly failures: number;
  readonly until: number;
}

/** State of a shard that a new owner inherits from its predecessor. */
export interface ReplicaSnapshot {
  /**
   * Returns the machines that may hold tasks of a job started by the former owner or one of its predecessors.
   * An empty set means that no task was ever started; null means that the machines are unknown, so tasks may be
   * on any machine.
   */
  machinesOf(job: string): ReadonlySet<string> | null;
  /**
   * Returns the wall-clock time in milliseconds at which an attempt started to run, or null if it is unknown.
   */
  runningSince(task: string, attempt: number): number | null;
  /**
   * Returns the incarnation of a machine and its images as last known by the former owner, or null if the owner
   * did not report the machine.
   */
  machine(id: string): ReplicatedMachine | null;
  /** Returns the run-time ratios of the job classes. */
  runtimeEstimates(): Iterable<[string, ReplicatedEstimate]>;
  /** Returns the quarantine of a job, or null if it is not quarantined. */
  quarantine(job: string): ReplicatedQuarantine | null;
}

const NO_MACHINES: ReadonlySet<string> = new Set();

/** The standby's side of the replication stream of one shard (`ReplicationStream`). */
export class ShardReplica implements ReplicaSnapshot {
  /** Sequence number of the next expected record. */
  nextSequence = 0;
  /** Whether the snapshot is complete and every record since has been applied. */
  inSync = false;
  private snapshotBegun = false;
  /** Machines by job; null for a job whose machines are too many to track. */
  private readonly machinesByJob = new Map<string, Set<string> | null>();
  /** Total number of machines in all sets of `machinesByJob`. */
  private placementCount = 0;
  private readonly runningAttempts = new Map<string, number>();
  private readonly machines = new Map<string, ReplicatedMachine>();
  private readonly estimates = new Map<string, ReplicatedEstimate>();
  private readonly quarantines = new Map<string, ReplicatedQuarantine>();

  /**
   * Applies records, the first of which has the sequence number `from`. Records that were applied before are
   * skipped. After a gap, nothing is applied until the gap is filled.
   */
  applyBatch(from: number, records: readonly ReplicationRecord[]): void {
    // A restarted stream may omit the records that were queued before its snapshot.
    if (from > this.nextSequence && records[0]?.kind === 'snapshotBegin') this.nextSequence = from;
    if (from > this.nextSequence) return;
    for (let i = this.nextSequence - from; i < records.length; i++) {
      this.apply(records[i]!);
      this.nextSequence++;
    }
  }

  private apply(record: ReplicationRecord): void {
    if (record.kind === 'snapshotBegin') {
      this.clear();
      this.snapshotBegun = true;
      return;
    }
    if (!this.snapshotBegun) return;
    switch (record.kind) {
      case 'inSync':
        this.inSync = true;
        return;
      case 'mayRunOn':
        this.addPlacement(record.job, record.machine);
        return;
      case 'runsOnlyOn':
        this.forgetPlacements(record.job);
        if (record.machines === null) this.machinesByJob.set(record.job, null);
        else for (const m of record.machines) this.addPlacement(record.job, m);
        return;
      case 'leftMachine':
        if (this.machinesByJob.get(record.job)?.delete(record.machine)) this.placementCount--;
        return;
      case 'jobEnded':
        this.forgetPlacements(record.job);
        this.quarantines.delete(record.job);
        return;
      default:
        this.applyHint(record);
    }
  }

  /** Applies a record that is only a hint for a new owner. */
  private applyHint(
    record: Extract<
      ReplicationRecord,
      { kind: 'attemptRunning' | 'machine' | 'runtimeEstimate' | 'quarantined' | 'quarantineLifted' }
    >,
  ): void {
    switch (record.kind) {
      case 'attemptRunning':
        this.runningAttempts.set(attemptKey(record.task, record.attempt), record.runningSince);
        if (this.runningAttempts.size > MAX_RUNNING_ATTEMPTS)
          this.runningAttempts.delete(this.runningAttempts.keys().next().value!);
        return;
      case 'machine':
        this.machines.set(record.id, { incarnation: record.incarnation, images: record.images });
        return;
      case 'runtimeEstimate':
        this.estimates.set(record.jobClass, { log: record.log, count: record.count });
        return;
      case 'quarantined':
        this.quarantines.set(record.job, { failures: record.failures, until: record.until });
        return;
      case 'quarantineLifted':
        this.quarantines.delete(record.job);
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
      // Too many machines to track: from now on the job's tasks may be on any machine.
      this.forgetPlacements(job);
      this.machinesByJob.set(job, null);
      return;
    }
    machines.add(machine);
    this.placementCount++;
    this.machinesByJob.set(job, machines);
  }

  /** Number of entries kept, reported for monitoring. */
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
    // A replica that was never in sync proves nothing about any job.
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

  runtimeEstimates(): Iterable<[string, ReplicatedEstimate]> {
    return this.estimates;
  }

  quarantine(job: string): ReplicatedQuarantine | null {
    return this.quarantines.get(job) ?? null;
  }
}

function attemptKey(task: string, attempt: number): string {
  return `${task}#${attempt}`;
}
