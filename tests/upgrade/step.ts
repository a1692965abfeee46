import { type Clock, pause, systemClock } from '../../src/clock/clock.js';
import { LocalCluster, type LocalOptions } from '../../src/emulator/local.js';
import type { Platform } from '../../src/emulator/platform.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import type { Violation } from '../../src/load/history.js';
import { KEYS } from '../../src/schema/schema.js';
import { findRepeatedTasks, type StepHistory, settledBefore } from './history.js';
import { ID_PREFIX, submissionsOf } from './jobs.js';
import { type Build, OwnerWatch } from './owners.js';
import type { StepFigures } from './report.js';
import { isEnded, type Questions, type TrackedJob, type Users } from './users.js';

/** The plan of a step. Each step runs one cluster on the data directory that all steps share. */
export interface StepPlan {
  name: string;
  what: string;
  /** The builds that the controllers run, assigned round-robin. */
  builds: readonly Build[];
  standby: boolean;
  lengthS: number;
  bulkTasks: number;
  /** Controllers to kill, and when; `oldest` is the leader of the cluster. */
  kills: readonly { atS: number; controller: number | 'oldest' }[];
  /** Maximum time that a step waits at its end until all jobs have ended; 0 except in the last step. */
  drainS: number;
  /** Minimum counts without which the step would prove nothing. */
  expects: { terms: number; chunks: number; left: number };
}

/** State that all steps share. */
export interface SharedState {
  clock: Clock;
  users: Users;
  platform: Platform;
  programs: Readonly<Record<Build, string>>;
  local: Pick<LocalOptions, 'controllers' | 'speed' | 'data' | 'port' | 'seed' | 'onError'>;
  /** Task histories of the steps that have run. */
  histories: StepHistory[];
  /** Violations that were already reported by an earlier step. */
  reported: Set<string>;
  /** The running cluster, so that it can be stopped early. */
  running: LocalCluster | null;
}

const POLL_MS = 3000;
/** Real time within which a worker that is booting when its cluster stops has begun to listen. */
const BOOT_SETTLE_MS = 200;

/** Runs one step and checks the history of all steps so far against the rules. */
export async function playStep(shared: SharedState, plan: StepPlan): Promise<StepFigures> {
  const cluster = new LocalCluster({
    ...shared.local,
    platform: shared.platform,
    program: shared.programs[plan.builds[0]!],
    programs: plan.builds.map((build) => shared.programs[build]),
    flags: plan.standby ? ['--standby'] : [],
  });
  shared.running = cluster;
  try {
    return await new StepRun(shared, plan, cluster).play();
  } finally {
    await stopCompletely(cluster);
    shared.running = null;
  }
}

/**
 * Stops a cluster, its market and all its workers. Machines that were booting would otherwise start later, since
 * this process continues, and send heartbeats to the next cluster, whose jobs are unknown to them.
 */
async function stopCompletely(cluster: LocalCluster): Promise<void> {
  await cluster.stop();
  for (const id of [...cluster.market.machines.keys()]) cluster.market.remove(id);
  await pause(systemClock, BOOT_SETTLE_MS);
  for (const { worker, reporter, server } of cluster.machines.values()) {
    reporter.stop();
    worker.killTasks();
    server.close();
  }
}

function questionsBetween(before: Questions, after: Questions): Questions {
  return { asked: after.asked - before.asked, answered: after.answered - before.answered };
}

class StepRun {
  private readonly clock: Clock;
  private readonly users: Users;
  private readonly broken: Violation[] = [];
  private readonly watch: OwnerWatch;
  private kills = 0;
  private stopped = false;

  constructor(
    private readonly shared: SharedState,
    private readonly plan: StepPlan,
    private readonly cluster: LocalCluster,
  ) {
    this.clock = shared.clock;
    this.users = shared.users;
    this.watch = new OwnerWatch(cluster, plan.builds);
  }

  async play(): Promise<StepFigures> {
    const { shared, plan, cluster, users } = this;
    const questions = { ...users.questions };
    const carried = users.unfinished();
    const history: StepHistory = {
      step: plan.name,
      events: cluster.tasks.history,
      stoppedAt: Number.POSITIVE_INFINITY,
    };
    const settled = settledBefore(shared.histories, users.specs);
    await cluster.start();
    void this.watch.run();
    const startedAt = this.clock.now();
    shared.histories.push(history);
    this.broken.push(...(await users.checkTakeover(settled)));
    const atTakeover = { ...users.questions };
    await this.load();
    if (plan.drainS > 0) await this.drain();
    const chunks = this.countChunks();
    const lengthS = Math.round((this.clock.now() - startedAt) / 1000);
    this.stopped = true;
    this.watch.stop();
    this.checkStarts();
    history.stoppedAt = this.clock.now();
    await stopCompletely(cluster);
    const left = users.unfinished().length;
    this.checkCarried(carried);
    this.checkExpected(chunks, left);
    this.checkRules();
    return {
      step: plan.name,
      what: plan.what,
      lengthS,
      carried: carried.length,
      carriedOver: carried.filter(isEnded).length,
      left,
      terms: this.watch.terms.size,
      kills: this.kills,
      owners: [...this.watch.owners].sort(),
      standbys: [...this.watch.standbys].sort(),
      mixedTeams: this.watch.mixedTeams,
      chunks,
      atTakeover: questionsBetween(questions, atTakeover),
      underLoad: questionsBetween(atTakeover, users.questions),
      twice: cluster.tasks.duplicateCompletions,
      broken: this.broken,
    };
  }

