// This package: users and faults of a scenario on an emulated cluster, what becomes of them, and the rules they are held to.
import type { Histogram } from 'hdr-histogram-js';
import { ClientUnreachableError, RequestRejectedError, SpartrayClient } from '../client/client.js';
import { type Clock, pause } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { Random } from '../emulator/random.js';
import type { TaskEvent } from '../emulator/tasks.js';
import { HttpClient } from '../http/client.js';
import { type JobSpec, KINDS, PRIORITIES } from '../wire/users.js';
import { checkHistory, type UserEvent, type Violation } from './check.js';
import { ANY_TEAM, type Fault, type JobClass, type Scenario } from './scenario.js';
import { type Share, sharesOf } from './served.js';
import { histogram, type Spread, spread } from './spread.js';

export interface ClassReport {
  name: string;
  team: string;
  submitted: number;
  accepted: number;
  /** Jobs of which a task has started. */
  started: number;
  refused: number;
  done: number;
  cancelled: number;
  /** Accepted, and neither done nor cancelled in the end; services run on, and are forgotten only by the rules. */
  lost: number;
  submitMs: Spread;
  startS: Spread;
  /** From acceptance to the start of a job's first task; of a gang, of its last. */
  waitS: Spread;
  /** Share of the jobs that started whose wait was a second at most. */
  withinSecond: number;
  finishS: Spread;
}

export interface LoadReport {
  scenario: string;
  seed: number;
  speed: number;
  durationS: number;
  classes: ClassReport[];
  /** What share of each class and team was served, the lowest first. */
  served: Share[];
  /** Tasks done more than once. */
  twice: number;
  violations: Violation[];
  spent: number;
  /** Task starts in the second that had the most. */
  startsPeak: number;
  /** Tasks that ended since their machine lost its lease or was gone: seconds since the beginning, and how many then. */
  lostTasks: { at: number; count: number }[];
  /** Every second or so: seconds since the beginning, machines up, tasks on machines, jobs not over. */
  series: { at: number; machines: number; tasks: number; open: number }[];
  faults: { at: number; what: string }[];
}

interface Tally {
  submitted: number;
  accepted: number;
  refused: number;
  done: number;
  cancelled: number;
  submit: Histogram;
  start: Histogram;
  wait: Histogram;
  soon: number;
  finish: Histogram;
}

const POLL_MS = 5000;
const SERIES_MS = 1000;
const STRANGE_MS = 7000;
/** Urgent work is expected to start within this of its acceptance. */
const SOON_MS = 1000;

/** Users and faults of a scenario on a cluster on this machine. */
export class Load {
  private readonly random: Random;
  private readonly clock: Clock;
  private readonly http: HttpClient;
  private readonly client: SpartrayClient;
  private readonly told: UserEvent[] = [];
  private readonly jobs = new Map<string, JobSpec>();
  private readonly classOf = new Map<string, JobClass>();
  private readonly submittedAt = new Map<string, number>();
  private readonly acceptedAt = new Map<string, number>();
  private readonly tallies = new Map<string, Tally>();
  private readonly startedJobs = new Set<string>();
  private readonly series: LoadReport['series'] = [];
  private readonly faults: LoadReport['faults'] = [];
  /** When controllers were killed last, by their number. */
  readonly killed = new Map<number, number>();
  private readonly users = new Set<Promise<void>>();
  private begun = 0;
  private made = 0;
  private over = false;

  constructor(
    private readonly cluster: LocalCluster,
    private readonly platform: Platform,
    private readonly scenario: Scenario,
  ) {
    this.clock = cluster.clock;
    this.random = new Random(scenario.seed);
    this.http = new HttpClient(this.clock, { maxSockets: 2000, bodyBytes: 1024 * 1024 });
    this.client = new SpartrayClient(this.clock, this.http, {
      servers: [cluster.users],
      depot: cluster.depot,
    });
    for (const c of scenario.classes) {
      const none = { submitted: 0, accepted: 0, refused: 0, done: 0, cancelled: 0, soon: 0 };
      const times = { submit: histogram(), start: histogram(), wait: histogram(), finish: histogram() };
      this.tallies.set(c.name, { ...none, ...times });
    }
  }

