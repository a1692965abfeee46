// This package: one shard as its owner has it: acceptance, starts, preemption, demand, estimates, failures.

import type { ResourceDemand, ShardStatus } from '../autoscaler/shardstatus.js';
import { pause } from '../clock/clock.js';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { Log } from '../config/log.js';
import { allocateSockets } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError } from '../errors/errors.js';
import type { Job } from '../jobs/job.js';
import type { LoadedJob } from '../jobs/records.js';
import { KEYS } from '../schema/schema.js';
import { mayAct } from '../standby/takeoverchecks.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Heartbeat } from '../wire/workers.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';
import { pauseAfterPlanMs } from './planningbudget.js';
import type { StatusAnswer, SubmitAnswer } from './responses.js';
import { ShardComponents } from './shardcomponents.js';
import { type ShardOptions, TICK_INTERVAL_MS } from './shardoptions.js';

/** Many changes that come close together make one plan. */
const PLAN_DELAY_MS = 30;
const LOAD_RETRY_MS = 300;

/** One shard while this node owns it: its lifecycle, and what others ask of its owner. */
export class Shard {
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  /** The revision of the owner's key. */
  readonly term: number;
  /** The shard's machines as they report. */
  readonly registry: MachineRegistry;
  private readonly context: ControllerContext;
  private readonly components: ShardComponents;
  private readonly log: Log;
  /** When the shard was claimed, in steady milliseconds. */
  private readonly claimedAt: number;
  private loaded = false;
  private stopped = false;
  private planRequested = false;
  private ticking = false;
  /** Before this moment there is no other plan. */
  private planNotBefore = 0;
  private streamRestarted = false;
  private tickTask: PeriodicTask | null = null;

  constructor(private readonly options: ShardOptions) {
    this.context = options.context;
    this.index = options.index;
    this.term = options.term;
    this.log = this.context.log.child({ shard: this.index, term: this.term });
    this.claimedAt = this.context.clock.now();
    const lifecycle = {
      isStopped: () => this.stopped,
      isLoaded: () => this.loaded,
      isReady: () => this.ready,
      mayAct: () => this.mayAct,
      requestPlan: () => this.requestPlan(),
      lostOwnership: () => this.lostOwnership(),
    };
    this.components = new ShardComponents(options, lifecycle, this.log, this.claimedAt);
    this.registry = this.components.registry;
  }

  /** Whether this node surely owns the shard: its lease and the promise of its standby last, by the clock just now. */
  get mayAct(): boolean {
    return mayAct({
      stopped: this.stopped,
      holdsLease: this.options.leaseCovers(),
      standbyLeaseCovers: this.options.replicator?.leaseCovers ?? true,
    });
  }

  /** Whether the shard is loaded and its owner may act. */
  get ready(): boolean {
    return this.loaded && this.mayAct;
  }

  /** Ends this node's ownership, for good: nothing more is planned, sent or stored. */
  stop(): void {
    this.stopped = true;
    this.tickTask?.stop();
    this.registry.stop();
    this.components.dependencies.stop();
    this.options.replicator?.stop();
  }

  private lostOwnership(): Error {
    this.stop();
    this.options.onOwnershipLost();
    return new NotOwnerError();
  }

  // --- loading

  /** Loads what the key-value store has of the shard; tried again until it works or the shard is lost. */
  async start(): Promise<void> {
    while (!this.stopped) {
      try {
        const [jobs, machines] = await Promise.all([this.loadJobs(), this.context.store.list(KEYS.machines)]);
        if (this.stopped) return;
        this.onLoaded(jobs, machines.entries);
        return;
      } catch (error) {
        this.log.debug({ err: error }, 'shard load failed');
        await pause(this.context.clock, LOAD_RETRY_MS);
      }
    }
  }

  /** Jobs with all changes up to the claim: from what the standby has followed, else read anew. */
  private async loadJobs(): Promise<LoadedJob[]> {
    const followed = (await this.options.takeover?.jobs(this.term)) ?? null;
    if (!followed) return this.components.records.load();
    this.log.info({ jobs: followed.jobs.length, changes: followed.changes }, 'replicated records completed');
    return followed.jobs;
  }

  private onLoaded(loaded: readonly LoadedJob[], machines: readonly Entry[]): void {
    const { warmStart, unreconciled, estimates } = this.components;
    const jobs = this.adoptJobs(loaded);
    this.adoptMachines(machines);
    warmStart.apply(jobs, this.registry.machines.values(), estimates);
    this.loaded = true;
    unreconciled.onLoaded();
    this.log.info(
      { jobs: loaded.length, machines: this.registry.machines.size, warm: this.options.takeover !== null },
      'shard loaded',
    );
    void this.registry.reconcileAll(
      warmStart.reconciliationOrder([...this.registry.machines.values()], jobs),
      (m) => warmStart.incarnationOf(m),
      this.maxConcurrentReconciliations,
    );
    this.startReplication();
    this.startTicking();
  }

  private adoptJobs(loaded: readonly LoadedJob[]): Job[] {
    const { taskProgress, jobTable, dependencies } = this.components;
    const adopted = loaded.map((l) => taskProgress.adopt(l));
    for (const job of adopted) {
      // A job that it depends on is not done under this term yet, so that no former owner can have started it.
      if (job.spec.after.some((id) => jobTable.jobs.has(id))) job.acceptedUnderThisTerm = true;
    }
    dependencies.add(adopted);
    return adopted;
  }

  private adoptMachines(entries: readonly Entry[]): void {
    for (const e of entries) this.onMachineRecord(e.key.slice(KEYS.machines.length), e);
    for (const m of this.registry.machines.values()) {
      m.mayHoldUnreportedTasks = true;
      m.leaseRenewedAt = this.claimedAt;
      m.lastAcknowledgedAt = this.claimedAt;
    }
  }

