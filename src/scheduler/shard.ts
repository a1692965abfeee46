// This package: one shard as its owner has it: acceptance, starts, preemption, demand, estimates, failures.

import { Autoscaler } from '../autoscaler/autoscaler.js';
import type { ResourceDemand, ShardStatus } from '../autoscaler/shardstatus.js';
import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { partSockets } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError } from '../errors/errors.js';
import { type Job, unplacedCount } from '../jobs/job.js';
import { JobRecords, type LoadedJob } from '../jobs/records.js';
import { KEYS, type MachineRecord, readMachineRecord } from '../schema/schema.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import { mayAct } from '../standby/takeoverchecks.js';
import { StateStoreError } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Heartbeat } from '../wire/workers.js';
import type { Machine } from '../workers/machine.js';
import { MachineRegistry } from '../workers/machineregistry.js';
import { type DependencyStatus, DependencyTracker, type DependentClaim } from './dependencytracker.js';
import { FailureTracker } from './failuretracker.js';
import { JobRequests } from './jobrequests.js';
import { JobTable } from './jobtable.js';
import { PlanInput } from './planinput.js';
import { Planner } from './planner.js';
import { Preemption } from './preemption.js';
import { ShardReplicationSource } from './replicationsource.js';
import { ResourceDemandTracker } from './resourcedemand.js';
import type { PeerShards, StatusAnswer, SubmitAnswer } from './responses.js';
import { RuntimeEstimates } from './runtimeestimates.js';
import { SpotDraining } from './spotdraining.js';
import { TaskDispatcher } from './taskdispatcher.js';
import { TaskProgress } from './taskprogress.js';
import { UnreconciledMachines } from './unreconciledmachines.js';
import { WarmStart } from './warmstart.js';

const TICK_MS = 1000;
const STATUS_LOG_INTERVAL_MS = 15_000;
const PLAN_DELAY_MS = 30;
const LOAD_RETRY_MS = 300;

/** One shard while this node owns it: its jobs, its machines and the plan that joins them. */
export class Shard {
  readonly registry: MachineRegistry;
  private readonly jobTable: JobTable;
  private readonly records: JobRecords;
  private readonly estimates: RuntimeEstimates;
  private readonly planInput: PlanInput;
  private readonly planner: Planner;
  private readonly resourceDemand: ResourceDemandTracker;
  private readonly autoscaler: Autoscaler;
  private readonly preemption: Preemption;
  private readonly dispatcher: TaskDispatcher;
  private readonly failures: FailureTracker;
  private readonly dependencies: DependencyTracker;
  private readonly taskProgress: TaskProgress;
  private readonly jobRequests: JobRequests;
  private readonly spotDraining: SpotDraining;
  private readonly replicationSource: ShardReplicationSource | null;
  private readonly warmStart: WarmStart;
  private readonly log: Log;
  private readonly claimedAt: number;
  private readonly unreconciled: UnreconciledMachines;
  private loaded = false;
  private stopped = false;
  private planRequested = false;
  private ticking = false;
  /** Before this moment there is no other plan. */
  private planNotBefore = 0;
  private statusLoggedAt = Number.NEGATIVE_INFINITY;
  private streamRestarted = false;

