import { Autoscaler } from '../autoscaler/autoscaler.js';
import type { Log } from '../config/log.js';
import { JobRecords } from '../jobs/records.js';
import { OwnerTransactions } from '../schema/schema.js';
import type { Machine } from '../workers/machine.js';
import { MachineRegistry } from '../workers/machineregistry.js';
import { Admission } from './admission.js';
import { DependencyTracker } from './dependencytracker.js';
import { FailureTracker } from './failuretracker.js';
import { JobRequests } from './jobrequests.js';
import { JobTable } from './jobtable.js';
import { isInServiceAndEmpty, MachineRecords } from './machinerecords.js';
import { MachineTransfers } from './machinetransfers.js';
import { PlanInput } from './planinput.js';
import { Planner } from './planner.js';
import { Preemption } from './preemption.js';
import { ShardReplicationSource } from './replicationsource.js';
import { ResourceDemandTracker } from './resourcedemand.js';
import { RuntimeEstimates } from './runtimeestimates.js';
import { SchedulingOrder } from './schedulingorder.js';
import { type ShardLifecycle, type ShardOptions, TICK_INTERVAL_MS } from './shardoptions.js';
import { ShardStatusLog } from './shardstatuslog.js';
import { ShardStatusReport } from './shardstatusreport.js';
import { SpotDraining } from './spotdraining.js';
import { TaskDispatcher } from './taskdispatcher.js';
import { TaskProgress } from './taskprogress.js';
import { UnreconciledMachines } from './unreconciledmachines.js';
import { WarmStart } from './warmstart.js';

/**
 * Creates and connects the components of a shard. Several of them depend on each other in both directions (the
 * registry reports tasks to the task progress, which has the registry stop tasks). They call each other through hooks,
 * which look up the component when they are called: no hook may be called before all components are created.
 */
export class ShardComponents {
  readonly jobTable: JobTable;
  readonly records: JobRecords;
  readonly registry: MachineRegistry;
  readonly unreconciled: UnreconciledMachines;
  readonly estimates: RuntimeEstimates;
  readonly dependencies: DependencyTracker;
  readonly failures: FailureTracker;
  readonly taskProgress: TaskProgress;
  readonly dispatcher: TaskDispatcher;
  readonly transfers: MachineTransfers;
  readonly preemption: Preemption;
  readonly autoscaler: Autoscaler;
  readonly machineRecords: MachineRecords;
  readonly planInput: PlanInput;
  readonly order: SchedulingOrder;
  readonly resourceDemand: ResourceDemandTracker;
  readonly statusReport: ShardStatusReport;
  readonly planner: Planner;
  readonly admission: Admission;
  readonly jobRequests: JobRequests;
  readonly spotDraining: SpotDraining;
  readonly warmStart: WarmStart;
  /** Source of the records replicated to the standby; null without a standby. */
  readonly replicationSource: ShardReplicationSource | null;
  readonly statusLog: ShardStatusLog;
  private readonly transactions: OwnerTransactions;

  constructor(
    private readonly options: ShardOptions,
    private readonly lifecycle: ShardLifecycle,
    private readonly log: Log,
    /** Time at which the shard was claimed; milliseconds on the monotonic clock. */
    claimedAt: number,
  ) {
    const { context, index, term, takeover } = options;
    this.transactions = new OwnerTransactions(context.store, index, term);
    this.jobTable = new JobTable(context, index, term);
    const { jobs } = this.jobTable;
    this.records = this.createRecords();
    this.registry = this.createRegistry();
    const snapshot = takeover?.snapshot ?? null;
    this.unreconciled = new UnreconciledMachines(context, this.registry, snapshot, log, claimedAt);
    this.estimates = new RuntimeEstimates(context, jobs);
    this.dependencies = this.createDependencies();
    this.failures = new FailureTracker(jobs, this.registry.machines, log, (job) =>
      this.replicationSource?.onQuarantineChanged(job),
    );
    this.taskProgress = this.createTaskProgress();
    this.dispatcher = this.createDispatcher();
    this.transfers = this.createTransfers();
    this.preemption = this.createPreemption();
    this.autoscaler = this.createAutoscaler();
    this.machineRecords = this.createMachineRecords();
    this.planInput = this.createPlanInput();
    this.order = new SchedulingOrder(context, this.jobTable, this.registry, this.estimates);
    this.resourceDemand = this.createResourceDemand();
    this.statusReport = this.createStatusReport();
    this.planner = this.createPlanner();
    this.admission = this.createAdmission();
    this.jobRequests = this.createJobRequests();
    this.spotDraining = new SpotDraining(this.registry, jobs, this.estimates, TICK_INTERVAL_MS);
    this.warmStart = new WarmStart(context, snapshot);
    this.replicationSource = this.createReplicationSource();
    this.statusLog = new ShardStatusLog(jobs, this.registry.machines, log);
  }

