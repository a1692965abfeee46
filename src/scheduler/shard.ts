// This package: one shard as its owner has it: acceptance, starts, preemption, demand, estimates, failures.

import { Supply } from '../autoscaler/autoscaler.js';
import type { Gossip, Need } from '../autoscaler/shardstatus.js';
import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { partSockets } from '../config/settings.js';
import type { World } from '../context/context.js';
import { type Job, openCount } from '../jobs/job.js';
import { JobRecords, type LoadedJob, NotOwner } from '../jobs/records.js';
import { KEYS, type MachineRecord, readMachineRecord } from '../schema/schema.js';
import type { Taken } from '../standby/standbyreplicas.js';
import type { Keeper } from '../standby/standbyreplicator.js';
import { mayDecide } from '../standby/takeoverchecks.js';
import { StateFailure } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Report } from '../wire/workers.js';
import type { Machine } from '../workers/machine.js';
import { Fleet } from '../workers/machineregistry.js';
import { type Claim, type Standing, Waiting } from './dependencytracker.js';
import { FailureTracker } from './failuretracker.js';
import { Questions } from './jobrequests.js';
import { JobTable } from './jobtable.js';
import { PlanInput } from './planinput.js';
import { Planner } from './planner.js';
import { Preemption } from './preemption.js';
import { Telling } from './replicationsource.js';
import { Demand } from './resourcedemand.js';
import type { Others, StatusAnswer, SubmitAnswer } from './responses.js';
import { Estimates } from './runtimeestimates.js';
import { Draining } from './spotdraining.js';
import { Starts } from './taskdispatcher.js';
import { Progress } from './taskprogress.js';
import { Unseen } from './unreconciledmachines.js';
import { Inheritance } from './warmstart.js';

const TICK_MS = 1000;
const TELL_MS = 15_000;
const STIR_MS = 30;
const AGAIN_MS = 300;

/** One shard while this node owns it: its jobs, its machines and the plan that joins them. */
export class Shard {
  readonly fleet: Fleet;
  private readonly table: JobTable;
  private readonly records: JobRecords;
  private readonly estimates: Estimates;
  private readonly planInput: PlanInput;
  private readonly planner: Planner;
  private readonly demand: Demand;
  private readonly supply: Supply;
  private readonly preemption: Preemption;
  private readonly starts: Starts;
  private readonly failures: FailureTracker;
  private readonly waiting: Waiting;
  private readonly progress: Progress;
  private readonly questions: Questions;
  private readonly draining: Draining;
  private readonly telling: Telling | null;
  private readonly inheritance: Inheritance;
  private readonly log: Log;
  private readonly claimedAt: number;
  private readonly unseen: Unseen;
  private loaded = false;
  private stopped = false;
  private planRequested = false;
  private ticking = false;
  /** Before this moment there is no other plan. */
  private planNotBefore = 0;
  private toldAt = Number.NEGATIVE_INFINITY;
  private toldAdopted = false;

