import { Mutex } from 'async-mutex';
import type { Log } from '../config/log.js';
import { type Job, type JobEntry, jobStatus, makeJob, openCount, withinGuarantee } from '../jobs/job.js';
import { JobRecords, type LoadedJob, NotOwner } from '../jobs/records.js';
import { waits } from '../jobs/standing.js';
import type { Plan, PlanJob } from '../plan/plan.js';
import type { Amounts } from '../plan/profile.js';
import { StateFailure } from '../state/store.js';
import type { Entry } from '../wire/state.js';
import { type JobSpec, type JobStatus, PRIORITY } from '../wire/users.js';
import type { Report } from '../wire/workers.js';
import { Fleet, type GoneWhy } from '../workers/fleet.js';
import { type Held, type Machine, noteImage } from '../workers/machine.js';
import { Blame } from './blame.js';
import { Demand } from './demand.js';
import { Estimates } from './estimates.js';
import type { Gossip, Need } from './gossip.js';
import { KEYS, type MachineRecord, readMachineRecord } from './keys.js';
import { book, Outlook } from './outlook.js';
import { Preemption } from './preemption.js';
import { Starts } from './starts.js';
import { Supply } from './supply.js';
import { Turns } from './turns.js';
import { type Claim, type Standing, Waiting } from './waiting.js';
import type { World } from './world.js';

/** This node cannot answer now; the same request may be sent again. */
export class Unavailable extends Error {}

/** What an owner says that has not taken its shard over yet, or may have lost it. */
export const NOT_READY = 'the shard is being taken over';

/** Nobody who could decide for the shard can be asked now. */
export class OwnerAway extends Unavailable {}

export interface StatusAnswer {
  status: JobStatus;
  done: number;
  running: number;
}

export type SubmitAnswer =
  /** Cancelled at once when it names a job that was cancelled. */
  | { kind: 'accepted'; cancelled?: boolean }
  | { kind: 'known'; status: JobStatus }
  | { kind: 'refused'; retryS: number }
  /** It names a job that was never accepted. */
  | { kind: 'never'; needs: string }
  /** Cannot be stored at present. */
  | { kind: 'busy'; retryS: number };

/** What a shard needs of the other shards. */
export interface Others {
  /** Whether every node understands what the first version did not. */
  allRead(): boolean;
  locate(id: string): Promise<JobEntry | null>;
  /** How a job stands by the state service alone, with all that it needs. */
  read(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  askNeeded(shard: number, from: number, claims: Claim[]): Promise<Standing[]>;
  tellOver(shard: number, id: string, status: 'done' | 'cancelled'): void;
}

interface Ended {
  status: 'done' | 'cancelled';
  tasks: number;
  team: number;
  need: Amounts;
}

/** A job without a deadline gets one at so many times the finish that the plans allow. */
const DEFAULT_SLACK = 1.5;
const TICK_MS = 1000;
const TELL_MS = 15_000;
const STIR_MS = 30;
/** Planning takes no more than this of the processor that a controller has, however much there is to plan. */
const PLAN_SHARE = 0.15;
const PLAN_PAUSE_MOST_MS = 2000;
/** So many jobs are booked anew in every plan, all of them at these intervals, or longer when that takes long. */
const BOOKED_ANEW = 4;
const BOOK_ANEW_MS = 1500;
const BOOK_ANEW_SHARE = 20;
/** What a plan may cost in looks at machines; what comes after in order is only started where there is room now. */
const LOOKS_MOST = 150_000;
/** A new job is turned away when it would wait longer than this to be stored. */
const ACCEPT_WAIT_MS = 700;
/** New jobs for each change that the state service takes: one to accept one, and some for what else goes on. */
const JOBS_PER_CHANGE = 0.6;
/** So many times as long as its work would take, the least urgent work stands back behind what is accepted later. */
const LOW_WORK_FACTOR = 20;
/** New jobs are weighed against the same plan for so long, each booked on top of those before it. */
const ADMIT_FRESH_MS = 1000;
/** Completed tasks of a job are stored no more often than this, until the last one. */
const GATHER_MS = 2000;
const GATHER_STEP_MS = 100;
const ENDED_KEPT = 5000;
/** Jobs that are cancelled together with one that they need: so many at a time, beside all else that is stored. */
const DOOMED_AT_ONCE = 8;
/** Work of high priority that would wait longer than this stops lesser work, but not twice within the pause. */
const PREEMPT_WAIT_S = 2;

/** One shard while this node owns it: its jobs, its machines and the plan that joins them. */
export class Shard {
  readonly fleet: Fleet;
  private readonly estimates: Estimates;
  private readonly outlook: Outlook;
  private readonly demand: Demand;
  private readonly supply: Supply;
  private readonly preemption: Preemption;
  private readonly starts: Starts;
  private readonly blame: Blame;
  private readonly turns: Turns;
  private readonly waiting: Waiting;
  private readonly ending = new Set<Job>();
  readonly jobs = new Map<string, Job>();
  private readonly ended = new Map<string, Ended>();
  private readonly records: JobRecords;
  private readonly mutexes = new Map<string, Mutex>();
  private readonly log: Log;
  private readonly claimedAt: number;
  private loaded = false;
  private stopped = false;
  private order = 0;
  private stirred = false;
  private ticking = false;
  /** Before this moment there is no other plan. */
  private planNotBefore = 0;
  private toldAt = Number.NEGATIVE_INFINITY;
  private bookAnewAt = 0;
  /** Jobs that fit into their team's guarantee together with the team's earlier ones. */
  private guaranteed: ReadonlySet<Job> = new Set();
  private lastPlan: { plan: Plan; refs: (Machine | null)[] } | null = null;
  private readonly admissions = new Map<number, { plan: Plan; at: number }>();
  private booked = new Set<string>();
  /** What a task of each class takes, as last seen. */
  private readonly needs = new Map<string, Amounts>();
  /** When the last plan has each job end. */
  private readonly ends = new Map<number, number>();
  private endsOf: Shard['lastPlan'] = null;