  /** Submits, cancels and polls jobs, and kills controllers, for the duration of the step. */
  private async load(): Promise<void> {
    const { name, lengthS, bulkTasks, kills } = this.plan;
    const startedAt = this.clock.now();
    for (const kill of kills) this.clock.after(kill.atS * 1000, () => this.kill(kill.controller));
    const submitting: Promise<void>[] = [];
    const submissions = submissionsOf(name, lengthS, bulkTasks);
    while (this.clock.now() < startedAt + lengthS * 1000) {
      const atS = (this.clock.now() - startedAt) / 1000;
      while (submissions[0] && submissions[0].atS <= atS)
        submitting.push(this.users.submit(name, submissions.shift()!));
      await this.users.poll(this.users.unfinished());
      await pause(this.clock, POLL_MS);
    }
    await Promise.all(submitting);
  }

  private kill(which: number | 'oldest'): void {
    if (this.stopped) return;
    this.kills++;
    this.cluster.kill(which === 'oldest' ? this.cluster.oldestController() : which);
  }

  /** Waits until every job has ended; services are cancelled, since they would never end. */
  private async drain(): Promise<void> {
    const until = this.clock.now() + this.plan.drainS * 1000;
    while (this.users.unfinished().length > 0 && this.clock.now() < until) {
      const services = this.users.unfinished().filter((job) => job.spec.kind === 'service');
      await Promise.all(services.map((job) => this.users.cancel(job.spec.id)));
      await this.users.poll(this.users.unfinished());
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

  /** Reports controllers that exited without being killed. */
  private checkStarts(): void {
    const { controllers } = this.cluster;
    const ends = controllers.reduce((sum, c) => sum + c.starts - 1, 0) - this.kills;
    if (ends > 0) this.report('ended_by_itself', `${ends} times a controller ended that was not killed`);
  }

  /**
   * Reports jobs of earlier steps that have not ended, never ran in this step, and wait for no unfinished
   * dependency.
   */
  private checkCarried(carried: readonly TrackedJob[]): void {
    const ran = new Set(this.cluster.tasks.history.map((e) => e.job));
    const waits = (job: TrackedJob) => job.spec.after.some((id) => !isEnded(this.users.jobs.get(id)!));
    for (const job of carried)
      if (!isEnded(job) && !ran.has(job.spec.id) && !waits(job))
        this.report('stalled', `${job.spec.id} was unfinished at the beginning, and nothing of it ran`);
  }

  /** Reports conditions that were not reached; without them the step would pass and prove nothing. */
  private checkExpected(chunks: number, left: number): void {
    const { expects, builds, standby } = this.plan;
    const checkAtLeast = (what: string, found: number, least: number) => {
      if (found < least) this.report('not_tried', `${found} ${what}, and the step needs ${least}`);
    };
    checkAtLeast('terms', this.watch.terms.size, expects.terms);
    checkAtLeast('chunks of the large array', chunks, expects.chunks);
    checkAtLeast('unfinished jobs at the end', left, expects.left);
    for (const build of new Set(builds))
      if (![...this.watch.owners].some((owner) => owner.startsWith(build)))
        this.report('not_tried', `no controller of the ${build} build owned a shard`);
    if (new Set(builds).size < 2) return;
    if (this.watch.mixedTeams === 0)
      this.report('not_tried', 'at no moment did owners of both builds serve teams');
    if (standby && !this.watch.standbys.has('old>new') && !this.watch.standbys.has('new>old'))
      this.report('not_tried', 'no shard had its owner and its standby of different builds');
  }

  /** Checks all steps so far against the rules; violations that an earlier step reported are not reported again. */
  private checkRules(): void {
    const { histories, platform, reported } = this.shared;
    const events = histories.flatMap((h) => h.events);
    const found = checkHistory(events, this.users.events, this.users.specs, {
      teams: platform.teams.map((t) => ({ name: t.name, cpusMax: t.cpus_max, gpusMax: t.gpus_max })),
      cancelS: platform.workers.cancel_s,
    });
    if (!this.cluster.tasks.history.some((e) => e.kind === 'on'))
      this.report('nothing_ran', `no task was started in step ${this.plan.name}`);
    for (const violation of [...found, ...findRepeatedTasks(histories, this.users.specs)]) {
      const name = JSON.stringify(violation);
      if (reported.has(name)) continue;
      reported.add(name);
      this.broken.push(violation);
    }
  }
}