  constructor(
    private readonly world: World,
    readonly index: number,
    readonly term: number,
    private readonly entitledNow: () => boolean,
    private readonly onLost: () => void,
    others: Others,
    /** The owner's side of its standby, and what came from the former owner; null without one. */
    private readonly keeper: Keeper | null = null,
    private readonly taken: Taken | null = null,
  ) {
    this.log = world.log.child({ shard: index, term });
    this.claimedAt = world.clock.now();
    this.table = new JobTable(world, index, term);
    const { jobs } = this.table;
    this.records = new JobRecords(
      world.store,
      index,
      term,
      { ...world.settings.stateLimits, layoutKb: world.settings.layoutKb },
      () => others.allRead(),
      () => keeper?.recordsChanged(),
    );
    this.fleet = new Fleet(world.clock, world.http, world.settings.workers, this.log, {
      entitled: () => this.entitled,
      renewRecord: (m) => this.supply.writeRecord(m),
      found: (h) => this.progress.found(h),
      changed: (h) => this.progress.changed(h),
      gone: (h, why) => this.progress.gone(h, why),
      session: (m) => this.telling?.machine(m),
      announce: (held) =>
        this.keeper?.announce(held.map((h) => ({ job: h.job, machine: h.machine.id }))) ?? null,
      requestPlan: () => this.requestPlan(),
    });
    this.unseen = new Unseen(world, this.fleet, taken?.warmth ?? null, this.log, this.claimedAt);
    this.estimates = new Estimates(world, jobs);
    this.waiting = new Waiting(world, index, jobs, this.log, {
      endedHere: (id) => this.table.endedAs(id),
      locate: (id) => others.locate(id),
      read: (id) => others.read(id),
      recall: (id) => this.questions.recall(id),
      ask: (shard, claims) => others.askNeeded(shard, index, claims),
      tell: (shard, id, status) => others.tellOver(shard, id, status),
      released: () => this.requestPlan(),
      doomed: () => this.questions.endDoomed(),
      expectedEnd: (job, now) => this.planner.expectedEnd(job, now),
      runS: (spec) => this.estimates.runS(spec),
    });
    this.failures = new FailureTracker(jobs, this.fleet.machines, this.log, (job) =>
      this.telling?.blamed(job),
    );
    this.progress = new Progress(
      world,
      this.fleet,
      this.table,
      this.records,
      this.estimates,
      this.failures,
      this.log,
      {
        stopped: () => this.stopped,
        requestPlan: () => this.requestPlan(),
        lostOwnership: () => this.lostOwnership(),
        left: (job, h) => this.telling?.left(job, h),
        running: (h) => this.telling?.running(h),
        imaged: (m) => this.telling?.machine(m),
        learnt: (job) => this.telling?.learnt(job.spec.class),
        ranSince: (h) => this.inheritance.ranSince(h),
        over: (job, status) => {
          this.telling?.over(job);
          this.demand.forget(job.spec.id);
          this.waiting.over(job.spec.id, status, job);
          this.requestPlan();
        },
      },
    );
    this.starts = new Starts(world, term, this.fleet, jobs, this.log, {
      useOf: (h) => this.table.useOf(h),
      unseen: () => this.unseen.amounts(),
      nowhereElse: (job) => this.unseen.nowhereElse(job),
      withheld: (id) => this.supply.moving.has(id) || this.preemption.promised.has(id),
      lostOwnership: () => this.lostOwnership(),
    });
    this.preemption = new Preemption(world, this.fleet, jobs, this.log, {
      ready: () => this.ready,
      nowhereElse: (job) => this.unseen.nowhereElse(job),
      teamUsage: () => this.starts.teamUsage(),
      free: (m) => this.starts.freeOn(m, new Map()),
      moving: (id) => this.supply.moving.has(id),
      give: (id, to) => this.give(id, to, true),
      requestPlan: () => this.requestPlan(),
    });
    this.supply = new Supply(world, index, term, this.fleet, this.log, {
      stopped: () => this.stopped,
      spare: (m) => this.isSpare(m),
      recorded: (id, entry) => this.machineRecord(id, entry),
      lostOwnership: () => this.lostOwnership(),
      uniqueName: (kind) => this.table.uniqueName(kind),
      needOf: (jobClass) => this.table.needs.get(jobClass) ?? null,
      sawNothing: () => this.table.needs.size === 0,
      requestPlan: () => this.requestPlan(),
    });
    this.planInput = new PlanInput(world, this.fleet, this.estimates, {
      useOf: (h) => this.table.useOf(h),
      withheld: (id) => this.supply.moving.has(id) || this.preemption.promised.has(id),
      rentals: () => this.supply.rentals,
      unseen: () => this.unseen.amounts(),
      heldBack: (job, now) => this.unseen.heldBack(job, now),
    });
    this.demand = new Demand(world, index, this.fleet, jobs, this.estimates, this.supply, this.preemption, {
      teamUsage: () => this.starts.teamUsage(),
      nowhereElse: (job) => this.unseen.nowhereElse(job),
      guaranteed: (job) => this.planner.isGuaranteed(job),
      spare: (m) => this.isSpare(m),
    });
    this.planner = new Planner(
      world,
      this.table,
      this.fleet,
      this.estimates,
      this.planInput,
      this.waiting,
      this.supply,
      this.starts,
      this.preemption,
      this.demand,
    );
    this.questions = new Questions(
      world,
      index,
      this.table,
      this.records,
      this.planner,
      this.progress,
      this.waiting,
      this.log,
      {
        ready: () => this.ready,
        entitled: () => this.entitled,
        lostOwnership: () => this.lostOwnership(),
        requestPlan: () => this.requestPlan(),
      },
    );
    this.draining = new Draining(this.fleet, jobs, this.estimates, TICK_MS);
    this.inheritance = new Inheritance(world, taken?.warmth ?? null);
    this.telling = keeper
      ? new Telling(world, this.fleet, jobs, this.estimates, keeper, {
          settled: (job) => this.unseen.nowhereElse(job),
        })
      : null;
  }

