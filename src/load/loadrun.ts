// This package: users and faults of a scenario on an emulated cluster, what becomes of them, and the rules they are held to.
import type { Histogram } from 'hdr-histogram-js';
import { ClientUnreachableError, RequestRejectedError, SpartrayClient } from '../client/client.js';
import { type Clock, pause } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { Random } from '../emulator/random.js';
import { HttpClient } from '../http/client.js';
import { type JobSpec, KINDS, PRIORITIES } from '../wire/users.js';
import { checkHistory } from './checkhistory.js';
import type { UserEvent } from './history.js';
import { type ClassReport, type LoadReport, lostTasks, startsPeak } from './loadreport.js';
import { ANY_TEAM, type Fault, type JobClass, type Scenario } from './scenario.js';
import { sharesOf } from './served.js';
import { histogram, spread } from './spread.js';

interface ClassTally {
  submitted: number;
  accepted: number;
  refused: number;
  done: number;
  cancelled: number;
  submit: Histogram;
  start: Histogram;
  wait: Histogram;
  withinSecond: number;
  finish: Histogram;
}

const POLL_MS = 5000;
const SERIES_MS = 1000;
const UNKNOWN_JOB_INTERVAL_MS = 7000;
/** Urgent work is expected to start within this of its acceptance. */
const PROMPT_START_MS = 1000;

