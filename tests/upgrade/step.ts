import { type Clock, pause, systemClock } from '../../src/clock/clock.js';
import { LocalCluster, type LocalOptions } from '../../src/emulator/local.js';
import type { Platform } from '../../src/emulator/platform.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import type { Violation } from '../../src/load/history.js';
import { KEYS } from '../../src/schema/schema.js';
import { ranAgain, type StepHistory, settledBefore } from './history.js';
import { ID_PREFIX, submissionsOf } from './jobs.js';
import { type Build, OwnerWatch } from './owners.js';
import type { StepFigures } from './report.js';
import { isOver, type Questions, type TrackedJob, type Users } from './users.js';

/** One cluster on the data directory of all steps. */
export interface StepPlan {
  name: string;
  what: string;
  /** Which builds the controllers run, in turn. */
  builds: readonly Build[];
  standby: boolean;
  lengthS: number;
  bulkTasks: number;
  /** Controllers that are killed, and when; `oldest` is the one that leads the cluster. */
  kills: readonly { atS: number; controller: number | 'oldest' }[];
  /** The last step goes on until all jobs are over, for so long at most. */
  drainS: number;
  /** What has to have happened for the step to show anything. */
  expects: { terms: number; chunks: number; left: number };
}

/** What all steps share. */
export interface Stage {
  clock: Clock;
  users: Users;
  platform: Platform;
  programs: Readonly<Record<Build, string>>;
  local: Pick<LocalOptions, 'controllers' | 'speed' | 'data' | 'port' | 'seed' | 'onError'>;
  /** Of the steps that were played. */
  histories: StepHistory[];
  /** Violations that an earlier step was told of. */
  reported: Set<string>;
  /** The cluster that runs, for whoever has to stop it early. */
  running: LocalCluster | null;
}

const POLL_MS = 3000;
/** A worker that is about to listen when its cluster stops listens within this, in real time. */
const BOOT_UNDER_WAY_MS = 200;

/** Plays one step and holds all that has happened so far against the rules. */
export async function playStep(stage: Stage, plan: StepPlan): Promise<StepFigures> {
  const cluster = new LocalCluster({
    ...stage.local,
    platform: stage.platform,
    program: stage.programs[plan.builds[0]!],
    programs: plan.builds.map((build) => stage.programs[build]),
    flags: plan.standby ? ['--standby'] : [],
  });
  stage.running = cluster;
  try {
    return await new StepRun(stage, plan, cluster).play();
  } finally {
    await stopWhole(cluster);
    stage.running = null;
  }
}

/**
 * Stops a cluster and its market. Machines that were booting would come up afterwards, since this process goes on, and report
 * to the next cluster, whose jobs they know nothing of.
 */
async function stopWhole(cluster: LocalCluster): Promise<void> {
  await cluster.stop();
  for (const id of [...cluster.market.machines.keys()]) cluster.market.take(id);
  await pause(systemClock, BOOT_UNDER_WAY_MS);
  for (const { worker, reporter, server } of cluster.machines.values()) {
    reporter.stop();
    worker.die();
    server.close();
  }
}

function between(before: Questions, after: Questions): Questions {
  return { asked: after.asked - before.asked, answered: after.answered - before.answered };
}

class StepRun {
  private readonly clock: Clock;
  private readonly users: Users;
  private readonly broken: Violation[] = [];
  private readonly watch: OwnerWatch;
  private kills = 0;
  private over = false;

  constructor(
    private readonly stage: Stage,
    private readonly plan: StepPlan,
    private readonly cluster: LocalCluster,
  ) {
    this.clock = stage.clock;
    this.users = stage.users;
    this.watch = new OwnerWatch(cluster, plan.builds);
  }

  async play(): Promise<StepFigures> {
    const { stage, plan, cluster, users } = this;
    const questions = { ...users.questions };
    const carried = users.open();
    const history: StepHistory = {
      step: plan.name,
      events: cluster.tasks.history,
      stoppedAt: Number.POSITIVE_INFINITY,
    };
    const settled = settledBefore(stage.histories, users.specs);
    await cluster.start();
    void this.watch.run();
    const begun = this.clock.now();
    stage.histories.push(history);
    this.broken.push(...(await users.takeOver(settled)));
    const atTakeover = { ...users.questions };
    await this.load();
    if (plan.drainS > 0) await this.drain();
    const chunks = this.countChunks();
    const lengthS = Math.round((this.clock.now() - begun) / 1000);
    this.over = true;
    this.watch.stop();
    this.checkStarts();
    history.stoppedAt = this.clock.now();
    await stopWhole(cluster);
    const left = users.open().length;
    this.checkCarried(carried);
    this.checkExpected(chunks, left);
    this.checkRules();
    return {
      step: plan.name,
      what: plan.what,
      lengthS,
      carried: carried.length,
      carriedOver: carried.filter(isOver).length,
      left,
      terms: this.watch.terms.size,
      kills: this.kills,
      owners: [...this.watch.owners].sort(),
      standbys: [...this.watch.standbys].sort(),
      mixedTeams: this.watch.mixedTeams,
      chunks,
      atTakeover: between(questions, atTakeover),
      underLoad: between(atTakeover, users.questions),
      twice: cluster.tasks.twice,
      broken: this.broken,
    };
  }