  get entitled(): boolean {
    return mayDecide({
      stopped: this.stopped,
      leased: this.entitledNow(),
      promised: this.keeper?.mayAct ?? true,
    });
  }

  get ready(): boolean {
    return this.loaded && this.entitled;
  }

  stop(): void {
    this.stopped = true;
    this.fleet.stop();
    this.waiting.stop();
    this.keeper?.stop();
  }

  /** Loads what the state service has of the shard; tried again until it works or the shard is lost. */
  async start(): Promise<void> {
    while (!this.stopped) {
      try {
        const [jobs, machines] = await Promise.all([this.loadJobs(), this.world.store.list(KEYS.machines)]);
        if (this.stopped) return;
        const adopted = jobs.map((l) => this.progress.adopt(l));
        for (const job of adopted) {
          // What it needs is not done under this term yet, so that no owner before can have started it.
          if (job.spec.after.some((id) => this.table.jobs.has(id))) job.fresh = true;
        }
        this.waiting.add(adopted);
        for (const e of machines.entries) this.machineRecord(e.key.slice(KEYS.machines.length), e);
        for (const m of this.fleet.machines.values()) {
          m.unknown = true;
          m.answeredAt = this.claimedAt;
          m.givenAt = this.claimedAt;
        }
        this.inheritance.give(adopted, this.fleet.machines.values(), this.estimates);
        this.loaded = true;
        this.unseen.loaded();
        this.log.info(
          { jobs: jobs.length, machines: this.fleet.machines.size, warm: this.taken !== null },
          'shard taken',
        );
        const greeted = this.inheritance.greetingOrder([...this.fleet.machines.values()], adopted);
        void this.fleet.greet(greeted, (m) => this.inheritance.session(m), this.greetAtOnce);
        if (this.keeper && this.telling) {
          this.keeper.source = this.telling;
          this.keeper.start();
        }
        this.loop();
        return;
      } catch (error) {
        this.log.debug({ error: String(error) }, 'loading the shard failed');
        await pause(this.world.clock, AGAIN_MS);
      }
    }
  }

  /** Jobs with all changes up to the claim: from what the standby has followed, else read anew. */
  private async loadJobs(): Promise<LoadedJob[]> {
    const followed = (await this.taken?.jobs(this.term)) ?? null;
    if (!followed) return this.records.load();
    this.log.info({ jobs: followed.jobs.length, changes: followed.changes }, 'records followed up');
    return followed.jobs;
  }

  /** Half of the sockets for workers: answers and orders need some meanwhile. */
  private get greetAtOnce(): number {
    return Math.max(4, Math.floor(partSockets(this.world.settings.limits.maxSockets).workers / 2));
  }

  private loop(): void {
    if (this.stopped) return;
    this.tick();
    this.world.clock.after(TICK_MS, () => this.loop());
  }