  constructor(
    private readonly world: World,
    readonly index: number,
    readonly term: number,
    private readonly entitledNow: () => boolean,
    private readonly onLost: () => void,
    others: Others,
  ) {
    this.log = world.log.child({ shard: index, term });
    this.claimedAt = world.clock.now();
    this.records = new JobRecords(
      world.store,
      index,
      term,
      { ...world.settings.stateLimits, layoutKb: world.settings.layoutKb },
      () => others.allRead(),
    );
    this.fleet = new Fleet(world.clock, world.http, world.settings.workers.leaseS, this.log, {
      entitled: () => this.entitled,
      renewRecord: (m) => this.supply.writeRecord(m),
      found: (h) => this.found(h),
      changed: (h) => this.changed(h),
      gone: (h, why) => this.gone(h, why),
      stir: () => this.stir(),
    });
    this.estimates = new Estimates(world, this.jobs);
    this.turns = new Turns(world.clock);
    this.waiting = new Waiting(world, index, this.jobs, this.log, {
      endedHere: (id) => this.ended.get(id)?.status ?? null,
      locate: (id) => others.locate(id),
      read: (id) => others.read(id),
      recall: (id) => this.recall(id),
      ask: (shard, claims) => others.askNeeded(shard, index, claims),
      tell: (shard, id, status) => others.tellOver(shard, id, status),
      released: () => this.stir(),
      doomed: () => this.endDoomed(),
      expectedEnd: (job, now) => this.expectedEnd(job, now),
      runS: (spec) => this.estimates.runS(spec),
    });
    this.blame = new Blame(this.jobs, this.fleet.machines, this.log);
    this.starts = new Starts(world, term, this.fleet, this.jobs, this.log, {
      useOf: (h) => this.useOf(h),
      unseen: () => this.unseen(),
      adopted: () => this.adopted,
      withheld: (id) => this.supply.moving.has(id) || this.preemption.promised.has(id),
      lostOwnership: () => this.lostOwnership(),
    });
    this.preemption = new Preemption(world, this.fleet, this.jobs, this.log, {
      ready: () => this.ready,
      adopted: () => this.adopted,
      teamUsage: () => this.starts.teamUsage(),
      free: (m) => this.starts.freeOn(m, new Map()),
      moving: (id) => this.supply.moving.has(id),
      give: (id, to) => this.give(id, to, true),
      stir: () => this.stir(),
    });
    this.supply = new Supply(world, index, term, this.fleet, this.log, {
      stopped: () => this.stopped,
      spare: (m) => this.isSpare(m),
      recorded: (id, entry) => this.machineRecord(id, entry),
      lostOwnership: () => this.lostOwnership(),
      uniqueName: (kind) => this.uniqueName(kind),
      needOf: (jobClass) => this.needs.get(jobClass) ?? null,
      sawNothing: () => this.needs.size === 0,
      stir: () => this.stir(),
    });
    this.outlook = new Outlook(world, this.fleet, this.estimates, {
      useOf: (h) => this.useOf(h),
      withheld: (id) => this.supply.moving.has(id) || this.preemption.promised.has(id),
      rentals: () => this.supply.rentals,
      unseen: () => this.unseen(),
    });
    this.demand = new Demand(
      world,
      index,
      this.fleet,
      this.jobs,
      this.estimates,
      this.supply,
      this.preemption,
      {
        teamUsage: () => this.starts.teamUsage(),
        adopted: () => this.adopted,
        guaranteed: (job) => this.guaranteed.has(job),
        spare: (m) => this.isSpare(m),
      },
    );
  }