  /** Half of the sockets for workers: heartbeats and commands need some meanwhile. */
  private get maxConcurrentReconciliations(): number {
    return Math.max(4, Math.floor(allocateSockets(this.context.settings.limits.maxSockets).workers / 2));
  }

  private startReplication(): void {
    const { replicator } = this.options;
    const { replicationSource } = this.components;
    if (!replicator || !replicationSource) return;
    replicator.start(replicationSource);
  }

  private startTicking(): void {
    if (this.stopped) return;
    const task = startPeriodicTask(this.context.clock, TICK_INTERVAL_MS, () => this.tick());
    // The first run may have found that the shard is lost.
    if (this.stopped) task.stop();
    else this.tickTask = task;
  }

  // --- planning

  private tick(): void {
    this.runIfActive(() => {
      const now = this.context.clock.now();
      const { order, dependencies, jobRequests, spotDraining, transfers, autoscaler } = this.components;
      this.restartStreamOnceReconciled();
      order.age();
      dependencies.tick(now);
      jobRequests.storePendingCancellations();
      spotDraining.drain(now);
      this.registry.sendStops();
      transfers.completeTransfers(now);
      autoscaler.returnIdle(now);
      if (this.components.statusLog.logIfDue(now)) this.components.failures.sweep();
      this.requestPlan();
    });
  }

  /** Once all machines have reported it is sure of every job where it is, which the standby should know too. */
  private restartStreamOnceReconciled(): void {
    const { replicator } = this.options;
    if (!replicator || this.streamRestarted || !this.components.unreconciled.allReconciled) return;
    this.streamRestarted = true;
    replicator.restartStream();
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

  /**
   * A controller has a fraction of a core, and its lease must be renewed and users answered beside the planning: after
   * each plan there is a pause in proportion to what it took.
   */
  private replan(now: number): void {
    const { unreconciled, planner } = this.components;
    unreconciled.logOnceReconciled(now);
    planner.schedule(now);
    this.registry.sendStops();
    const after = this.context.clock.now();
    this.planNotBefore = after + pauseAfterPlanMs(this.context, after - now);
  }

  private runIfActive(work: () => void): void {
    if (this.ticking || !this.loaded || this.stopped) return;
    this.ticking = true;
    try {
      // An owner that may not act declares no machine lost either: they are another's by now, or its again with its lease.
      if (!this.mayAct) return;
      this.registry.tick();
      work();
    } catch (error) {
      this.log.error({ err: error }, 'shard tick failed');
    } finally {
      this.ticking = false;
    }
  }

  // --- machines

  /** The record of a machine as the key-value store has it; null when it has been deleted. */
  onMachineRecord(id: string, entry: Entry | null): void {
    this.components.machineRecords.apply(id, entry);
  }

  /** The cloud's list of machines has been read. */
  onMachineList(): void {
    this.components.autoscaler.onMachinesListed();
  }

  /** A machine of the shard reports. Returns the body to answer with, or null when it must not be answered with 200. */
  onHeartbeat(m: Machine, r: Heartbeat): object | null {
    return this.loaded ? this.registry.onHeartbeat(m, r) : null;
  }

  /** Transfers an idle machine to another shard. False when it is not idle or the record could not be written. */
  transferMachine(id: string, to: number): Promise<boolean> {
    return this.components.machineRecords.transferIdle(id, to);
  }

  /** Reserves a machine whose tasks end soon for a shard where urgent work waits longer. False when there is none. */
  reserveForTransfer(to: number, need: ResourceDemand, zone: string): boolean {
    const now = this.context.clock.now();
    const { transfers, estimates } = this.components;
    return transfers.reserveForTransfer(to, need, zone, (h) => estimates.expectedEnd(h, now));
  }

  /** Stops all tasks on a machine for another shard's more urgent work. False when its tasks may not be stopped for that. */
  evictForTransfer(id: string, to: number, priority: number): boolean {
    return this.components.transfers.evictForTransfer(id, to, priority);
  }

  /** What the shard lacks and what it has to spare, for the leader; `node` is the owner's name. */
  shardStatus(node: string): ShardStatus {
    return this.components.statusReport.status(node);
  }

  // --- jobs

  /** A job of this shard that is not over yet. */
  job(id: string): Job | undefined {
    return this.components.jobTable.jobs.get(id);
  }

  /** Accepts a job or refuses it. Throws `UnavailableError` when that is not known now. */
  submit(spec: JobSpec): Promise<SubmitAnswer> {
    return this.components.jobRequests.submit(spec);
  }

  /** The status of a job; null when the shard has none of that id. Throws `UnavailableError` when it is not known now. */
  status(id: string): Promise<StatusAnswer | null> {
    return this.components.jobRequests.status(id);
  }

  /** Cancels a job; returns how it has ended, or null when the shard has none of that id. Throws as `status`. */
  cancel(id: string): Promise<'done' | 'cancelled' | null> {
    return this.components.jobRequests.cancel(id);
  }

  /** The first unfinished jobs after an id that begin with `prefix`, in the order of ids; at most `limit`. */
  list(prefix: string, after: string, limit: number): ListedJob[] {
    return this.components.jobRequests.list(prefix, after, limit);
  }

  /** Another shard depends on jobs of this one. Throws `UnavailableError` while the shard is not ready. */
  dependencyStatus(shard: number, claims: readonly DependentClaim[]): DependencyStatus[] {
    this.components.jobRequests.requireReady();
    return this.components.dependencies.onDependentClaims(shard, claims);
  }

  /** A job of another shard is durably over. */
  onDependencyEnded(id: string, status: 'done' | 'cancelled'): void {
    if (this.ready) this.components.dependencies.onJobEnded(id, status, null);
  }
}
