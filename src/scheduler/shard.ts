// This package runs one shard at its owner: admission, starts, preemption, demand, estimates and failures.

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
import type { JobStatusResponse, SubmitResponse } from './responses.js';
import { ShardComponents } from './shardcomponents.js';
import { type ShardOptions, TICK_INTERVAL_MS } from './shardoptions.js';

/** Delay before a plan, so that changes in quick succession lead to a single plan. */
const PLAN_DELAY_MS = 30;
const LOAD_RETRY_MS = 300;

/** A shard while this node owns it: its lifecycle, and the operations that other components request of its owner. */
export class Shard {
  /** Index among the shards of the cluster. */
  readonly index: number;
  /** Revision of the owner's key. */
  readonly term: number;
  /** Machines of the shard, as their heartbeats describe them. */
  readonly registry: MachineRegistry;
  private readonly context: ControllerContext;
  private readonly components: ShardComponents;
  private readonly log: Log;
  /** Time at which the shard was claimed; milliseconds on the monotonic clock. */
  private readonly claimedAt: number;
  private loaded = false;
  private stopped = false;
  private planRequested = false;
  private ticking = false;
  /** Earliest time of the next plan; milliseconds on the monotonic clock. */
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
      onOwnershipLost: () => this.onOwnershipLost(),
    };
    this.components = new ShardComponents(options, lifecycle, this.log, this.claimedAt);
    this.registry = this.components.registry;
  }

  /**
   * Whether this node certainly owns the shard: its lease and the promise of its standby are still valid by
   * the clock at the moment of the call.
   */
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

  /** Ends this node's ownership permanently: nothing is planned, sent or stored any longer. */
  stop(): void {
    this.stopped = true;
    this.tickTask?.stop();
    this.registry.stop();
    this.components.dependencies.stop();
    this.options.replicator?.stop();
  }

  private onOwnershipLost(): Error {
    this.stop();
    this.options.onOwnershipLost();
    return new NotOwnerError();
  }

  // --- loading

  /** Loads the shard from the key-value store; retries until that succeeds or the shard is lost. */
  async start(): Promise<void> {
    while (!this.stopped) {
      try {
        const [jobs, machines] = await Promise.all([this.loadJobs(), this.context.store.list(KEYS.machines)]);
        if (this.stopped) return;
        this.onLoaded(jobs, machines.entries);
        return;
      } catch (error) {
        this.log.debug({ err: error }, 'shard could not be loaded: retrying');
        await pause(this.context.clock, LOAD_RETRY_MS);
      }
    }
  }

  /** Loads the jobs with all changes up to the claim: from the records that the standby followed, else the store. */
  private async loadJobs(): Promise<LoadedJob[]> {
    const replica = (await this.options.takeover?.jobs(this.term)) ?? null;
    if (!replica) return this.components.records.load();
    this.log.info({ jobs: replica.jobs.length, changes: replica.changes }, 'jobs restored from the replica');
    return replica.jobs;
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
    const adopted = loaded.map((job) => taskProgress.adopt(job));
    for (const job of adopted) {
      // A dependency is not done yet under this term, so no former owner can have started this job.
      if (job.spec.after.some((id) => jobTable.jobs.has(id))) job.acceptedUnderThisTerm = true;
    }
    dependencies.add(adopted);
    return adopted;
  }

  private adoptMachines(entries: readonly Entry[]): void {
    for (const entry of entries) this.onMachineRecord(entry.key.slice(KEYS.machines.length), entry);
    for (const machine of this.registry.machines.values()) {
      machine.mayHoldUnreportedTasks = true;
      machine.leaseRenewedAt = this.claimedAt;
      machine.lastAcknowledgedAt = this.claimedAt;
    }
  }

  /** Half of the worker sockets; the others stay available for heartbeats and commands. */
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
      autoscaler.returnUnneeded(now);
      if (this.components.statusLog.logIfDue(now)) this.components.failures.sweep();
      this.requestPlan();
    });
  }

  /**
   * Restarts the replication stream once all machines have sent a heartbeat: the owner then knows the placements of
   * every job, and the standby should know them too.
   */
  private restartStreamOnceReconciled(): void {
    const { replicator } = this.options;
    if (!replicator || this.streamRestarted || !this.components.unreconciled.allReconciled) return;
    this.streamRestarted = true;
    replicator.restartStream();
  }

  /** Schedules a plan soon; many changes at once lead to a single plan. */
  requestPlan(): void {
    if (this.planRequested || this.stopped) return;
    this.planRequested = true;
    this.context.clock.after(Math.max(PLAN_DELAY_MS, this.planNotBefore - this.context.clock.now()), () => {
      this.planRequested = false;
      this.runIfActive(() => this.replan(this.context.clock.now()));
    });
  }

  /**
   * Plans, and then delays the next plan in proportion to the time that this one took: a controller has only
   * a fraction of a core, and must renew its lease and answer users besides planning.
   */
  private replan(now: number): void {
    const { unreconciled, planner } = this.components;
    unreconciled.logOnceReconciled(now);
    planner.schedule(now);
    this.registry.sendStops();
    const finishedAt = this.context.clock.now();
    this.planNotBefore = finishedAt + pauseAfterPlanMs(this.context, finishedAt - now);
  }

  private runIfActive(work: () => void): void {
    if (this.ticking || !this.loaded || this.stopped) return;
    this.ticking = true;
    try {
      // An owner that may not act must not declare machines lost either: they belong to another owner by now,
      // or stay its own once its lease is renewed.
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

  /** Applies the record of a machine as read from the key-value store; null when it has been deleted. */
  onMachineRecord(id: string, entry: Entry | null): void {
    this.components.machineRecords.apply(id, entry);
  }

  /** Handles a new reading of the cloud's list of machines. */
  onMachineList(): void {
    this.components.autoscaler.onMachinesListed();
  }

  /** Handles the heartbeat of a machine. Returns the response body, or null when it must not be answered with 200. */
  onHeartbeat(machine: Machine, heartbeat: Heartbeat): object | null {
    return this.loaded ? this.registry.onHeartbeat(machine, heartbeat) : null;
  }

  /**
   * Transfers an idle machine to another shard. Returns false when it is not idle or its record could not be
   * written.
   */
  transferMachine(id: string, to: number): Promise<boolean> {
    return this.components.machineRecords.transferIdle(id, to);
  }

  /**
   * Reserves a machine whose tasks end soon for a shard where urgent work waits longer. Returns false when
   * there is none.
   */
  reserveForTransfer(to: number, need: ResourceDemand, zone: string): boolean {
    const now = this.context.clock.now();
    const { transfers, estimates } = this.components;
    return transfers.reserveForTransfer(to, need, zone, (attempt) => estimates.expectedEnd(attempt, now));
  }

  /**
   * Stops all tasks on a machine for more urgent work of another shard. Returns false when they may not be
   * stopped for it.
   */
  evictForTransfer(id: string, to: number, priority: number): boolean {
    return this.components.transfers.evictForTransfer(id, to, priority);
  }

  /** Returns the demands and spare machines of the shard, for the leader; `node` is the owner's name. */
  shardStatus(node: string): ShardStatus {
    return this.components.statusReport.status(node);
  }

  // --- jobs

  /** Returns a job of this shard that has not ended. */
  job(id: string): Job | undefined {
    return this.components.jobTable.jobs.get(id);
  }

  /** Accepts a job or refuses it. Throws `UnavailableError` when this cannot be decided now. */
  submit(spec: JobSpec): Promise<SubmitResponse> {
    return this.components.jobRequests.submit(spec);
  }

  /**
   * Returns the status of a job; null when the shard has no job of that id. Throws `UnavailableError` when it
   * is not known now.
   */
  status(id: string): Promise<JobStatusResponse | null> {
    return this.components.jobRequests.status(id);
  }

  /** Cancels a job; returns how it ended, or null if the shard has no job of that id. Throws as `status` does. */
  cancel(id: string): Promise<'done' | 'cancelled' | null> {
    return this.components.jobRequests.cancel(id);
  }

  /** Returns up to `limit` unfinished jobs whose ids begin with `prefix` and follow `after`, in the order of ids. */
  list(prefix: string, after: string, limit: number): ListedJob[] {
    return this.components.jobRequests.list(prefix, after, limit);
  }

  /**
   * Handles claims of another shard that depends on jobs of this one. Throws `UnavailableError` while the
   * shard is not ready.
   */
  dependencyStatus(shard: number, claims: readonly DependentClaim[]): DependencyStatus[] {
    this.components.jobRequests.requireReady();
    return this.components.dependencies.onDependentClaims(shard, claims);
  }

  /** Handles the durable end of a job of another shard. */
  onDependencyEnded(id: string, status: 'done' | 'cancelled'): void {
    if (this.ready) this.components.dependencies.onJobEnded(id, status, null);
  }
}