  get entitled(): boolean {
    return !this.stopped && this.entitledNow();
  }

  get ready(): boolean {
    return this.loaded && this.entitled;
  }

  stop(): void {
    this.stopped = true;
    this.fleet.stop();
    this.waiting.stop();
  }

  /** Loads what the state service has of the shard; tried again until it works or the shard is lost. */
  async start(): Promise<void> {
    while (!this.stopped) {
      try {
        const [jobs, machines] = await Promise.all([
          this.records.load(),
          this.world.store.list(KEYS.machines),
        ]);
        if (this.stopped) return;
        const adopted = jobs.map((l) => this.adopt(l));
        for (const job of adopted) {
          // What it needs is not done under this term yet, so that no owner before can have started it.
          if (job.spec.after.some((id) => this.jobs.has(id))) job.fresh = true;
        }
        this.waiting.add(adopted);
        for (const e of machines.entries) this.machineRecord(e.key.slice(KEYS.machines.length), e);
        for (const m of this.fleet.machines.values()) {
          m.unknown = true;
          m.answeredAt = this.claimedAt;
        }
        this.loaded = true;
        this.log.info({ jobs: jobs.length, machines: this.fleet.machines.size }, 'shard taken');
        for (const m of this.fleet.machines.values()) void this.fleet.contact(m, null);
        this.loop();
        return;
      } catch (error) {
        this.log.debug({ error: String(error) }, 'loading the shard failed');
        await this.pause(300);
      }
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.world.clock.after(ms, resolve);
    });
  }

  private loop(): void {
    if (this.stopped) return;
    this.tick();
    this.world.clock.after(TICK_MS, () => this.loop());
  }

  /** Plans again soon; many changes at once make one plan. */
  stir(): void {
    if (this.stirred || this.stopped) return;
    this.stirred = true;
    this.world.clock.after(Math.max(STIR_MS, this.planNotBefore - this.world.clock.now()), () => {
      this.stirred = false;
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
      heardAt: null,
      lost: false,
      rentedAt: now - Math.max(0, this.world.clock.wall() - r.rentedAt),
      noticeUntil: null,
      held: new Map(),
      images: new Map(),
      idleSince: now,
      unreachableAt: null,
      errors: 0,
      closedUntil: 0,
    });
    const m = this.fleet.machines.get(id)!;
    if (this.loaded) void this.fleet.contact(m, null);
    this.stir();
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
    return this.isEmpty(m) && !this.booked.has(m.id) && !this.preemption.promised.has(m.id);
  }

  private isEmpty(m: Machine): boolean {
    return m.synced && !m.leaving && !m.lost && !m.unknown && m.held.size === 0 && m.noticeUntil === null;
  }

  // --- reports

  report(m: Machine, r: Report): object | null {
    if (!this.loaded) return null;
    return this.fleet.report(m, r);
  }

  private found(h: Held): void {
    const job = this.jobs.get(h.job);
    if (!job) {
      // Over, cancelled, or never accepted: nobody wants it.
      if (h.state === 'exited') h.settled = true;
      else this.fleet.halt(h, 0);
      return;
    }
    const other = job.places.get(h.index);
    if (h.state !== 'exited') {
      if (job.done.has(h.index) || (other && other !== h)) this.fleet.halt(h, 0);
      if (!other) job.places.set(h.index, h);
      else if (other !== h) job.doubles.add(h);
      this.noteAttempt(job, h);
      this.noteImageOf(job, h);
    } else {
      this.changed(h);
    }
    this.stir();
  }

  private noteAttempt(job: Job, h: Held): void {
    if (h.attempt > job.attempt) job.attempt = h.attempt;
  }

  private noteImageOf(job: Job, h: Held): void {
    if (h.state === 'fetching') return;
    const cache = this.world.catalog.get(h.machine.type)?.cacheGb ?? 0;
    noteImage(h.machine, job.image, job.spec.imageGb, cache);
  }

  private changed(h: Held): void {
    const job = this.jobs.get(h.job);
    if (!job) {
      if (h.state === 'exited') h.settled = true;
      return;
    }
    this.noteImageOf(job, h);
    if (h.state === 'exited') this.exited(job, h);
    this.stir();
  }