  constructor(
    private readonly context: ControllerContext,
    readonly index: number,
    readonly term: number,
    private readonly leaseCovers: () => boolean,
    private readonly onOwnershipLost: () => void,
    others: PeerShards,
    /** The owner's side of its standby, and what came from the former owner; null without one. */
    private readonly replicator: StandbyReplicator | null = null,
    private readonly takeover: TakeoverState | null = null,
  ) {
    this.log = context.log.child({ shard: index, term });
    this.claimedAt = context.clock.now();
    this.jobTable = new JobTable(context, index, term);
    const { jobs } = this.jobTable;
    this.records = new JobRecords(
      context.store,
      index,
      term,
      { ...context.settings.stateLimits, layoutKb: context.settings.layoutKb },
      () => others.allSupportLatest(),
      () => replicator?.recordsChanged(),
    );
    this.registry = new MachineRegistry(context.clock, context.http, context.settings.workers, this.log, {
      holdsShard: () => this.mayAct,
      renewFencingToken: (m) => this.autoscaler.writeRecord(m),
      onAttemptFound: (h) => this.taskProgress.onAttemptFound(h),
      onAttemptChanged: (h) => this.taskProgress.onAttemptChanged(h),
      onAttemptGone: (h, why) => this.taskProgress.onAttemptGone(h, why),
      onIncarnation: (m) => this.replicationSource?.onMachineChanged(m),
      announceStarts: (held) =>
        this.replicator?.announce(held.map((h) => ({ job: h.job, machine: h.machine.id }))) ?? null,
      requestPlan: () => this.requestPlan(),
    });
    this.unreconciled = new UnreconciledMachines(
      context,
      this.registry,
      takeover?.snapshot ?? null,
      this.log,
      this.claimedAt,
    );
    this.estimates = new RuntimeEstimates(context, jobs);
    this.dependencies = new DependencyTracker(context, index, jobs, this.log, {
      endedStatus: (id) => this.jobTable.endedStatus(id),
      locate: (id) => others.locate(id),
      jobStatusFromStore: (id) => others.jobStatusFromStore(id),
      recall: (id) => this.jobRequests.recall(id),
      requestStatus: (shard, claims) => others.requestDependencyStatus(shard, index, claims),
      notifyEnded: (shard, id, status) => others.notifyDependencyEnded(shard, id, status),
      onReleased: () => this.requestPlan(),
      onCancelledByDependency: () => this.jobRequests.storePendingCancellations(),
      expectedEnd: (job, now) => this.planner.expectedEnd(job, now),
      runS: (spec) => this.estimates.runS(spec),
    });
    this.failures = new FailureTracker(jobs, this.registry.machines, this.log, (job) =>
      this.replicationSource?.onQuarantineChanged(job),
    );
    this.taskProgress = new TaskProgress(
      context,
      this.registry,
      this.jobTable,
      this.records,
      this.estimates,
      this.failures,
      this.log,
      {
        stopped: () => this.stopped,
        requestPlan: () => this.requestPlan(),
        lostOwnership: () => this.lostOwnership(),
        onAttemptLeft: (job, h) => this.replicationSource?.onAttemptLeft(job, h),
        onRunning: (h) => this.replicationSource?.onRunning(h),
        onImageCached: (m) => this.replicationSource?.onMachineChanged(m),
        onRuntimeLearnt: (job) => this.replicationSource?.onRuntimeLearnt(job.spec.class),
        runningSince: (h) => this.warmStart.runningSince(h),
        onJobEnded: (job, status) => {
          this.replicationSource?.onJobEnded(job);
          this.resourceDemand.forget(job.spec.id);
          this.dependencies.onJobEnded(job.spec.id, status, job);
          this.requestPlan();
        },
      },
    );
    this.dispatcher = new TaskDispatcher(context, term, this.registry, jobs, this.log, {
      usageOf: (h) => this.jobTable.usageOf(h),
      unreconciledCapacity: () => this.unreconciled.capacity(),
      surelyNotRunning: (job) => this.unreconciled.surelyNotRunning(job),
      isReservedForTransfer: (id) =>
        this.autoscaler.moving.has(id) || this.preemption.reservedForTransfer.has(id),
      lostOwnership: () => this.lostOwnership(),
    });
    this.preemption = new Preemption(context, this.registry, jobs, this.log, {
      ready: () => this.ready,
      surelyNotRunning: (job) => this.unreconciled.surelyNotRunning(job),
      teamUsage: () => this.dispatcher.teamUsage(),
      freeCapacity: (m) => this.dispatcher.freeCapacity(m, new Map()),
      isMoving: (id) => this.autoscaler.moving.has(id),
      transferMachine: (id, to) => this.transferMachine(id, to, true),
      requestPlan: () => this.requestPlan(),
    });
    this.autoscaler = new Autoscaler({
      context,
      shard: index,
      term,
      registry: this.registry,
      log: this.log,
      hooks: {
        stopped: () => this.stopped,
        isIdle: (m) => this.isIdle(m),
        recorded: (id, entry) => this.onMachineRecord(id, entry),
        lostOwnership: () => this.lostOwnership(),
        uniqueName: (kind) => this.jobTable.uniqueName(kind),
        taskSizeOf: (jobClass) => this.jobTable.taskSizeByClass.get(jobClass) ?? null,
        hasSeenNoJob: () => this.jobTable.taskSizeByClass.size === 0,
        requestPlan: () => this.requestPlan(),
      },
    });
    this.planInput = new PlanInput(context, this.registry, this.estimates, {
      usageOf: (h) => this.jobTable.usageOf(h),
      isReservedForTransfer: (id) =>
        this.autoscaler.moving.has(id) || this.preemption.reservedForTransfer.has(id),
      rentals: () => this.autoscaler.rentals,
      unreconciledCapacity: () => this.unreconciled.capacity(),
      blockedUntil: (job, now) => this.unreconciled.blockedUntil(job, now),
    });
    this.resourceDemand = new ResourceDemandTracker(
      context,
      index,
      this.registry,
      jobs,
      this.estimates,
      this.autoscaler,
      this.preemption,
      {
        teamUsage: () => this.dispatcher.teamUsage(),
        nowhereElse: (job) => this.unreconciled.surelyNotRunning(job),
        guaranteed: (job) => this.planner.isGuaranteed(job),
        spare: (m) => this.isIdle(m),
      },
    );
    this.planner = new Planner(
      context,
      this.jobTable,
      this.registry,
      this.estimates,
      this.planInput,
      this.dependencies,
      this.autoscaler,
      this.dispatcher,
      this.preemption,
      this.resourceDemand,
    );
    this.jobRequests = new JobRequests(
      context,
      index,
      this.jobTable,
      this.records,
      this.planner,
      this.taskProgress,
      this.dependencies,
      this.log,
      {
        ready: () => this.ready,
        mayAct: () => this.mayAct,
        lostOwnership: () => this.lostOwnership(),
        requestPlan: () => this.requestPlan(),
      },
    );
    this.spotDraining = new SpotDraining(this.registry, jobs, this.estimates, TICK_MS);
    this.warmStart = new WarmStart(context, takeover?.snapshot ?? null);
    this.replicationSource = replicator
      ? new ShardReplicationSource(context, this.registry, jobs, this.estimates, replicator, {
          placementsKnown: (job) => this.unreconciled.surelyNotRunning(job),
        })
      : null;
  }