  /** Returns whether a machine runs no tasks and is neither planned on nor reserved for another shard. */
  isIdle(m: Machine): boolean {
    return (
      isInServiceAndEmpty(m) && !this.planner.hasReservation(m.id) && !this.transfers.hasPendingTransfer(m.id)
    );
  }

  /** Returns whether a machine is being transferred to another shard or returned to the cloud. */
  private isReservedForTransfer(machine: string): boolean {
    return this.autoscaler.movingMachines.has(machine) || this.transfers.hasPendingTransfer(machine);
  }

  private createRecords(): JobRecords {
    const { context, peers, replicator } = this.options;
    const { stateLimits, layoutKb } = context.settings;
    return new JobRecords(
      this.transactions,
      { ...stateLimits, layoutKb },
      () => peers.allSupportProtocolVersion(),
      () => replicator?.recordsChanged(),
    );
  }

  private createRegistry(): MachineRegistry {
    const { context, replicator } = this.options;
    return new MachineRegistry(context.clock, context.http, context.settings.workers, this.log, {
      holdsShard: () => this.lifecycle.mayAct(),
      ownedRevision: () => this.transactions.ownedRevision,
      writeRecord: (m) => this.autoscaler.writeRecord(m),
      isChangingShard: (m) => this.autoscaler.movingMachines.has(m.id),
      onAttemptFound: (h) => this.taskProgress.onAttemptFound(h),
      onAttemptChanged: (h) => this.taskProgress.onAttemptChanged(h),
      onAttemptGone: (h, why) => this.taskProgress.onAttemptGone(h, why),
      onIncarnation: (m) => this.replicationSource?.onMachineChanged(m),
      announceStarts: (attempts) =>
        replicator?.announce(attempts.map((h) => ({ job: h.job, machine: h.machine.id }))) ?? null,
      requestPlan: () => this.lifecycle.requestPlan(),
    });
  }

  private createDependencies(): DependencyTracker {
    const { context, index, peers } = this.options;
    return new DependencyTracker(context, index, this.jobTable.jobs, this.log, {
      endedStatus: (id) => this.jobTable.endedStatus(id),
      locate: (id) => peers.locate(id),
      jobStatusFromStore: (id) => peers.jobStatusFromStore(id),
      loadIfMissing: (id) => this.jobRequests.loadIfMissing(id),
      requestStatus: (shard, claims) => peers.requestDependencyStatus(shard, index, claims),
      notifyEnded: (shard, id, status) => peers.notifyDependencyEnded(shard, id, status),
      onReleased: () => this.lifecycle.requestPlan(),
      onCancelledByDependency: () => this.jobRequests.storePendingCancellations(),
      expectedEnd: (job, now) => this.planner.expectedEnd(job, now),
      runS: (spec) => this.estimates.runS(spec),
    });
  }

  private createTaskProgress(): TaskProgress {
    const { jobTable, registry, records, estimates, failures, log } = this;
    const { context } = this.options;
    return new TaskProgress({
      context,
      registry,
      jobTable,
      records,
      estimates,
      failures,
      log,
      hooks: {
        isStopped: () => this.lifecycle.isStopped(),
        requestPlan: () => this.lifecycle.requestPlan(),
        onOwnershipLost: () => this.lifecycle.onOwnershipLost(),
        onAttemptLeft: (job, h) => this.replicationSource?.onAttemptLeft(job, h),
        onRunning: (h) => this.replicationSource?.onRunning(h),
        onImageCached: (m) => this.replicationSource?.onMachineChanged(m),
        onRuntimeLearnt: (job) => this.replicationSource?.onRuntimeLearnt(job.spec.class),
        runningSince: (h) => this.warmStart.runningSince(h),
        onJobEnded: (job, status) => {
          this.replicationSource?.onJobEnded(job);
          this.resourceDemand.forget(job.spec.id);
          this.dependencies.onJobEnded(job.spec.id, status, job);
          this.lifecycle.requestPlan();
        },
      },
    });
  }

  private createDispatcher(): TaskDispatcher {
    const { context, term } = this.options;
    return new TaskDispatcher(context, term, this.registry, this.jobTable.jobs, this.log, {
      usageOf: (h) => this.jobTable.usageOf(h),
      unreconciledCapacity: () => this.unreconciled.capacity(),
      isConfirmedNotRunning: (job) => this.unreconciled.isConfirmedNotRunning(job),
      isReservedForTransfer: (id) => this.isReservedForTransfer(id),
      onOwnershipLost: () => this.lifecycle.onOwnershipLost(),
    });
  }

  private createTransfers(): MachineTransfers {
    return new MachineTransfers(this.options.context, this.registry, this.jobTable.jobs, this.log, {
      isReady: () => this.lifecycle.isReady(),
      isMoving: (id) => this.autoscaler.movingMachines.has(id),
      transferMachine: (id, to) => this.machineRecords.transferReserved(id, to),
      requestPlan: () => this.lifecycle.requestPlan(),
    });
  }