  private exited(job: Job, h: Held): void {
    this.leave(job, h);
    const m = h.machine;
    const now = this.world.clock.now();
    this.log.debug(
      { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: m.id, cause: h.cause },
      'task exited',
    );
    if (h.cause === 'done') {
      this.blame.succeeded(job, m);
      if (h.runningAt !== null && h.exitedAt !== null)
        this.estimates.learn(job, (h.exitedAt - h.runningAt) / 1000);
      // The tasks of a gang complete together: if one is done, all are.
      job.unsettled.push(h);
      const indexes = job.spec.kind === 'gang' ? [...Array(job.spec.tasks).keys()] : [h.index];
      for (const i of indexes) {
        if (job.done.add(i)) job.dirtyChunks.add(this.records.chunkOf(job, i));
      }
      void this.flush(job);
      return;
    }
    h.settled = true;
    if (h.cause === 'error') this.blame.failed(job, m, now);
    if (h.cause === 'no_room') m.closedUntil = Math.max(m.closedUntil, now + 4000);
    if (h.cause === 'busy' || h.cause === 'unknown') job.notBefore = Math.max(job.notBefore, now + 3000);
    this.loosenGang(job);
  }

  /** When a gang has lost a task, the rest of the attempt is of no use; the next waits until all are gone. */
  private loosenGang(job: Job): void {
    if (job.spec.kind !== 'gang' || job.places.size === 0) return;
    for (const h of job.places.values()) if (!h.stop) this.fleet.halt(h, 0);
  }

  private gone(h: Held, why: GoneWhy): void {
    this.log.debug(
      { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: h.machine.id, phase: h.phase, why },
      'task gone',
    );
    const job = this.jobs.get(h.job);
    if (!job) return;
    this.leave(job, h);
    this.loosenGang(job);
    this.stir();
  }

  /**
   * An attempt is surely no longer on its machine. As long as another attempt of the same task is on one, and is only
   * being stopped, the task has its place there: started meanwhile it would run twice.
   */
  private leave(job: Job, h: Held): void {
    job.doubles.delete(h);
    if (job.places.get(h.index) !== h) return;
    job.places.delete(h.index);
    for (const other of job.doubles) {
      if (other.index !== h.index || other.state === 'exited') continue;
      job.doubles.delete(other);
      job.places.set(other.index, other);
      return;
    }
  }

  // --- jobs in the state service

  private adopt(l: LoadedJob): Job {
    const id = l.record.spec.id;
    const known = this.jobs.get(id);
    if (known) return known;
    const job = this.makeJob(l.record.spec, l.record.accepted, l.record.deadline, false, l.version);
    job.partsUnder = l.partsUnder;
    this.records.restore(job, l.chunks);
    this.jobs.set(id, job);
    if (job.done.count === job.spec.tasks || job.stored < job.done.count) void this.flush(job);
    return job;
  }

  private makeJob(spec: JobSpec, accepted: number, deadline: number, fresh: boolean, version: number): Job {
    const n = this.world.names;
    this.needs.set(spec.class, { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb });
    return makeJob(
      spec,
      { accepted, deadline, order: accepted * 4096 + (this.order++ % 4096), fresh, version },
      {
        team: n.teams.find(spec.team) ?? -1,
        types: spec.types && new Set(spec.types.map((t) => n.types.index(t))),
        zone: spec.zone === null ? null : n.zones.index(spec.zone),
        image: n.images.index(spec.image),
      },
    );
  }

  private mutex(id: string): Mutex {
    let m = this.mutexes.get(id);
    if (!m) {
      m = new Mutex();
      this.mutexes.set(id, m);
    }
    return m;
  }

  /**
   * Makes done tasks durable; only then may the machines forget them. Completions that come close together are stored
   * together: an array of tiny tasks would take the state service's rate away from acceptances.
   */
  private async flush(job: Job): Promise<void> {
    if (job.writing) return;
    job.writing = true;
    const unfinished = () => !this.stopped && job.state === 'active' && job.done.count < job.spec.tasks;
    try {
      while (unfinished() && this.world.clock.now() < job.storeAfter) await this.pause(GATHER_STEP_MS);
      await this.mutex(job.spec.id).runExclusive(async () => {
        if (this.stopped || job.state !== 'active' || job.stored >= job.done.count) return;
        try {
          if (job.done.count === job.spec.tasks) this.end(job, await this.records.finish(job, 'done'));
          else await this.records.storeDone(job);
        } catch (error) {
          if (error instanceof NotOwner) throw this.lostOwnership();
          this.log.debug({ job: job.spec.id, error: String(error) }, 'storing progress failed');
          await this.pause(400);
        }
      });
    } catch (error) {
      if (!(error instanceof NotOwner)) this.log.error({ error: String(error) }, 'storing progress ended');
    } finally {
      job.storeAfter = this.world.clock.now() + GATHER_MS;
      job.writing = false;
      this.settle(job);
    }
  }

  private settle(job: Job): void {
    // A shard that is lost leaves what it could not store to its next owner; to try on would never end.
    if (this.stopped) return;
    if (job.stored < job.done.count && job.state === 'active') {
      void this.flush(job);
      return;
    }
    for (const h of job.unsettled) h.settled = true;
    job.unsettled.length = 0;
  }