  get mayAct(): boolean {
    return mayAct({
      stopped: this.stopped,
      holdsLease: this.leaseCovers(),
      standbyLeaseCovers: this.replicator?.leaseCovers ?? true,
    });
  }

  get ready(): boolean {
    return this.loaded && this.mayAct;
  }

  stop(): void {
    this.stopped = true;
    this.registry.stop();
    this.dependencies.stop();
    this.replicator?.stop();
  }

  /** Loads what the state service has of the shard; tried again until it works or the shard is lost. */
  async start(): Promise<void> {
    while (!this.stopped) {
      try {
        const [jobs, machines] = await Promise.all([this.loadJobs(), this.context.store.list(KEYS.machines)]);
        if (this.stopped) return;
        const adopted = jobs.map((l) => this.taskProgress.adopt(l));
        for (const job of adopted) {
          // What it needs is not done under this term yet, so that no owner before can have started it.
          if (job.spec.after.some((id) => this.jobTable.jobs.has(id))) job.acceptedUnderThisTerm = true;
        }
        this.dependencies.add(adopted);
        for (const e of machines.entries) this.onMachineRecord(e.key.slice(KEYS.machines.length), e);
        for (const m of this.registry.machines.values()) {
          m.mayHoldUnreportedTasks = true;
          m.leaseRenewedAt = this.claimedAt;
          m.lastAcknowledgedAt = this.claimedAt;
        }
        this.warmStart.apply(adopted, this.registry.machines.values(), this.estimates);
        this.loaded = true;
        this.unreconciled.onLoaded();
        this.log.info(
          { jobs: jobs.length, machines: this.registry.machines.size, warm: this.takeover !== null },
          'shard taken',
        );
        const greeted = this.warmStart.reconciliationOrder([...this.registry.machines.values()], adopted);
        void this.registry.reconcileAll(
          greeted,
          (m) => this.warmStart.incarnationOf(m),
          this.maxConcurrentReconciliations,
        );
        if (this.replicator && this.replicationSource) {
          this.replicator.start(this.replicationSource);
        }
        this.loop();
        return;
      } catch (error) {
        this.log.debug({ err: error }, 'loading the shard failed');
        await pause(this.context.clock, LOAD_RETRY_MS);
      }
    }
  }

  /** Jobs with all changes up to the claim: from what the standby has followed, else read anew. */
  private async loadJobs(): Promise<LoadedJob[]> {
    const followed = (await this.takeover?.jobs(this.term)) ?? null;
    if (!followed) return this.records.load();
    this.log.info({ jobs: followed.jobs.length, changes: followed.changes }, 'records followed up');
    return followed.jobs;
  }

  /** Half of the sockets for workers: answers and orders need some meanwhile. */
  private get maxConcurrentReconciliations(): number {
    return Math.max(4, Math.floor(partSockets(this.context.settings.limits.maxSockets).workers / 2));
  }