  /** Plays the scenario; `progress` is told how it goes about once a second. */
  async run(name: string, speed: number, progress: (line: string) => void): Promise<LoadReport> {
    const { duration_s, drain_s, seed, classes, faults } = this.scenario;
    this.begun = this.clock.now();
    for (const f of faults) this.clock.after(f.at_s * 1000, () => this.fault(f));
    void this.watch(progress);
    void this.strangers();
    await Promise.all(classes.map((c) => this.arrivals(c)));
    const until = this.begun + (duration_s + drain_s) * 1000;
    while (this.users.size > 0 && this.clock.now() < until) await pause(this.clock, 500);
    this.over = true;
    const durationS = (this.clock.now() - this.begun) / 1000;
    this.http.close();
    return this.report(name, seed, speed, durationS);
  }

  private async arrivals(c: JobClass): Promise<void> {
    for (let i = 0; i < c.at_start; i++) this.arrive(c);
    if (c.a_minute === 0) return;
    const random = new Random(this.scenario.seed * 31 + this.scenario.classes.indexOf(c));
    const until = this.begun + Math.min(c.until_s ?? Infinity, this.scenario.duration_s) * 1000;
    let at = this.begun + c.from_s * 1000;
    for (;;) {
      at += random.gap(60_000 / c.a_minute);
      if (at > until) return;
      if (at > this.clock.now()) await pause(this.clock, at - this.clock.now());
      this.arrive(c);
    }
  }

  private arrive(c: JobClass): void {
    const user = this.user(c).catch((error) => {
      if (!(error instanceof ClientUnreachableError)) throw error;
    });
    this.users.add(user);
    void user.finally(() => this.users.delete(user));
  }

  private async user(c: JobClass): Promise<void> {
    const spec = this.job(c);
    const t = this.tallies.get(c.name)!;
    const runS = c.run_s * this.random.between(0.7, 1.4);
    const cancelAfter = this.random.chance(c.cancelled) ? this.random.between(0, 60_000) : null;
    this.jobs.set(spec.id, spec);
    this.classOf.set(spec.id, c);
    const begun = this.clock.now();
    this.submittedAt.set(spec.id, begun);
    this.note(spec.id, 'submitted');
    t.submitted++;
    try {
      await this.client.submit(spec, { runS });
    } catch (error) {
      t.refused++;
      if (error instanceof RequestRejectedError) this.note(spec.id, 'refused');
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      return;
    }
    t.accepted++;
    t.submit.recordValue(Math.max(1, Math.round(this.clock.now() - begun)));
    this.note(spec.id, 'accepted');
    this.acceptedAt.set(spec.id, this.clock.now());
    if (cancelAfter !== null)
      this.clock.after(cancelAfter, () => void this.cancel(spec.id).catch(() => undefined));
    await this.follow(spec, t, begun);
  }

  private async follow(spec: JobSpec, t: Tally, begun: number): Promise<void> {
    while (!this.over) {
      await pause(this.clock, POLL_MS * this.random.between(0.8, 1.2));
      const view = await this.client.poll(spec.id);
      if (view === undefined) continue;
      if (view === null) this.note(spec.id, 'unknown');
      else {
        this.told.push({ at: this.clock.now(), job: spec.id, kind: 'told', status: view.status });
        if (view.status === 'done') {
          t.done++;
          t.finish.recordValue(Math.max(1, Math.round(this.clock.now() - begun)));
        }
        if (view.status === 'cancelled') t.cancelled++;
        if (view.status === 'done' || view.status === 'cancelled') return;
      }
    }
  }

  private async cancel(id: string): Promise<void> {
    this.note(id, 'cancel asked');
    const view = await this.client.cancel(id);
    if (view.status === 'cancelled') this.note(id, 'cancelled');
  }

  /** Somebody who asks for jobs that nobody has submitted. */
  private async strangers(): Promise<void> {
    for (let i = 0; !this.over; i++) {
      await pause(this.clock, STRANGE_MS);
      const id = `wk-nobody-${i}`;
      const view = await this.client.poll(id).catch(() => undefined);
      if (view) this.told.push({ at: this.clock.now(), job: id, kind: 'told', status: view.status });
    }
  }