  private end(job: Job, status: 'done' | 'cancelled'): void {
    job.state = status;
    job.stored = job.done.count;
    const id = job.spec.id;
    this.jobs.delete(id);
    this.mutexes.delete(id);
    this.demand.forget(id);
    this.ended.set(id, { status, tasks: job.spec.tasks, team: job.team, need: job.need });
    for (const old of this.ended.keys()) {
      if (this.ended.size <= ENDED_KEPT) break;
      this.ended.delete(old);
    }
    for (const m of this.fleet.machines.values()) {
      for (const h of m.held.values()) {
        if (h.job !== id) continue;
        if (h.state === 'exited') h.settled = true;
        else this.fleet.halt(h, 0);
      }
    }
    this.fleet.pushStops();
    this.log.info({ job: id, status }, 'job over');
    this.waiting.over(id, status, job);
    this.stir();
  }

  /** Cancels jobs of which one that they need was cancelled; what cannot be stored now is tried again. */
  private endDoomed(): void {
    for (const job of this.jobs.values()) {
      if (!job.doomed || this.ending.has(job)) continue;
      if (this.ending.size >= DOOMED_AT_ONCE) return;
      this.ending.add(job);
      void this.mutex(job.spec.id)
        .runExclusive(async () => {
          if (job.state !== 'active' || !this.entitled) return;
          this.end(job, await this.catchLoss(this.records.finish(job, 'cancelled')));
        })
        .catch((error) => this.log.debug({ job: job.spec.id, error: String(error) }, 'not cancelled yet'))
        .finally(() => {
          this.ending.delete(job);
          if (job.state !== 'active') this.endDoomed();
        });
    }
  }

  /** Another shard needs jobs of this one. */
  neededBy(shard: number, claims: readonly Claim[]): Standing[] {
    this.check();
    return this.waiting.claimed(shard, claims);
  }

  /** A job of another shard is durably over. */
  overElsewhere(id: string, status: 'done' | 'cancelled'): void {
    if (this.ready) this.waiting.over(id, status, null);
  }

  /** When the last task of a job ends, as booked. */
  private expectedEnd(job: Job, now: number): number {
    if (this.endsOf !== this.lastPlan) {
      this.endsOf = this.lastPlan;
      this.ends.clear();
      for (const b of this.lastPlan?.plan.bookings ?? [])
        this.ends.set(b.job.id, Math.max(this.ends.get(b.job.id) ?? 0, b.end * 1000));
    }
    let end = this.ends.get(job.order) ?? 0;
    for (const h of job.places.values()) end = Math.max(end, this.estimates.heldEnd(h, now));
    return end > now ? end : now + this.estimates.runS(job.spec) * 1000;
  }

  // --- what users ask

  private check(): void {
    if (!this.ready) throw new OwnerAway(NOT_READY);
  }

  private known(id: string): StatusAnswer | null {
    const job = this.jobs.get(id);
    if (job) return jobStatus(job);
    const ended = this.ended.get(id);
    return ended ? endedStatus(ended.status, ended.tasks) : null;
  }

  async submit(spec: JobSpec): Promise<SubmitAnswer> {
    this.check();
    // More submissions than the state service takes are told at once to come back: waiting here until their users have
    // given up, they would be stored for nobody, and sent once more.
    if (!this.known(spec.id) && this.world.store.delayMs > ACCEPT_WAIT_MS)
      return { kind: 'busy', retryS: this.turns.take(this.world.store.changesPerSecond * JOBS_PER_CHANGE) };
    return this.mutex(spec.id).runExclusive(async (): Promise<SubmitAnswer> => {
      const known = this.known(spec.id);
      if (known) return { kind: 'known', status: this.tellable(spec.id, known).status };
      const needs = await this.waiting.openOf(spec);
      if ('never' in needs) return { kind: 'never', needs: needs.never };
      this.check();
      const wall = this.world.clock.wall();
      const trial = this.makeJob(spec, wall, 0, true, 0);
      // A job that names a cancelled one is accepted and cancelled.
      const finish = needs.cancelled ? 0 : this.admit(trial, needs.open);
      if (finish === null) {
        const entry = await this.records.entry(spec.id);
        if (entry) return this.repeated(spec.id, entry);
        this.mutexes.delete(spec.id);
        return { kind: 'refused', retryS: 3 };
      }
      const deadline = Math.round(wall + finish * 1000);
      const accepted = await this.catchLoss(
        this.records.accept({ spec, accepted: wall, deadline }, this.uniqueName('a')),
      );
      if (accepted.kind === 'known') return this.repeated(spec.id, accepted.entry);
      this.check();
      // Somebody who asked for the job while its acceptance was under way may have had it loaded, and tasks of it may
      // run by now: a second copy in its place would know nothing of them and start them again.
      const recalled = this.known(spec.id);
      if (recalled) return { kind: 'known', status: this.tellable(spec.id, recalled).status };
      trial.version = accepted.version;
      trial.partsUnder = accepted.partsUnder;
      trial.deadlineWall = deadline;
      trial.dueWall = deadline;
      this.jobs.set(spec.id, trial);
      this.waiting.add([trial]);
      this.log.info(
        { job: spec.id, team: spec.team, tasks: spec.tasks, deadlineInS: Math.round(finish) },
        'job accepted',
      );
      this.stir();
      if (!needs.cancelled) return { kind: 'accepted' };
      this.end(trial, await this.catchLoss(this.records.finish(trial, 'cancelled')));
      return { kind: 'accepted', cancelled: true };
    });
  }