  /** Plans again soon; many changes at once make one plan. */
  requestPlan(): void {
    if (this.planRequested || this.stopped) return;
    this.planRequested = true;
    this.world.clock.after(Math.max(STIR_MS, this.planNotBefore - this.world.clock.now()), () => {
      this.planRequested = false;
      this.guarded(() => this.replan(this.world.clock.now()));
    });
  }

  // --- records of machines

  /** The record of a machine as the state service has it. */
  machineRecord(id: string, entry: Entry | null): void {
    const m = this.fleet.machines.get(id);
    const r = entry && readMachineRecord(entry.value);
    if (!entry || !r || r.shard !== this.index) {
      if (m && (!entry || entry.version > m.version)) this.fleet.remove(m);
      return;
    }
    if (m) {
      if (entry.version > m.version) {
        m.version = entry.version;
        m.leaving = r.state === 'leaving';
        if (entry.version > m.token) {
          m.token = entry.version;
          m.synced = false;
        }
      }
      return;
    }
    this.addMachine(id, r, entry.version);
  }

  private addMachine(id: string, r: MachineRecord, version: number): void {
    const now = this.world.clock.now();
    const listed = this.world.catalog.listedById.get(id);
    this.fleet.machines.set(id, {
      id,
      addr: r.addr || listed?.addr || '',
      type: this.world.names.types.index(r.type),
      zone: this.world.names.zones.index(r.zone),
      spot: r.spot,
      leaving: r.state === 'leaving',
      version,
      token: Math.max(this.term, version),
      session: 0,
      seq: -1,
      minSession: 0,
      synced: false,
      unknown: false,
      answeredAt: now,
      givenAt: now,
      heardAt: null,
      lost: false,
      rentedAt: now - Math.max(0, this.world.clock.wall() - r.rentedAt),
      noticeUntil: null,
      held: new Map(),
      images: new Map(),
      idleSince: now,
      unreachableAt: null,
      unheard: 0,
      errors: 0,
      closedUntil: 0,
    });
    const m = this.fleet.machines.get(id)!;
    if (this.loaded) void this.fleet.contact(m, null);
    this.requestPlan();
  }

  private lostOwnership(): Error {
    this.stop();
    this.onLost();
    return new NotOwner();
  }

  /** Gives an empty machine to another shard. False when it is not to be had. */
  async give(id: string, to: number, promised = false): Promise<boolean> {
    const m = this.fleet.machines.get(id);
    if (!m || !this.ready || this.supply.moving.has(id)) return false;
    if (promised ? !this.isEmpty(m) : !this.isSpare(m)) return false;
    this.supply.moving.add(id);
    try {
      await this.supply.writeRecord(m, { shard: to });
      this.fleet.remove(m);
      this.log.info({ machine: id, to }, 'machine given');
      return true;
    } catch (error) {
      this.log.info({ machine: id, error: String(error) }, 'giving failed');
      if (!(error instanceof StateFailure) || error.maybe) await this.supply.settleRecord(m);
      return false;
    } finally {
      this.supply.moving.delete(id);
    }
  }

  private isSpare(m: Machine): boolean {
    return this.isEmpty(m) && !this.planner.hasBooked(m.id) && !this.preemption.promised.has(m.id);
  }

  private isEmpty(m: Machine): boolean {
    return m.synced && !m.leaving && !m.lost && !m.unknown && m.held.size === 0 && m.noticeUntil === null;
  }

  // --- reports

  report(m: Machine, r: Report): object | null {
    if (!this.loaded) return null;
    return this.fleet.report(m, r);
  }

  // --- what is asked of an owner

  /** A job of this shard that is not over yet. */
  job(id: string): Job | undefined {
    return this.table.jobs.get(id);
  }

  submit(spec: JobSpec): Promise<SubmitAnswer> {
    return this.questions.submit(spec);
  }

  status(id: string): Promise<StatusAnswer | null> {
    return this.questions.status(id);
  }