  private loop(): void {
    if (this.stopped) return;
    this.tick();
    this.context.clock.after(TICK_MS, () => this.loop());
  }

  /** Plans again soon; many changes at once make one plan. */
  requestPlan(): void {
    if (this.planRequested || this.stopped) return;
    this.planRequested = true;
    this.context.clock.after(Math.max(PLAN_DELAY_MS, this.planNotBefore - this.context.clock.now()), () => {
      this.planRequested = false;
      this.runIfActive(() => this.replan(this.context.clock.now()));
    });
  }

  // --- records of machines

  /** The record of a machine as the state service has it. */
  onMachineRecord(id: string, entry: Entry | null): void {
    const m = this.registry.machines.get(id);
    const r = entry && readMachineRecord(entry.value);
    if (!entry || !r || r.shard !== this.index) {
      if (m && (!entry || entry.version > m.version)) this.registry.remove(m);
      return;
    }
    if (m) {
      if (entry.version > m.version) {
        m.version = entry.version;
        m.decommissioning = r.state === 'leaving';
        if (entry.version > m.fencingToken) {
          m.fencingToken = entry.version;
          m.reconciled = false;
        }
      }
      return;
    }
    this.addMachine(id, r, entry.version);
  }

  private addMachine(id: string, r: MachineRecord, version: number): void {
    const now = this.context.clock.now();
    const listed = this.context.catalog.listedById.get(id);
    this.registry.machines.set(id, {
      id,
      addr: r.addr || listed?.addr || '',
      type: this.context.names.types.index(r.type),
      zone: this.context.names.zones.index(r.zone),
      spot: r.spot,
      decommissioning: r.state === 'leaving',
      version,
      fencingToken: Math.max(this.term, version),
      incarnation: 0,
      heartbeatSequence: -1,
      minIncarnation: 0,
      reconciled: false,
      mayHoldUnreportedTasks: false,
      leaseRenewedAt: now,
      lastAcknowledgedAt: now,
      lastHeartbeatAt: null,
      leaseExpired: false,
      rentedAt: now - Math.max(0, this.context.clock.wall() - r.rentedAt),
      reclaimAt: null,
      attempts: new Map(),
      images: new Map(),
      idleSince: now,
      unreachableAt: null,
      unconfirmedResponses: 0,
      consecutiveErrors: 0,
      quarantinedUntil: 0,
    });
    const m = this.registry.machines.get(id)!;
    if (this.loaded) void this.registry.reconcile(m, null);
    this.requestPlan();
  }

  private lostOwnership(): Error {
    this.stop();
    this.onOwnershipLost();
    return new NotOwnerError();
  }

  /** Gives an empty machine to another shard. False when it is not to be had. */
  async transferMachine(id: string, to: number, promised = false): Promise<boolean> {
    const m = this.registry.machines.get(id);
    if (!m || !this.ready || this.autoscaler.moving.has(id)) return false;
    if (promised ? !this.isEmpty(m) : !this.isIdle(m)) return false;
    this.autoscaler.moving.add(id);
    try {
      await this.autoscaler.writeRecord(m, { shard: to });
      this.registry.remove(m);
      this.log.info({ machine: id, to }, 'machine given');
      return true;
    } catch (error) {
      this.log.info({ machine: id, err: error }, 'giving failed');
      if (!(error instanceof StateStoreError) || error.mayHaveApplied) await this.autoscaler.settleRecord(m);
      return false;
    } finally {
      this.autoscaler.moving.delete(id);
    }
  }

  private isIdle(m: Machine): boolean {
    return (
      this.isEmpty(m) && !this.planner.hasReservation(m.id) && !this.preemption.reservedForTransfer.has(m.id)
    );
  }

  private isEmpty(m: Machine): boolean {
    return (
      m.reconciled &&
      !m.decommissioning &&
      !m.leaseExpired &&
      !m.mayHoldUnreportedTasks &&
      m.attempts.size === 0 &&
      m.reclaimAt === null
    );
  }

  // --- reports

  onHeartbeat(m: Machine, r: Heartbeat): object | null {
    if (!this.loaded) return null;
    return this.registry.onHeartbeat(m, r);
  }

  // --- what is asked of an owner

  /** A job of this shard that is not over yet. */
  job(id: string): Job | undefined {
    return this.jobTable.jobs.get(id);
  }

