import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { ReplicaSnapshot } from '../standby/shardreplica.js';
import { surelyNotRunning } from '../standby/takeoverchecks.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** Machines that are reachable answer the first request of a new owner within this. */
const RECONCILE_GRACE_MS = 2500;
/** Logged once so many of the machines that were taken over have reported. */
const RECONCILED_SHARE = 0.9;

/** What a new owner does not know yet: which tasks of former owners are on machines that have not reported to it. */
export class UnreconciledMachines {
  private loadedAt: number | null = null;
  private adoptedCount = 0;
  private logged = false;
  private allReconciledOnce = false;
  /** When it was last found that not all machines have reported; steady milliseconds. */
  private lastIncompleteAt = Number.NaN;

  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly snapshot: ReplicaSnapshot | null,
    private readonly log: Log,
    private readonly claimedAt: number,
  ) {}

  /** Jobs and machines have been read; from here on machines are reconciled. */
  onLoaded(): void {
    this.loadedAt = this.context.clock.now();
    this.adoptedCount = this.registry.machines.size;
  }

  /** What machines that have not reported to this owner may hold. */
  capacity(): Amounts {
    const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const m of this.registry.machines.values()) {
      if (!m.mayHoldUnreportedTasks) continue;
      const size = this.context.catalog.size(m.type);
      sum.cpus += size.cpus;
      sum.gpus += size.gpus;
      sum.memoryGb += size.memoryGb;
    }
    return sum;
  }

  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  surelyNotRunning(job: Job): boolean {
    const facts = { fresh: job.acceptedUnderThisTerm, id: job.spec.id };
    return surelyNotRunning(facts, this.snapshot, this.allReconciled, (id) => this.isUnreconciled(id));
  }

  private isUnreconciled(machine: string): boolean {
    return this.registry.machines.get(machine)?.mayHoldUnreportedTasks === true;
  }

  /**
   * Until when (steady milliseconds) a job cannot start, since a machine that may hold tasks of it does not answer; null when it
   * can. Machines that
   * have not answered soon after the take-over may not do so before their leases are over.
   */
  blockedUntil(job: Job, now: number): number | null {
    if (this.surelyNotRunning(job) || this.loadedAt === null || now - this.loadedAt < RECONCILE_GRACE_MS)
      return null;
    let until = now;
    const where = this.snapshot?.machinesOf(job.spec.id) ?? null;
    for (const id of where ?? this.registry.machines.keys()) {
      const m = this.registry.machines.get(id);
      if (m?.mayHoldUnreportedTasks) until = Math.max(until, this.registry.unreportedTasksUntil(m));
    }
    return until;
  }

  /** Whether all that an earlier owner may have started is known; once it is, it stays so. */
  get allReconciled(): boolean {
    const now = this.context.clock.now();
    if (this.allReconciledOnce || this.lastIncompleteAt === now || this.loadedAt === null)
      return this.allReconciledOnce;
    this.allReconciledOnce = [...this.registry.machines.values()].every((m) => !m.mayHoldUnreportedTasks);
    this.lastIncompleteAt = now;
    return this.allReconciledOnce;
  }

  /** Logs once that most of the machines have reported; `now` in steady milliseconds. */
  logOnceReconciled(now: number): void {
    if (this.logged || this.loadedAt === null) return;
    let unreconciled = 0;
    for (const m of this.registry.machines.values()) if (m.mayHoldUnreportedTasks) unreconciled++;
    if (unreconciled > this.adoptedCount * (1 - RECONCILED_SHARE)) return;
    this.logged = true;
    if (this.adoptedCount > 0)
      this.log.info(
        { machines: this.adoptedCount, unreconciled, ms: Math.round(now - this.claimedAt) },
        'machines reconciled',
      );
  }
}