  private async repeated(id: string, entry: JobEntry): Promise<SubmitAnswer> {
    if (entry.final) return { kind: 'known', status: entry.final };
    if (entry.shard !== this.index) {
      // Its owner knows whether it is about to be cancelled with one that it waits for.
      if (waits(entry)) throw new Unavailable('the job is in another shard');
      return { kind: 'known', status: 'queued' };
    }
    const status = await this.recall(id);
    if (!status) throw new Unavailable('job not found in its shard');
    return { kind: 'known', status: this.tellable(id, status).status };
  }

  /** A job whose acceptance was applied late is stored but not in memory. */
  private async recall(id: string): Promise<StatusAnswer | null> {
    const known = this.known(id);
    if (known) return known;
    const loaded = await this.records.loadOne(id);
    this.check();
    if (!loaded) return this.known(id);
    if (!this.ended.has(id) && !this.jobs.has(id)) this.waiting.add([this.adopt(loaded)]);
    this.stir();
    return this.known(id);
  }

  private async catchLoss<T>(work: Promise<T>): Promise<T> {
    try {
      return await work;
    } catch (error) {
      if (error instanceof NotOwner) {
        this.lostOwnership();
        throw new Unavailable('the shard has moved');
      }
      throw error;
    }
  }

  async status(id: string): Promise<StatusAnswer | null> {
    this.check();
    const answer = this.known(id) ?? (await this.recall(id));
    this.check();
    return answer && this.tellable(id, answer);
  }