  submit(spec: JobSpec): Promise<SubmitAnswer> {
    return this.jobRequests.submit(spec);
  }

  status(id: string): Promise<StatusAnswer | null> {
    return this.jobRequests.status(id);
  }

  cancel(id: string): Promise<'done' | 'cancelled' | null> {
    return this.jobRequests.cancel(id);
  }

  /** The first unfinished jobs after an id that begin with `under`, in the order of ids. */
  list(under: string, after: string, most: number): ListedJob[] {
    return this.jobRequests.list(under, after, most);
  }

  /** Another shard needs jobs of this one. */
  dependencyStatus(shard: number, claims: readonly DependentClaim[]): DependencyStatus[] {
    this.jobRequests.requireReady();
    return this.dependencies.onDependentClaims(shard, claims);
  }

  /** A job of another shard is durably over. */
  onDependencyEnded(id: string, status: 'done' | 'cancelled'): void {
    if (this.ready) this.dependencies.onJobEnded(id, status, null);
  }

  // --- the plan

  private tick(): void {
    this.runIfActive(() => {
      const now = this.context.clock.now();
      this.restartStreamOnceReconciled();
      this.planner.age();
      this.dependencies.tick(now);
      this.jobRequests.storePendingCancellations();
      this.spotDraining.drain(now);
      this.registry.sendStops();
      this.preemption.completeTransfers(now);
      this.autoscaler.returnIdle(now);
      this.logStatus(now);
      this.requestPlan();
    });
  }

  /** Once all machines are known it is sure of every job where it is, which the standby should know too. */
  private restartStreamOnceReconciled(): void {
    if (!this.replicator || this.streamRestarted || !this.unreconciled.allReconciled) return;
    this.streamRestarted = true;
    this.replicator.restartStream();
  }

  /** How the shard stands, for its operators: what each team runs and has waiting, and what its machines do. */
  private logStatus(now: number): void {
    if (now - this.statusLoggedAt < STATUS_LOG_INTERVAL_MS) return;
    this.statusLoggedAt = now;
    this.failures.sweep();
    const teams: Record<string, { jobs: number; placed: number; open: number }> = {};
    for (const job of this.jobTable.jobs.values()) {
      teams[job.spec.team] ??= { jobs: 0, placed: 0, open: 0 };
      const team = teams[job.spec.team]!;
      team.jobs++;
      team.placed += job.placements.size;
      team.open += unplacedCount(job);
    }
    const machines = { all: 0, booting: 0, empty: 0, unsure: 0 };
    for (const m of this.registry.machines.values()) {
      machines.all++;
      if (m.lastHeartbeatAt === null) machines.booting++;
      else if (!m.reconciled || m.leaseExpired || m.mayHoldUnreportedTasks) machines.unsure++;
      else if (m.attempts.size === 0) machines.empty++;
    }
    this.log.info({ teams, machines }, 'load');
  }

  /**
   * A controller has a fraction of a core, and its lease must be renewed and users answered beside the planning: after
   * each plan there is a pause in proportion to what it took.
   */
  private replan(now: number): void {
    this.unreconciled.logOnceReconciled(now);
    this.planner.schedule(now);
    this.registry.sendStops();
    const after = this.context.clock.now();
    this.planNotBefore = after + this.planner.pauseAfterMs(after - now);
  }

  private runIfActive(work: () => void): void {
    if (this.ticking || !this.loaded || this.stopped) return;
    this.ticking = true;
    try {
      // An owner that may not act loses no machine either: they are another's by now, or its again with its lease.
      if (!this.mayAct) return;
      this.registry.tick();
      work();
    } catch (error) {
      this.log.error({ err: error }, 'tick failed');
    } finally {
      this.ticking = false;
    }
  }

  // --- renting and returning

  /** Promises a machine whose tasks end soon to a shard where urgent work waits longer. False when there is none. */
  reserveForTransfer(to: number, need: ResourceDemand, zone: string): boolean {
    const now = this.context.clock.now();
    return this.preemption.reserveForTransfer(to, need, zone, (h) => this.estimates.expectedEnd(h, now));
  }

  shardStatus(node: string): ShardStatus {
    return this.resourceDemand.gossip(node);
  }

  /** Clears a machine for another shard's more urgent work. False when that is not to be. */
  evictForTransfer(id: string, to: number, priority: number): boolean {
    return this.preemption.evictForTransfer(id, to, priority);
  }

  /** The cloud's list has been read. */
  onMachineList(): void {
    this.autoscaler.onMachinesListed();
  }
}