/** Users and faults of a scenario on a cluster on this machine. */
export class LoadRun {
  private readonly random: Random;
  private readonly clock: Clock;
  private readonly http: HttpClient;
  private readonly client: SpartrayClient;
  private readonly userEvents: UserEvent[] = [];
  private readonly jobs = new Map<string, JobSpec>();
  private readonly classOf = new Map<string, JobClass>();
  private readonly submittedAt = new Map<string, number>();
  private readonly acceptedAt = new Map<string, number>();
  private readonly tallies = new Map<string, ClassTally>();
  private readonly startedJobs = new Set<string>();
  private readonly series: LoadReport['series'] = [];
  private readonly faults: LoadReport['faults'] = [];
  /** When controllers were killed last, by their number. */
  readonly killed = new Map<number, number>();
  private readonly users = new Set<Promise<void>>();
  private startedAt = 0;
  private submittedCount = 0;
  private ended = false;

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
      const none = { submitted: 0, accepted: 0, refused: 0, done: 0, cancelled: 0, withinSecond: 0 };
      const times = { submit: histogram(), start: histogram(), wait: histogram(), finish: histogram() };
      this.tallies.set(c.name, { ...none, ...times });
    }
  }

  /** Plays the scenario; `progress` is told how it goes about once a second. */
  async run(name: string, speed: number, progress: (line: string) => void): Promise<LoadReport> {
    const { duration_s, drain_s, seed, classes, faults } = this.scenario;
    this.startedAt = this.clock.now();
    for (const f of faults) this.clock.after(f.at_s * 1000, () => this.injectFault(f));
    void this.recordSeries(progress);
    void this.pollUnknownJobs();
    await Promise.all(classes.map((c) => this.runArrivals(c)));
    const until = this.startedAt + (duration_s + drain_s) * 1000;
    while (this.users.size > 0 && this.clock.now() < until) await pause(this.clock, 500);
    this.ended = true;
    const durationS = (this.clock.now() - this.startedAt) / 1000;
    this.http.close();
    return this.report(name, seed, speed, durationS);
  }

  private async runArrivals(c: JobClass): Promise<void> {
    for (let i = 0; i < c.at_start; i++) this.startUser(c);
    if (c.a_minute === 0) return;
    const random = new Random(this.scenario.seed * 31 + this.scenario.classes.indexOf(c));
    const until = this.startedAt + Math.min(c.until_s ?? Infinity, this.scenario.duration_s) * 1000;
    let at = this.startedAt + c.from_s * 1000;
    for (;;) {
      at += random.gap(60_000 / c.a_minute);
      if (at > until) return;
      if (at > this.clock.now()) await pause(this.clock, at - this.clock.now());
      this.startUser(c);
    }
  }

  private startUser(c: JobClass): void {
    const user = this.runUser(c).catch((error) => {
      if (!(error instanceof ClientUnreachableError)) throw error;
    });
    this.users.add(user);
    void user.finally(() => this.users.delete(user));
  }

  private async runUser(c: JobClass): Promise<void> {
    const spec = this.job(c);
    const t = this.tallies.get(c.name)!;
    const runS = c.run_s * this.random.between(0.7, 1.4);
    const cancelAfter = this.random.chance(c.cancelled) ? this.random.between(0, 60_000) : null;
    this.jobs.set(spec.id, spec);
    this.classOf.set(spec.id, c);
    const begun = this.clock.now();
    this.submittedAt.set(spec.id, begun);
    this.record(spec.id, 'submitted');
    t.submitted++;
    try {
      await this.client.submit(spec, { runS });
    } catch (error) {
      t.refused++;
      if (error instanceof RequestRejectedError) this.record(spec.id, 'refused');
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      return;
    }
    t.accepted++;
    t.submit.recordValue(Math.max(1, Math.round(this.clock.now() - begun)));
    this.record(spec.id, 'accepted');
    this.acceptedAt.set(spec.id, this.clock.now());
    if (cancelAfter !== null)
      this.clock.after(cancelAfter, () => void this.cancel(spec.id).catch(() => undefined));
    await this.follow(spec, t, begun);
  }

  private async follow(spec: JobSpec, t: ClassTally, begun: number): Promise<void> {
    while (!this.ended) {
      await pause(this.clock, POLL_MS * this.random.between(0.8, 1.2));
      const view = await this.client.poll(spec.id);
      if (view === undefined) continue;
      if (view === null) this.record(spec.id, 'unknown');
      else {
        this.userEvents.push({ at: this.clock.now(), job: spec.id, kind: 'told', status: view.status });
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
    this.record(id, 'cancel asked');
    const view = await this.client.cancel(id);
    if (view.status === 'cancelled') this.record(id, 'cancelled');
  }

  /** Somebody who asks for jobs that nobody has submitted. */
  private async pollUnknownJobs(): Promise<void> {
    for (let i = 0; !this.ended; i++) {
      await pause(this.clock, UNKNOWN_JOB_INTERVAL_MS);
      const id = `wk-nobody-${i}`;
      const view = await this.client.poll(id).catch(() => undefined);
      if (view) this.userEvents.push({ at: this.clock.now(), job: id, kind: 'told', status: view.status });
    }
  }

  private job(c: JobClass): JobSpec {
    const n = ++this.submittedCount;
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

  private record(job: string, kind: UserEvent['kind']): void {
    this.userEvents.push({ at: this.clock.now(), job, kind });
  }

  private injectFault(f: Fault): void {
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

  private async recordSeries(progress: (line: string) => void): Promise<void> {
    while (!this.ended) {
      const at = Math.round((this.clock.now() - this.startedAt) / 1000);
      let tasks = 0;
      for (const m of this.cluster.machines.values())
        for (const a of m.worker.attempts) if (a.state !== 'exited' && a.state !== 'fetching') tasks++;
      const machines = this.cluster.machines.size;
      this.series.push({ at, machines, tasks, open: this.users.size });
      const sum = (f: (t: ClassTally) => number) => [...this.tallies.values()].reduce((n, t) => n + f(t), 0);
      progress(
        `${at} s: ${sum((t) => t.accepted)} accepted, ${sum((t) => t.done)} done, ${this.users.size} open, ${tasks} tasks on ${machines} machines`,
      );
      await pause(this.clock, SERIES_MS);
    }
  }

  private report(scenario: string, seed: number, speed: number, durationS: number): LoadReport {
    const history = this.cluster.tasks.history;
    this.recordStarts();
    const violations = checkHistory(history, this.userEvents, this.jobs, {
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
        withinSecond: t.wait.totalCount > 0 ? t.withinSecond / t.wait.totalCount : 1,
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
      violations: violations.map((x) => ({ ...x, at: Math.round((x.at - this.startedAt) / 100) / 10 })),
      spent: this.cluster.market.charge(),
      startsPeak: startsPeak(history, this.startedAt),
      lostTasks: lostTasks(history, this.startedAt),
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
    if (ms <= PROMPT_START_MS) tally.withinSecond++;
  }
}
