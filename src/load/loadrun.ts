// This package plays the users and faults of a scenario on an emulated cluster, and checks the results against rules.
import type { Histogram } from 'hdr-histogram-js';
import { ClientUnreachableError, RequestRejectedError, SpartrayClient } from '../client/client.js';
import { type Clock, pause } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { Random } from '../emulator/random.js';
import { HttpClient } from '../http/client.js';
import { type JobSpec, KINDS_BY_SHAPE, PRIORITIES_BY_URGENCY } from '../wire/users.js';
import { checkHistory } from './checkhistory.js';
import type { UserEvent } from './history.js';
import { type ClassReport, type LoadReport, lostTasks, startsPeak } from './loadreport.js';
import { ANY_TEAM, type Fault, type JobClass, type Scenario } from './scenario.js';
import { sharesOf } from './served.js';
import { histogram, summarize } from './spread.js';

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

const POLL_INTERVAL_MS = 5000;
const SERIES_INTERVAL_MS = 1000;
const UNKNOWN_JOB_INTERVAL_MS = 7000;
/** Time after its acceptance within which urgent work is expected to start. */
const PROMPT_START_MS = 1000;

/** Plays the users and faults of a scenario on a cluster on this machine. */
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
  /** Time at which each controller was last killed, by the controller's index. */
  readonly killedAt = new Map<number, number>();
  private readonly activeUsers = new Set<Promise<void>>();
  private startedAt = 0;
  private submittedCount = 0;
  private isEnded = false;

  constructor(
    private readonly cluster: LocalCluster,
    private readonly platform: Platform,
    private readonly scenario: Scenario,
  ) {
    this.clock = cluster.clock;
    this.random = new Random(scenario.seed);
    this.http = new HttpClient(this.clock, { maxSockets: 2000, maxBodyBytes: 1024 * 1024 });
    this.client = new SpartrayClient(this.clock, this.http, {
      servers: [cluster.users],
      depot: cluster.depot,
    });
    for (const c of scenario.classes) {
      const zeroCounts = { submitted: 0, accepted: 0, refused: 0, done: 0, cancelled: 0, withinSecond: 0 };
      const times = { submit: histogram(), start: histogram(), wait: histogram(), finish: histogram() };
      this.tallies.set(c.name, { ...zeroCounts, ...times });
    }
  }

  /** Plays the scenario; calls `progress` with a status line about once a second. */
  async run(name: string, speed: number, progress: (line: string) => void): Promise<LoadReport> {
    const { duration_s, drain_s, seed, classes, faults } = this.scenario;
    this.startedAt = this.clock.now();
    for (const f of faults) this.clock.after(f.at_s * 1000, () => this.injectFault(f));
    void this.recordSeries(progress);
    void this.pollUnknownJobs();
    await Promise.all(classes.map((c) => this.runArrivals(c)));
    const endsAt = this.startedAt + (duration_s + drain_s) * 1000;
    while (this.activeUsers.size > 0 && this.clock.now() < endsAt) await pause(this.clock, 500);
    this.isEnded = true;
    const durationS = (this.clock.now() - this.startedAt) / 1000;
    this.http.close();
    return this.report(name, seed, speed, durationS);
  }

  private async runArrivals(jobClass: JobClass): Promise<void> {
    for (let i = 0; i < jobClass.at_start; i++) this.startUser(jobClass);
    if (jobClass.a_minute === 0) return;
    const random = new Random(this.scenario.seed * 31 + this.scenario.classes.indexOf(jobClass));
    const endsAt = this.startedAt + Math.min(jobClass.until_s ?? Infinity, this.scenario.duration_s) * 1000;
    let arrivalAt = this.startedAt + jobClass.from_s * 1000;
    for (;;) {
      arrivalAt += random.exponential(60_000 / jobClass.a_minute);
      if (arrivalAt > endsAt) return;
      if (arrivalAt > this.clock.now()) await pause(this.clock, arrivalAt - this.clock.now());
      this.startUser(jobClass);
    }
  }

  private startUser(jobClass: JobClass): void {
    const user = this.runUser(jobClass).catch((error) => {
      if (!(error instanceof ClientUnreachableError)) throw error;
    });
    this.activeUsers.add(user);
    void user.finally(() => this.activeUsers.delete(user));
  }

  private async runUser(jobClass: JobClass): Promise<void> {
    const spec = this.createJobSpec(jobClass);
    const tally = this.tallies.get(jobClass.name)!;
    const runS = jobClass.run_s * this.random.between(0.7, 1.4);
    const cancelAfterMs = this.random.chance(jobClass.cancelled) ? this.random.between(0, 60_000) : null;
    this.jobs.set(spec.id, spec);
    this.classOf.set(spec.id, jobClass);
    const submittedAt = this.clock.now();
    this.submittedAt.set(spec.id, submittedAt);
    this.record(spec.id, 'submitted');
    tally.submitted++;
    try {
      await this.client.submit(spec, { runS });
    } catch (error) {
      tally.refused++;
      if (error instanceof RequestRejectedError) this.record(spec.id, 'refused');
      if (!(error instanceof RequestRejectedError || error instanceof ClientUnreachableError)) throw error;
      return;
    }
    tally.accepted++;
    tally.submit.recordValue(Math.max(1, Math.round(this.clock.now() - submittedAt)));
    this.record(spec.id, 'accepted');
    this.acceptedAt.set(spec.id, this.clock.now());
    if (cancelAfterMs !== null)
      this.clock.after(cancelAfterMs, () => void this.cancel(spec.id).catch(() => undefined));
    await this.pollUntilFinal(spec, tally, submittedAt);
  }

  private async pollUntilFinal(spec: JobSpec, tally: ClassTally, submittedAt: number): Promise<void> {
    while (!this.isEnded) {
      await pause(this.clock, POLL_INTERVAL_MS * this.random.between(0.8, 1.2));
      const view = await this.client.poll(spec.id);
      if (view === undefined) continue;
      if (view === null) this.record(spec.id, 'unknown');
      else {
        this.userEvents.push({ at: this.clock.now(), job: spec.id, kind: 'told', status: view.status });
        if (view.status === 'done') {
          tally.done++;
          tally.finish.recordValue(Math.max(1, Math.round(this.clock.now() - submittedAt)));
        }
        if (view.status === 'cancelled') tally.cancelled++;
        if (view.status === 'done' || view.status === 'cancelled') return;
      }
    }
  }

  private async cancel(id: string): Promise<void> {
    this.record(id, 'cancel asked');
    const view = await this.client.cancel(id);
    if (view.status === 'cancelled') this.record(id, 'cancelled');
  }

  /** Polls for jobs that were never submitted, and records any status reported for one. */
  private async pollUnknownJobs(): Promise<void> {
    for (let i = 0; !this.isEnded; i++) {
      await pause(this.clock, UNKNOWN_JOB_INTERVAL_MS);
      const id = `wk-nobody-${i}`;
      const view = await this.client.poll(id).catch(() => undefined);
      if (view) this.userEvents.push({ at: this.clock.now(), job: id, kind: 'told', status: view.status });
    }
  }

  private createJobSpec(jobClass: JobClass): JobSpec {
    const jobNumber = ++this.submittedCount;
    const estimateS = jobClass.run_s * this.random.between(0.6, 1.5);
    return {
      id: `wk-load-${this.scenario.seed}-${String(jobNumber).padStart(6, '0')}`,
      class: jobClass.name,
      team: jobClass.team === ANY_TEAM ? this.random.pick(this.platform.teams).name : jobClass.team,
      kind: KINDS_BY_SHAPE[jobClass.shape],
      priority: PRIORITIES_BY_URGENCY[jobClass.urgency],
      tasks: this.random.pick(jobClass.pieces),
      cpus: jobClass.cpus,
      gpus: jobClass.gpus,
      memoryGb: jobClass.memory_gb,
      types: null,
      zone: null,
      oneZone: jobClass.one_zone,
      spread: jobClass.spread,
      spot: jobClass.spot,
      image: `${jobClass.name}-${jobNumber % 4}`,
      imageGb: jobClass.image_gb,
      estimateS,
      checkpointS: jobClass.save_every_s,
      saveS: jobClass.saving_s,
      deadlineS: jobClass.due === undefined ? null : jobClass.due * estimateS,
      after: [],
    };
  }

  private record(job: string, kind: UserEvent['kind']): void {
    this.userEvents.push({ at: this.clock.now(), job, kind });
  }

  private injectFault(fault: Fault): void {
    const { state, cloud, machines, market, tasks, controllers } = this.cluster;
    const scheduleEnd = (undo: () => void) => this.clock.after(fault.for_s * 1000, undo);
    const affectedMachines = [...machines.keys()].sort().slice(0, fault.count);
    const target = fault.what.endsWith('_oldest') ? this.cluster.oldestController() : fault.controller;
    const hasTarget = ['kill', 'kill_oldest', 'state_refuses', 'refuse_oldest'].includes(fault.what);
    this.faults.push({ at: fault.at_s, what: hasTarget ? `${fault.what} ${target}` : fault.what });
    if (fault.what === 'kill' || fault.what === 'kill_oldest') this.killedAt.set(target, this.clock.now());
    if (fault.what === 'kill' || fault.what === 'kill_oldest') this.cluster.kill(target);
    if (fault.what === 'kill_all') for (const i of controllers.keys()) this.cluster.kill(i);
    if (fault.what === 'state_down') {
      state.down = true;
      scheduleEnd(() => state.endOutage());
    }
    if (fault.what === 'state_refuses' || fault.what === 'refuse_oldest') {
      const node = controllers[target]?.node ?? '';
      state.refusedCallers.add(node);
      scheduleEnd(() => state.refusedCallers.delete(node));
    }
    if (fault.what === 'cloud_down') {
      cloud.down = true;
      scheduleEnd(() => {
        cloud.down = false;
      });
    }
    if (fault.what === 'cut') {
      const reporters = affectedMachines.map((id) => machines.get(id)!.reporter);
      for (const r of reporters) r.disconnected = true;
      scheduleEnd(() => {
        for (const r of reporters) r.disconnected = false;
      });
    }
    const { network } = this.cluster;
    if (fault.what === 'cut_rack')
      scheduleEnd(network.startPartition({ kind: 'rack', zone: fault.zone, rack: fault.rack }));
    if (fault.what === 'cut_zone') scheduleEnd(network.startPartition({ kind: 'zone', zone: fault.zone }));
    if (fault.what === 'cut_regions') scheduleEnd(network.startPartition({ kind: 'regions' }));
    if (fault.what === 'die') for (const id of affectedMachines) market.remove(id);
    if (fault.what === 'faulty') for (const id of affectedMachines) tasks.faulty.add(id);
    if (fault.what === 'reclaim')
      for (const m of [...market.machines.values()].filter((x) => x.spot).slice(0, fault.count))
        market.reclaim(m.id, 0);
  }

  private async recordSeries(progress: (line: string) => void): Promise<void> {
    while (!this.isEnded) {
      const at = Math.round((this.clock.now() - this.startedAt) / 1000);
      let tasks = 0;
      for (const m of this.cluster.machines.values())
        for (const a of m.worker.attempts) if (a.state !== 'exited' && a.state !== 'fetching') tasks++;
      const machines = this.cluster.machines.size;
      this.series.push({ at, machines, tasks, open: this.activeUsers.size });
      const sum = (f: (t: ClassTally) => number) => [...this.tallies.values()].reduce((n, t) => n + f(t), 0);
      progress(
        `${at} s: ${sum((t) => t.accepted)} accepted, ${sum((t) => t.done)} done, ${this.activeUsers.size} open, ${tasks} tasks on ${machines} machines`,
      );
      await pause(this.clock, SERIES_INTERVAL_MS);
    }
  }

  private report(scenario: string, seed: number, speed: number, durationS: number): LoadReport {
    const history = this.cluster.tasks.history;
    this.recordStarts();
    const violations = checkHistory(history, this.userEvents, this.jobs, {
      teams: this.platform.teams.map((t) => ({ name: t.name, cpusMax: t.cpus_max, gpusMax: t.gpus_max })),
      cancelS: this.platform.workers.cancel_s,
    });
    const startedByClass = new Map<string, number>();
    for (const id of this.startedJobs) {
      const name = this.classOf.get(id)?.name;
      if (name !== undefined) startedByClass.set(name, (startedByClass.get(name) ?? 0) + 1);
    }
    const classes = [...this.tallies].map(
      ([name, tally]): ClassReport => ({
        name,
        team: this.findClass(name)?.team ?? '',
        submitted: tally.submitted,
        accepted: tally.accepted,
        started: startedByClass.get(name) ?? 0,
        refused: tally.refused,
        done: tally.done,
        cancelled: tally.cancelled,
        lost: this.findClass(name)?.shape === 'standing' ? 0 : tally.accepted - tally.done - tally.cancelled,
        submitMs: summarize(tally.submit, 1),
        startS: summarize(tally.start, 1000),
        waitS: summarize(tally.wait, 1000),
        withinSecond: tally.wait.totalCount > 0 ? tally.withinSecond / tally.wait.totalCount : 1,
        finishS: summarize(tally.finish, 1000),
      }),
    );
    return {
      scenario,
      seed,
      speed,
      durationS,
      classes,
      served: sharesOf(classes),
      twice: this.cluster.tasks.duplicateCompletions,
      violations: violations.map((v) => ({ ...v, at: Math.round((v.at - this.startedAt) / 100) / 10 })),
      spent: this.cluster.market.charge(),
      startsPeak: startsPeak(history, this.startedAt),
      lostTasks: lostTasks(history, this.startedAt),
      series: this.series,
      faults: this.faults,
    };
  }

  /** Records the time from the first attempt to submit a job to the start of each task, or of a gang's last task. */
  private recordStarts(): void {
    const firstStarts = new Map<string, Map<number, number>>();
    for (const e of this.cluster.tasks.history) {
      if (e.kind !== 'on') continue;
      const taskStarts = firstStarts.get(e.job) ?? new Map<number, number>();
      firstStarts.set(e.job, taskStarts);
      if (!taskStarts.has(e.index)) taskStarts.set(e.index, e.at);
    }
    for (const [id, taskStarts] of firstStarts) {
      this.startedJobs.add(id);
      const jobClass = this.classOf.get(id);
      const submittedAt = this.submittedAt.get(id);
      if (!jobClass || submittedAt === undefined) continue;
      const times = [...taskStarts.values()];
      const starts = jobClass.shape === 'ensemble' ? [Math.max(...times)] : times;
      for (const at of starts)
        this.tallies.get(jobClass.name)!.start.recordValue(Math.max(1, Math.round(at - submittedAt)));
      this.recordWait(id, jobClass, jobClass.shape === 'ensemble' ? Math.max(...times) : Math.min(...times));
    }
  }

  private findClass(name: string): JobClass | undefined {
    return this.scenario.classes.find((c) => c.name === name);
  }

  private recordWait(id: string, jobClass: JobClass, startedAt: number): void {
    const acceptedAt = this.acceptedAt.get(id);
    if (acceptedAt === undefined) return;
    const tally = this.tallies.get(jobClass.name)!;
    const waitMs = Math.max(1, Math.round(startedAt - acceptedAt));
    tally.wait.recordValue(waitMs);
    if (waitMs <= PROMPT_START_MS) tally.withinSecond++;
  }
}