  cancel(id: string): Promise<'done' | 'cancelled' | null> {
    return this.questions.cancel(id);
  }

  /** The first unfinished jobs after an id that begin with `under`, in the order of ids. */
  list(under: string, after: string, most: number): ListedJob[] {
    return this.questions.list(under, after, most);
  }

  /** Another shard needs jobs of this one. */
  neededBy(shard: number, claims: readonly Claim[]): Standing[] {
    this.questions.check();
    return this.waiting.claimed(shard, claims);
  }

  /** A job of another shard is durably over. */
  overElsewhere(id: string, status: 'done' | 'cancelled'): void {
    if (this.ready) this.waiting.over(id, status, null);
  }

  // --- the plan

  private tick(): void {
    this.guarded(() => {
      const now = this.world.clock.now();
      this.tellAdopted();
      this.planner.age();
      this.waiting.tick(now);
      this.questions.endDoomed();
      this.draining.drain(now);
      this.fleet.pushStops();
      this.preemption.keepPromises(now);
      this.supply.returnIdle(now);
      this.tell(now);
      this.requestPlan();
    });
  }

  /** Once all machines are known it is sure of every job where it is, which the standby should know too. */
  private tellAdopted(): void {
    if (!this.keeper || this.toldAdopted || !this.unseen.adopted) return;
    this.toldAdopted = true;
    this.keeper.refresh();
  }

  /** How the shard stands, for its operators: what each team runs and has waiting, and what its machines do. */
  private tell(now: number): void {
    if (now - this.toldAt < TELL_MS) return;
    this.toldAt = now;
    this.failures.sweep();
    const teams: Record<string, { jobs: number; placed: number; open: number }> = {};
    for (const job of this.table.jobs.values()) {
      teams[job.spec.team] ??= { jobs: 0, placed: 0, open: 0 };
      const team = teams[job.spec.team]!;
      team.jobs++;
      team.placed += job.places.size;
      team.open += openCount(job);
    }
    const machines = { all: 0, booting: 0, empty: 0, unsure: 0 };
    for (const m of this.fleet.machines.values()) {
      machines.all++;
      if (m.heardAt === null) machines.booting++;
      else if (!m.synced || m.lost || m.unknown) machines.unsure++;
      else if (m.held.size === 0) machines.empty++;
    }
    this.log.info({ teams, machines }, 'load');
  }

  /**
   * A controller has a fraction of a core, and its lease must be renewed and users answered beside the planning: after
   * each plan there is a pause in proportion to what it took.
   */
  private replan(now: number): void {
    this.unseen.tell(now);
    this.planner.schedule(now);
    this.fleet.pushStops();
    const after = this.world.clock.now();
    this.planNotBefore = after + this.planner.pauseAfter(after - now);
  }

  private guarded(work: () => void): void {
    if (this.ticking || !this.loaded || this.stopped) return;
    this.ticking = true;
    try {
      // An owner that may not act loses no machine either: they are another's by now, or its again with its lease.
      if (!this.entitled) return;
      this.fleet.tick();
      work();
    } catch (error) {
      this.log.error({ error: error instanceof Error ? error.stack : String(error) }, 'tick failed');
    } finally {
      this.ticking = false;
    }
  }

  // --- renting and returning

  /** Promises a machine whose tasks end soon to a shard where urgent work waits longer. False when there is none. */
  reserveMachine(to: number, need: Need, zone: string): boolean {
    const now = this.world.clock.now();
    return this.preemption.reserveMachine(to, need, zone, (h) => this.estimates.heldEnd(h, now));
  }

  gossip(node: string): Gossip {
    return this.demand.gossip(node);
  }

  /** Clears a machine for another shard's more urgent work. False when that is not to be. */
  clearMachine(id: string, to: number, priority: number): boolean {
    return this.preemption.clearMachine(id, to, priority);
  }

  /** The cloud's list has been read. */
  listed(): void {
    this.supply.listed();
  }
}