  private job(c: JobClass): JobSpec {
    const n = ++this.made;
    const estimateS = c.run_s * this.random.between(0.6, 1.5);
    return {
      id: `wk-load-${this.scenario.seed}-${String(n).padStart(6, '0')}`,
      class: c.name,
      team: c.team === ANY_TEAM ? this.random.pick(this.platform.teams).name : c.team,
      kind: KINDS[c.shape],
      priority: PRIORITIES[c.urgency],
      tasks: this.random.pick(c.pieces),
      cpus: c.cpus,
      gpus: c.gpus,
      memoryGb: c.memory_gb,
      types: null,
      zone: null,
      oneZone: c.one_zone,
      spread: c.spread,
      spot: c.spot,
      image: `${c.name}-${n % 4}`,
      imageGb: c.image_gb,
      estimateS,
      checkpointS: c.save_every_s,
      saveS: c.saving_s,
      deadlineS: c.due === undefined ? null : c.due * estimateS,
      after: [],
    };
  }

  private note(job: string, kind: UserEvent['kind']): void {
    this.told.push({ at: this.clock.now(), job, kind });
  }

  private fault(f: Fault): void {
    const { state, cloud, machines, market, tasks, controllers } = this.cluster;
    const end = (undo: () => void) => this.clock.after(f.for_s * 1000, undo);
    const some = [...machines.keys()].sort().slice(0, f.count);
    const controller = f.what.endsWith('_oldest') ? this.cluster.oldestController() : f.controller;
    const named = ['kill', 'kill_oldest', 'state_refuses', 'refuse_oldest'].includes(f.what);
    this.faults.push({ at: f.at_s, what: named ? `${f.what} ${controller}` : f.what });
    if (f.what === 'kill' || f.what === 'kill_oldest') this.killed.set(controller, this.clock.now());
    if (f.what === 'kill' || f.what === 'kill_oldest') this.cluster.kill(controller);
    if (f.what === 'kill_all') for (const i of controllers.keys()) this.cluster.kill(i);
    if (f.what === 'state_down') {
      state.down = true;
      end(() => state.restore());
    }
    if (f.what === 'state_refuses' || f.what === 'refuse_oldest') {
      const node = controllers[controller]?.node ?? '';
      state.refusing.add(node);
      end(() => state.refusing.delete(node));
    }
    if (f.what === 'cloud_down') {
      cloud.down = true;
      end(() => {
        cloud.down = false;
      });
    }
    if (f.what === 'cut') {
      const reporters = some.map((id) => machines.get(id)!.reporter);
      for (const r of reporters) r.cut = true;
      end(() => {
        for (const r of reporters) r.cut = false;
      });
    }
    const { network } = this.cluster;
    if (f.what === 'cut_rack') end(network.cut({ kind: 'rack', zone: f.zone, rack: f.rack }));
    if (f.what === 'cut_zone') end(network.cut({ kind: 'zone', zone: f.zone }));
    if (f.what === 'cut_regions') end(network.cut({ kind: 'regions' }));
    if (f.what === 'die') for (const id of some) market.take(id);
    if (f.what === 'faulty') for (const id of some) tasks.faulty.add(id);
    if (f.what === 'reclaim')
      for (const m of [...market.machines.values()].filter((x) => x.spot).slice(0, f.count))
        market.reclaim(m.id, 0);
  }

  private async watch(progress: (line: string) => void): Promise<void> {
    while (!this.over) {
      const at = Math.round((this.clock.now() - this.begun) / 1000);
      let tasks = 0;
      for (const m of this.cluster.machines.values())
        for (const a of m.worker.attempts) if (a.state !== 'exited' && a.state !== 'fetching') tasks++;
      const machines = this.cluster.machines.size;
      this.series.push({ at, machines, tasks, open: this.users.size });
      const sum = (f: (t: Tally) => number) => [...this.tallies.values()].reduce((n, t) => n + f(t), 0);
      progress(
        `${at} s: ${sum((t) => t.accepted)} accepted, ${sum((t) => t.done)} done, ${this.users.size} open, ${tasks} tasks on ${machines} machines`,
      );
      await pause(this.clock, SERIES_MS);
    }
  }

