import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { ReplicaSnapshot } from '../standby/shardreplica.js';
import { isConfirmedNotRunning } from '../standby/takeoverchecks.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** Reachable machines answer the first request of a new owner within this time. */
const RECONCILE_GRACE_MS = 2500;
/** A log line is written once this share of the machines taken over has sent a heartbeat. */
const RECONCILED_SHARE = 0.9;

/**
 * Tracks what a new owner does not know yet: which tasks of former owners run on machines that have not
 * sent it a heartbeat.
 */
export class UnreconciledMachines {
  private loadedAt: number | null = null;
  private adoptedCount = 0;
  private hasLogged = false;
  private allReconciledOnce = false;
  /** Time of the last check that found unreported machines; milliseconds on the monotonic clock. */
  private lastIncompleteAt = Number.NaN;

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly snapshot: ReplicaSnapshot | null,
    private readonly log: Log,
    private readonly claimedAt: number,
  ) {}

  /** Called once jobs and machines have been read; from then on machines are reconciled. */
  onLoaded(): void {
    this.loadedAt = this.context.clock.now();
    this.adoptedCount = this.registry.machines.size;
  }

  /** Returns the resources that machines which have not sent a heartbeat to this owner may hold. */
  capacity(): Amounts {
    const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const machine of this.registry.machines.values()) {
      if (!machine.mayHoldUnreportedTasks) continue;
      const size = this.context.catalog.size(machine.type);
      sum.cpus += size.cpus;
      sum.gpus += size.gpus;
      sum.memoryGb += size.memoryGb;
    }
    return sum;
  }

  /** Returns whether tasks of a job without a known placement are certain to run on no machine. */
  isConfirmedNotRunning(job: Job): boolean {
    const jobInfo = { fresh: job.acceptedUnderThisTerm, id: job.spec.id };
    return isConfirmedNotRunning(jobInfo, this.snapshot, this.allReconciled, (id) => this.isUnreconciled(id));
  }

  private isUnreconciled(machine: string): boolean {
    return this.registry.machines.get(machine)?.mayHoldUnreportedTasks === true;
  }

  /**
   * Returns until when (milliseconds on the monotonic clock) a job cannot start because an unresponsive
   * machine may run tasks of it; null when it can start. Machines that have not answered soon after the
   * takeover may not do so before their leases expire.
   */
  blockedUntil(job: Job, now: number): number | null {
    if (this.isConfirmedNotRunning(job) || this.loadedAt === null || now - this.loadedAt < RECONCILE_GRACE_MS)
      return null;
    let until = now;
    const machineIds = this.snapshot?.machinesOf(job.spec.id) ?? null;
    for (const id of machineIds ?? this.registry.machines.keys()) {
      const machine = this.registry.machines.get(id);
      if (machine?.mayHoldUnreportedTasks)
        until = Math.max(until, this.registry.unreportedTasksUntil(machine));
    }
    return until;
  }

  /** Whether all tasks that an earlier owner may have started are known; once true, it stays true. */
  get allReconciled(): boolean {
    const now = this.context.clock.now();
    if (this.allReconciledOnce || this.lastIncompleteAt === now || this.loadedAt === null)
      return this.allReconciledOnce;
    this.allReconciledOnce = [...this.registry.machines.values()].every((m) => !m.mayHoldUnreportedTasks);
    this.lastIncompleteAt = now;
    return this.allReconciledOnce;
  }

  /** Logs once that most of the machines have sent a heartbeat; `now` in milliseconds on the monotonic clock. */
  logOnceReconciled(now: number): void {
    if (this.hasLogged || this.loadedAt === null) return;
    let unreconciled = 0;
    for (const m of this.registry.machines.values()) if (m.mayHoldUnreportedTasks) unreconciled++;
    if (unreconciled > this.adoptedCount * (1 - RECONCILED_SHARE)) return;
    this.hasLogged = true;
    if (this.adoptedCount > 0)
      this.log.info(
        { machines: this.adoptedCount, unreconciled, ms: Math.round(now - this.claimedAt) },
        'most machines reconciled after takeover',
      );
  }
}