  private createPreemption(): Preemption {
    return new Preemption(this.options.context, this.registry, this.jobTable.jobs, this.log, {
      isConfirmedNotRunning: (job) => this.unreconciled.isConfirmedNotRunning(job),
      teamUsage: () => this.dispatcher.teamUsage(),
      freeCapacity: (m) => this.dispatcher.freeCapacity(m, new Map()),
      hasPendingTransfer: (machine) => this.transfers.hasPendingTransfer(machine),
    });
  }

  private createAutoscaler(): Autoscaler {
    const { context, index } = this.options;
    return new Autoscaler({
      context,
      shard: index,
      transactions: this.transactions,
      registry: this.registry,
      log: this.log,
      hooks: {
        isStopped: () => this.lifecycle.isStopped(),
        isIdle: (m) => this.isIdle(m),
        onRecorded: (id, entry) => this.machineRecords.apply(id, entry),
        onOwnershipLost: () => this.lifecycle.onOwnershipLost(),
        uniqueName: (kind) => this.jobTable.uniqueName(kind),
        taskSizeOf: (jobClass) => this.jobTable.taskSizeByClass.get(jobClass) ?? null,
        hasHadNoJob: () => this.jobTable.taskSizeByClass.size === 0,
        requestPlan: () => this.lifecycle.requestPlan(),
      },
    });
  }

  private createMachineRecords(): MachineRecords {
    const { context, index, term } = this.options;
    const { registry, autoscaler, log } = this;
    return new MachineRecords({
      context,
      index,
      term,
      registry,
      autoscaler,
      log,
      hooks: {
        isReady: () => this.lifecycle.isReady(),
        isLoaded: () => this.lifecycle.isLoaded(),
        isIdle: (m) => this.isIdle(m),
        requestPlan: () => this.lifecycle.requestPlan(),
      },
    });
  }

  private createPlanInput(): PlanInput {
    return new PlanInput(this.options.context, this.registry, this.estimates, {
      usageOf: (h) => this.jobTable.usageOf(h),
      isReservedForTransfer: (id) => this.isReservedForTransfer(id),
      rentals: () => this.autoscaler.rentals,
      unreconciledCapacity: () => this.unreconciled.capacity(),
      blockedUntil: (job, now) => this.unreconciled.blockedUntil(job, now),
    });
  }

  private createResourceDemand(): ResourceDemandTracker {
    const { context } = this.options;
    const { estimates, autoscaler } = this;
    return new ResourceDemandTracker({
      context,
      jobs: this.jobTable.jobs,
      estimates,
      autoscaler,
      hooks: {
        teamUsage: () => this.dispatcher.teamUsage(),
        isConfirmedNotRunning: (job) => this.unreconciled.isConfirmedNotRunning(job),
        isGuaranteed: (job) => this.order.isGuaranteed(job),
      },
    });
  }

  private createStatusReport(): ShardStatusReport {
    const { context, index } = this.options;
    const { registry, estimates, autoscaler, transfers } = this;
    return new ShardStatusReport({
      context,
      index,
      registry,
      jobs: this.jobTable.jobs,
      estimates,
      autoscaler,
      transfers,
      demand: this.resourceDemand,
      isIdle: (m) => this.isIdle(m),
    });
  }

  private createPlanner(): Planner {
    const { context } = this.options;
    const { estimates, planInput, order, dispatcher, preemption, resourceDemand } = this;
    return new Planner({ context, estimates, planInput, order, dispatcher, preemption, resourceDemand });
  }

  private createAdmission(): Admission {
    const { context } = this.options;
    const { jobTable, estimates, planInput, order, dependencies, autoscaler, planner } = this;
    return new Admission({
      context,
      jobTable,
      estimates,
      planInput,
      order,
      dependencies,
      autoscaler,
      lastPlan: () => planner.lastPlan,
    });
  }

  private createJobRequests(): JobRequests {
    const { context, index } = this.options;
    const { jobTable, records, admission, taskProgress, dependencies, log } = this;
    return new JobRequests({
      context,
      index,
      jobTable,
      records,
      admission,
      taskProgress,
      dependencies,
      log,
      hooks: {
        isReady: () => this.lifecycle.isReady(),
        mayAct: () => this.lifecycle.mayAct(),
        onOwnershipLost: () => this.lifecycle.onOwnershipLost(),
        requestPlan: () => this.lifecycle.requestPlan(),
      },
    });
  }

  private createReplicationSource(): ShardReplicationSource | null {
    const { context, replicator } = this.options;
    if (!replicator) return null;
    return new ShardReplicationSource(
      context,
      this.registry,
      this.jobTable.jobs,
      this.estimates,
      replicator,
      { placementsKnown: (job) => this.unreconciled.isConfirmedNotRunning(job) },
    );
  }
}