  private report(scenario: string, seed: number, speed: number, durationS: number): LoadReport {
    const history = this.cluster.tasks.history;
    this.recordStarts();
    const violations = checkHistory(history, this.told, this.jobs, {
      teams: this.platform.teams.map((t) => ({ name: t.name, cpusMax: t.cpus_max, gpusMax: t.gpus_max })),
      cancelS: this.platform.workers.cancel_s,
    });
    const started = new Map<string, number>();
    for (const id of this.startedJobs) {
      const name = this.classOf.get(id)?.name;
      if (name !== undefined) started.set(name, (started.get(name) ?? 0) + 1);
    }
    const classes = [...this.tallies].map(
      ([name, t]): ClassReport => ({
        name,
        team: this.classNamed(name)?.team ?? '',
        submitted: t.submitted,
        accepted: t.accepted,
        started: started.get(name) ?? 0,
        refused: t.refused,
        done: t.done,
        cancelled: t.cancelled,
        lost: this.classNamed(name)?.shape === 'standing' ? 0 : t.accepted - t.done - t.cancelled,
        submitMs: spread(t.submit, 1),
        startS: spread(t.start, 1000),
        waitS: spread(t.wait, 1000),
        withinSecond: t.wait.totalCount > 0 ? t.soon / t.wait.totalCount : 1,
        finishS: spread(t.finish, 1000),
      }),
    );
    return {
      scenario,
      seed,
      speed,
      durationS,
      classes,
      served: sharesOf(classes),
      twice: this.cluster.tasks.twice,
      violations: violations.map((x) => ({ ...x, at: Math.round((x.at - this.begun) / 100) / 10 })),
      spent: this.cluster.market.charge(),
      startsPeak: this.startsPeak(),
      lostTasks: this.lostTasks(),
      series: this.series,
      faults: this.faults,
    };
  }

  /** From the first attempt to submit to the start of each task; of a gang, to that of its last one. */
  private recordStarts(): void {
    const first = new Map<string, Map<number, number>>();
    for (const e of this.cluster.tasks.history) {
      if (e.kind !== 'on') continue;
      const of = first.get(e.job) ?? new Map<number, number>();
      first.set(e.job, of);
      if (!of.has(e.index)) of.set(e.index, e.at);
    }
    for (const [id, of] of first) {
      this.startedJobs.add(id);
      const c = this.classOf.get(id);
      const begun = this.submittedAt.get(id);
      if (!c || begun === undefined) continue;
      const times = [...of.values()];
      const starts = c.shape === 'ensemble' ? [Math.max(...times)] : times;
      for (const at of starts)
        this.tallies.get(c.name)!.start.recordValue(Math.max(1, Math.round(at - begun)));
      this.recordWait(id, c, c.shape === 'ensemble' ? Math.max(...times) : Math.min(...times));
    }
  }

  private classNamed(name: string): JobClass | undefined {
    return this.scenario.classes.find((c) => c.name === name);
  }

  private recordWait(id: string, c: JobClass, startedAt: number): void {
    const accepted = this.acceptedAt.get(id);
    if (accepted === undefined) return;
    const tally = this.tallies.get(c.name)!;
    const ms = Math.max(1, Math.round(startedAt - accepted));
    tally.wait.recordValue(ms);
    if (ms <= SOON_MS) tally.soon++;
  }

  /** The most task starts in any second. */
  private startsPeak(): number {
    return Math.max(0, ...this.bySecond((e) => e.kind === 'on').values());
  }

  private lostTasks(): LoadReport['lostTasks'] {
    const lost = this.bySecond((e) => e.kind === 'off' && e.cause === 'lost');
    return [...lost].map(([at, count]) => ({ at, count }));
  }

  /** How many events of a kind there were in each second since the beginning. */
  private bySecond(counts: (e: TaskEvent) => boolean): Map<number, number> {
    const bySecond = new Map<number, number>();
    for (const e of this.cluster.tasks.history) {
      if (!counts(e)) continue;
      const second = Math.floor((e.at - this.begun) / 1000);
      bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
    }
    return bySecond;
  }
}