  /** Users submit, cancel and ask, and controllers are killed, for the length of the step. */
  private async load(): Promise<void> {
    const { name, lengthS, bulkTasks, kills } = this.plan;
    const begun = this.clock.now();
    for (const kill of kills) this.clock.after(kill.atS * 1000, () => this.kill(kill.controller));
    const submitting: Promise<void>[] = [];
    const submissions = submissionsOf(name, lengthS, bulkTasks);
    while (this.clock.now() < begun + lengthS * 1000) {
      const atS = (this.clock.now() - begun) / 1000;
      while (submissions[0] && submissions[0].atS <= atS)
        submitting.push(this.users.submit(name, submissions.shift()!));
      await this.users.poll(this.users.open());
      await pause(this.clock, POLL_MS);
    }
    await Promise.all(submitting);
  }

  private kill(which: number | 'oldest'): void {
    if (this.over) return;
    this.kills++;
    this.cluster.kill(which === 'oldest' ? this.cluster.oldestController() : which);
  }

  /** Waits until every job is over; services run on until they are cancelled. */
  private async drain(): Promise<void> {
    const until = this.clock.now() + this.plan.drainS * 1000;
    while (this.users.open().length > 0 && this.clock.now() < until) {
      const services = this.users.open().filter((job) => job.spec.kind === 'service');
      await Promise.all(services.map((job) => this.users.cancel(job.spec.id)));
      await this.users.poll(this.users.open());
      await pause(this.clock, POLL_MS);
    }
  }

  private countChunks(): number {
    const under = KEYS.completionChunk(`${ID_PREFIX}${this.plan.name}-bulk`, '');
    return [...this.cluster.state.items.keys()].filter((key) => key.startsWith(under)).length;
  }

  private report(rule: string, what: string): void {
    this.broken.push({ rule, at: this.clock.now(), what });
  }

  /** Controllers end only when they are killed. */
  private checkStarts(): void {
    const { controllers } = this.cluster;
    const ends = controllers.reduce((sum, c) => sum + c.starts - 1, 0) - this.kills;
    if (ends > 0) this.report('ended_by_itself', `${ends} times a controller ended that was not killed`);
  }

  /** A job of an earlier step is over by now, or it ran, or what it waits for is not done. */
  private checkCarried(carried: readonly TrackedJob[]): void {
    const ran = new Set(this.cluster.tasks.history.map((e) => e.job));
    const waits = (job: TrackedJob) => job.spec.after.some((id) => !isOver(this.users.jobs.get(id)!));
    for (const job of carried)
      if (!isOver(job) && !ran.has(job.spec.id) && !waits(job))
        this.report('stalled', `${job.spec.id} was unfinished at the beginning, and nothing of it ran`);
  }

  /** Without these the step would pass and show nothing. */
  private checkExpected(chunks: number, left: number): void {
    const { expects, builds, standby } = this.plan;
    const short = (what: string, found: number, least: number) => {
      if (found < least) this.report('not_tried', `${found} ${what}, and the step needs ${least}`);
    };
    short('terms', this.watch.terms.size, expects.terms);
    short('chunks of the large array', chunks, expects.chunks);
    short('unfinished jobs at the end', left, expects.left);
    for (const build of new Set(builds))
      if (![...this.watch.owners].some((owner) => owner.startsWith(build)))
        this.report('not_tried', `no controller of the ${build} build owned a shard`);
    if (new Set(builds).size < 2) return;
    if (this.watch.mixedTeams === 0)
      this.report('not_tried', 'at no moment did owners of both builds serve teams');
    if (standby && !this.watch.standbys.has('old>new') && !this.watch.standbys.has('new>old'))
      this.report('not_tried', 'no shard had its owner and its standby of different builds');
  }

  /** Holds all steps so far to the rules; what earlier steps were told of is not told again. */
  private checkRules(): void {
    const { histories, platform, reported } = this.stage;
    const events = histories.flatMap((h) => h.events);
    const found = checkHistory(events, this.users.events, this.users.specs, {
      teams: platform.teams.map((t) => ({ name: t.name, cpusMax: t.cpus_max, gpusMax: t.gpus_max })),
      cancelS: platform.workers.cancel_s,
    });
    if (!this.cluster.tasks.history.some((e) => e.kind === 'on'))
      this.report('nothing_ran', `no task was started in step ${this.plan.name}`);
    for (const violation of [...found, ...ranAgain(histories, this.users.specs)]) {
      const name = JSON.stringify(violation);
      if (reported.has(name)) continue;
      reported.add(name);
      this.broken.push(violation);
    }
  }
}