  /** Of a job that may have to be cancelled with one that it needs, nothing is told that may be wrong. */
  private tellable(id: string, answer: StatusAnswer): StatusAnswer {
    const job = this.jobs.get(id);
    if (job && !this.waiting.mayTell(job)) throw new Unavailable('what the job waits for is not known now');
    return answer;
  }

  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    this.check();
    if (!this.known(id)) await this.recall(id);
    const job = this.jobs.get(id);
    if (job) {
      // From here on nothing of it starts, also while the state service does not answer.
      job.notBefore = Number.POSITIVE_INFINITY;
      await this.mutex(id).runExclusive(async () => {
        if (job.state !== 'active') return;
        this.check();
        this.end(job, await this.catchLoss(this.records.finish(job, 'cancelled')));
      });
      return job.state === 'active' ? null : job.state;
    }
    const ended = this.ended.get(id);
    return ended ? ended.status : null;
  }

  /** A name that nobody ever uses again: a shard can come back to the same process, but never with the same term. */
  private uniqueName(kind: string): string {
    return `${this.world.run}-${kind}${this.index}-${this.term}-${this.order++}`;
  }

  // --- the plan

  private useOf(h: Held): { team: number; need: Amounts; spec?: JobSpec } | null {
    return this.jobs.get(h.job) ?? this.ended.get(h.job) ?? null;
  }

  /** What machines that have not reported to this owner may hold. */
  private unseen(): Amounts {
    const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const m of this.fleet.machines.values()) {
      if (!m.unknown) continue;
      const size = this.world.catalog.size(m.type);
      sum.cpus += size.cpus;
      sum.gpus += size.gpus;
      sum.memoryGb += size.memoryGb;
    }
    return sum;
  }

  private get adopted(): boolean {
    for (const m of this.fleet.machines.values()) if (m.unknown) return false;
    return true;
  }

  /**
   * By priority; then what teams are guaranteed before what they borrow, so that one cannot starve another; then as
   * accepted. Of the least urgent work, what is little goes before what is much and was accepted not long before: it runs
   * in what others leave, and a swarm of tiny jobs would wait for hours of idle-time work.
   */
  private inOrder(): Job[] {
    // What waits for other jobs takes no part in limits and guarantees.
    const jobs = [...this.jobs.values()]
      .filter((j) => j.waitsFor.size === 0)
      .sort((a, b) => a.order - b.order);
    const { whole, partly } = withinGuarantee(jobs, this.world.settings.teams);
    this.guaranteed = whole;
    const rank = (job: Job) => (partly.has(job) ? 0 : 1);
    const low = new Map<Job, number>();
    const cpus = Math.max(1, this.cpus());
    for (const job of jobs) {
      if (job.priority > PRIORITY.low) continue;
      const workS =
        ((job.spec.tasks - job.done.count) * job.need.cpus * this.estimates.runS(job.spec)) / cpus;
      low.set(job, job.acceptedWall + workS * 1000 * LOW_WORK_FACTOR);
    }
    return jobs.sort(
      (a, b) =>
        b.priority - a.priority ||
        rank(a) - rank(b) ||
        (low.get(a) ?? 0) - (low.get(b) ?? 0) ||
        a.order - b.order,
    );
  }

  /** What the shard's machines have that are in use. */
  private cpus(): number {
    const now = this.world.clock.now();
    let cpus = 0;
    for (const m of this.fleet.machines.values()) {
      if (!m.leaving && !m.lost && m.closedUntil <= now) cpus += this.world.catalog.size(m.type).cpus;
    }
    return cpus;
  }

  /**
   * Whether the plan finishes all tasks of a job by its deadline; returns the deadline in seconds from now, or null to
   * refuse. What is booked stays, except that work of lower priority that has not started comes after.
   */
  private admit(job: Job, needs: ReadonlySet<string>): number | null {
    const now = this.world.clock.now();
    if (job.spec.kind === 'service') return 1e7;
    const plan = this.admissionPlan(job.priority, now);
    const mark = plan.bookings.length;
    // A job that waits begins no earlier than what it waits for is planned to end.
    const p = this.outlook.job(job, now, needs.size > 0 ? this.waiting.releaseAt(needs, now) : null)!;
    let dueS = job.spec.deadlineS;
    if (dueS !== null) {
      const finish = plan.book({ ...p, deadline: now / 1000 + dueS });
      if (finish === null || finish > now / 1000 + dueS) {
        plan.undo(mark);
        return null;
      }
    } else {
      const earliest = plan.earliestFinish(p);
      dueS = defaultDueS(
        this.world,
        earliest === null ? null : earliest - now / 1000,
        this.estimates.runS(job.spec),
      );
      plan.book({ ...p, deadline: now / 1000 + dueS });
    }
    // Work of lower priority comes after this job from now on.
    for (const priority of this.admissions.keys()) {
      if (priority < job.priority) this.admissions.delete(priority);
    }
    return dueS;
  }

  /** All that work of a priority has to leave in its place, on the machines that there are or could be rented. */
  private admissionPlan(priority: number, now: number): Plan {
    const known = this.admissions.get(priority);
    if (known && now - known.at < ADMIT_FRESH_MS) return known.plan;
    const { machines, refs } = this.outlook.machines(now);
    const places = this.outlook.keptPlaces(this.lastPlan, refs);
    for (const o of this.supply.options(now)) {
      for (let i = 0; i < 2; i++) machines.push(this.outlook.virtual(o, (now + o.bootS * 1100) / 1000));
    }
    const plan = this.outlook.plan(now, machines);
    for (const other of this.inOrder()) {
      if (other.priority < priority) break;
      const p = other.notBefore > now ? null : this.outlook.job(other, now);
      if (p && plan.looks < LOOKS_MOST) book(plan, p, places.get(p.id));
    }
    for (const other of this.jobs.values()) {
      if (other.waitsFor.size === 0 || other.doomed || other.priority < priority) continue;
      const p = this.outlook.job(other, now, this.waiting.releaseAt(other.waitsFor, now));
      if (p && plan.looks < LOOKS_MOST) plan.book(p);
    }
    // A plan that took long to make serves longer.
    const at = this.world.clock.now();
    const longer = Math.min(PLAN_PAUSE_MOST_MS, (at - now) * this.pauseShare);
    this.admissions.set(priority, { plan, at: at + longer });
    return plan;
  }

  private tick(): void {
    this.guarded(() => {
      const now = this.world.clock.now();
      this.waiting.tick(now);
      this.endDoomed();
      this.drain(now);
      this.fleet.pushStops();
      this.preemption.keepPromises(now);
      this.supply.returnIdle(now);
      this.tell(now);
      this.stir();
    });
  }

  /** How the shard stands, for its operators: what each team runs and has waiting, and what its machines do. */
  private tell(now: number): void {
    if (now - this.toldAt < TELL_MS) return;
    this.toldAt = now;
    this.blame.sweep();
    const teams: Record<string, { jobs: number; placed: number; open: number }> = {};
    for (const job of this.jobs.values()) {
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
    this.schedule(now);
    this.fleet.pushStops();
    const after = this.world.clock.now();
    this.planNotBefore = after + Math.min(PLAN_PAUSE_MOST_MS, (after - now) * this.pauseShare);
  }

  /** How many times as long as a plan took the pause after it is. */
  private get pauseShare(): number {
    return 1 / (PLAN_SHARE * Math.min(1, this.world.settings.limits.cores)) - 1;
  }

  private guarded(work: () => void): void {
    if (this.ticking || !this.loaded || this.stopped) return;
    this.ticking = true;
    try {
      this.fleet.tick();
      if (this.entitled) work();
    } catch (error) {
      this.log.error({ error: error instanceof Error ? error.stack : String(error) }, 'tick failed');
    } finally {
      this.ticking = false;
    }
  }

  /** Tasks on machines that are to be taken away save in time, and go on elsewhere. */
  private drain(now: number): void {
    for (const job of this.jobs.values()) {
      let until = Number.POSITIVE_INFINITY;
      for (const h of job.places.values()) {
        const u = h.machine.noticeUntil;
        if (u === null || this.estimates.heldEnd(h, now) < u - 2000) continue;
        if (job.spec.kind === 'gang') until = Math.min(until, u);
        else this.drainTask(job, h, u, now);
      }
      if (until < Number.POSITIVE_INFINITY)
        for (const h of job.places.values()) this.drainTask(job, h, until, now);
    }
  }

  private drainTask(job: Job, h: Held, until: number, now: number): void {
    if (h.stop) return;
    const useless = h.state === 'fetching' || h.state === 'waiting';
    if (useless) {
      this.fleet.halt(h, 0);
      return;
    }
    if (job.spec.checkpointS === 0) return;
    const lead = job.spec.saveS * 1000 + 4000;
    if (now >= until - lead - TICK_MS) this.fleet.halt(h, job.spec.saveS + 1);
  }

  private schedule(now: number): void {
    const { machines, refs } = this.outlook.machines(now);
    const plan = this.outlook.plan(now, machines);
    const unplaced: { job: Job; plan: PlanJob }[] = [];
    const byOrder = new Map<number, Job>();
    // Now and then all is booked anew, so that work moves up into room that has come free; between, only the next jobs.
    const anew = now >= this.bookAnewAt;
    const places = anew ? null : this.outlook.keptPlaces(this.lastPlan, refs);
    for (const job of this.inOrder()) {
      if (job.notBefore > now) continue;
      const p = this.outlook.job(job, now);
      if (!p) continue;
      byOrder.set(p.id, job);
      const kept = byOrder.size > BOOKED_ANEW ? places?.get(p.id) : undefined;
      const booked = plan.looks < LOOKS_MOST ? book(plan, p, kept) : plan.bookNow(p) === p.tasks.length;
      if (!booked) unplaced.push({ job, plan: p });
    }
    plan.startEarly();
    const after = this.world.clock.now();
    if (anew) this.bookAnewAt = after + Math.max(BOOK_ANEW_MS, (after - now) * BOOK_ANEW_SHARE);
    this.lastPlan = { plan, refs };
    this.booked.clear();
    for (const b of plan.bookings) {
      const m = refs[b.machine];
      if (m) this.booked.add(m.id);
    }
    this.starts.dispatch(plan, refs, byOrder, now);
    const waiting = new Set<Job>(unplaced.map((u) => u.job));
    for (const b of plan.bookings) {
      const job = byOrder.get(b.job.id);
      if (job && b.start > now / 1000 + PREEMPT_WAIT_S) waiting.add(job);
    }
    for (const job of waiting) if (job.suspect) waiting.delete(job);
    this.preemption.makeRoom(waiting, now);
    this.demand.assess(plan, unplaced, byOrder, now);
  }

  // --- renting and returning

  /** Promises a machine whose tasks end soon to a shard where urgent work waits longer. False when there is none. */
  cede(to: number, need: Need, zone: string): boolean {
    const now = this.world.clock.now();
    return this.preemption.cede(to, need, zone, (h) => this.estimates.heldEnd(h, now));
  }

  gossip(node: string): Gossip {
    return this.demand.gossip(node);
  }

  /** Clears a machine for another shard's more urgent work. False when that is not to be. */
  vacate(id: string, to: number, priority: number): boolean {
    return this.preemption.vacate(id, to, priority);
  }

  /** The cloud's list has been read. */
  listed(): void {
    this.supply.listed();
  }
}

/** The deadline of a job without one, in seconds from now: from the earliest finish in the plan, if there is one. */
export function defaultDueS(world: World, finishS: number | null, runS: number): number {
  // No machine in sight: the longest way, from renting one on.
  const longest = Math.max(60, ...world.catalog.all().map(([, t]) => t.bootS)) * 2 + runS;
  return DEFAULT_SLACK * (finishS ?? longest);
}

function endedStatus(status: 'done' | 'cancelled', tasks: number): StatusAnswer {
  return { status, done: status === 'done' ? tasks : 0, running: 0 };
}
