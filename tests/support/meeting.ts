import { Random } from '../../src/emulator/random.js';
import { Tasks } from '../../src/emulator/tasks.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import { type CheckLimits, startKey, type Violation } from '../../src/load/history.js';
import { type FreeCapacity, StarvationCheck, type WaitingJob } from '../../src/load/starvationcheck.js';
import type { JobSpec } from '../../src/wire/users.js';
import { readCommands, WORKER_PATHS } from '../../src/wire/workers.js';
import { NODES } from './busy.js';
import { FakeCluster, job } from './cluster.js';
import type { RequestOutcome } from './net.js';
import { drawFaults, type Fault, FaultInjector } from './troubles.js';
import { Users } from './users.js';

const CANCEL_S = 45;
const CHECK_INTERVAL_MS = 250;
/** Jobs are submitted during this period from the start. */
const SUBMISSION_PERIOD_S = 55;
/** Time that unfinished jobs have after the end of the last fault. */
const DRAIN_S = 400;

export interface ScenarioResult {
  seed: number;
  faults: Fault[];
  violations: Violation[];
  jobs: number;
  done: number;
  cancelled: number;
  starts: number;
  /** Number of start commands that were repeated after they had been carried out. */
  startsRepeated: number;
}

/**
 * Runs a scenario of random, overlapping faults on the scripted cluster while users submit and cancel jobs and
 * gangs and tasks end. Violations are found in what machines and users observed, never in the memory of
 * controllers.
 */
export async function playScenario(
  seed: number,
  fixedFaults: Fault[] | null = null,
  /** Faults in addition to the drawn or fixed ones. */
  additionalFaults: readonly Fault[] = [],
  /** Decides the outcome of a request before the faults do; null leaves it to them. */
  fate:
    | ((from: string, addr: string, method: string, path: string, body: unknown) => RequestOutcome | null)
    | null = null,
): Promise<ScenarioResult> {
  const random = new Random(seed);
  const faults = [...(fixedFaults ?? drawFaults(random)), ...additionalFaults];
  const cluster = new FakeCluster(NODES);
  cluster.teams = [
    { name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 },
    { name: 'blue', cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 0 },
  ];
  cluster.objectives = [];
  cluster.cloudHasCapacity = true;
  cluster.standby = random.chance(0.75);
  cluster.zones.set(NODES[2]!, 'b');
  const types = new Map(cluster.types.map((t) => [t.name, t]));
  const tasks = new Tasks(cluster.clock, random, types, { gangWaitS: 40, gangPeerS: 5 });
  cluster.runtime = tasks;
  for (let i = 0; i < 8; i++) cluster.addWorker('c8', i % 2 === 0 ? 'a' : 'b', i > 5);
  for (const n of NODES) cluster.startNode(n);
  const users = new Users(cluster, tasks, random);
  const injector = new FaultInjector(cluster, NODES, random, users);
  const commandedAt = recordStartCommands(cluster, fate);
  const startedAt = cluster.clock.now();
  injector.plan(faults);
  scheduleJobs(cluster, users, random, faults);
  const knownWorkers = new Set(cluster.workers);
  const bootNewWorkers = () => {
    for (const w of cluster.workers) {
      if (knownWorkers.has(w)) continue;
      knownWorkers.add(w);
      cluster.clock.after(injector.bootMs, () => {
        w.lastHeartbeatSentAt = cluster.clock.now();
        cluster.notSendingHeartbeats.delete(w);
      });
    }
  };
  let endedAt: number | null = null;
  const violations: Violation[] = [];
  const starvation = new StarvationCheck();
  for (;;) {
    bootNewWorkers();
    // A lease expires by the machine's own clock, also while the machine hangs.
    for (const w of cluster.workers)
      if (knownWorkers.has(w) && !(cluster.notSendingHeartbeats.has(w) && w.executedStarts.length === 0))
        w.checkLease();
    await cluster.clock.advance(CHECK_INTERVAL_MS);
    const now = cluster.clock.now();
    if (injector.allEnded && now > startedAt + SUBMISSION_PERIOD_S * 1000) endedAt ??= now;
    if (endedAt === null) continue;
    violations.push(
      ...starvation.observe(now, freeCapacity(cluster, users), waitingJobs(cluster, users, tasks)),
    );
    const forgotten = users.findForgotten(endedAt, false);
    const hasOpenJobs = [...users.jobs.values()].some((j) => j.accepted && !j.ended);
    if (
      forgotten.length > 0 ||
      now > endedAt + DRAIN_S * 1000 ||
      (!hasOpenJobs && now > endedAt + CANCEL_S * 1000)
    ) {
      violations.push(...users.findForgotten(endedAt, true));
      break;
    }
  }
  for (const w of [...cluster.workers]) cluster.remove(w);
  const specs = new Map([...users.jobs].map(([id, k]) => [id, k.spec]));
  const limits: CheckLimits = { teams: cluster.teams, cancelS: CANCEL_S, startSentAt: commandedAt };
  violations.push(...checkHistory(tasks.history, users.events, specs, limits), ...injector.repeatedStarts);
  for (const n of NODES) cluster.killNode(n);
  const jobsReported = (status: string) =>
    new Set(users.events.filter((e) => e.status === status || e.kind === status).map((e) => e.job)).size;
  return {
    seed,
    faults: faults,
    violations: violations.map((v) => ({ ...v, at: (v.at - startedAt) / 1000 })),
    jobs: users.jobs.size,
    done: jobsReported('done'),
    cancelled: jobsReported('cancelled'),
    starts: tasks.history.filter((e) => e.kind === 'on').length,
    startsRepeated: injector.startsRepeated,
  };
}

/** Records when each start command was sent; `outcomeOf` takes precedence over the faults. */
function recordStartCommands(
  cluster: FakeCluster,
  fate: Parameters<typeof playScenario>[3],
): Map<string, number> {
  const commandedAt = new Map<string, number>();
  const faultOutcome = cluster.net.outcomeOf;
  cluster.net.outcomeOf = (from, addr, method, path, body) => {
    const orders = path === WORKER_PATHS.commands ? (readCommands(body)?.commands ?? []) : [];
    const machine = orders.length > 0 ? cluster.workers.find((w) => w.identity.addr === addr)?.id : undefined;
    for (const o of orders)
      if (o.op === 'start' && machine !== undefined)
        commandedAt.set(startKey(machine, o.job, o.index, o.attempt), cluster.clock.now());
    return fate?.(from, addr, method, path, body) ?? faultOutcome(from, addr, method, path, body);
  };
  return commandedAt;
}

/** Returns the free capacity of the machines that send heartbeats and are not about to be reclaimed. */
function freeCapacity(cluster: FakeCluster, users: Users): FreeCapacity[] {
  const types = new Map(cluster.types.map((t) => [t.name, t]));
  return cluster.workers
    .filter((w) => !cluster.notSendingHeartbeats.has(w) && w.noticeS === null)
    .map((worker) => {
      const { type, zone, spot } = worker.identity;
      const free = { ...types.get(type)! };
      for (const a of worker.attempts) {
        const spec = a.state === 'exited' ? undefined : users.jobs.get(a.job)?.spec;
        free.cpus -= spec?.cpus ?? 0;
        free.gpus -= spec?.gpus ?? 0;
        free.memoryGb -= spec?.memoryGb ?? 0;
      }
      return { type, zone, spot, cpus: free.cpus, gpus: free.gpus, memoryGb: free.memoryGb };
    });
}

/**
 * Returns accepted, uncancelled jobs that could run: no attempt on a machine, dependencies ended, some task not
 * done.
 */
function waitingJobs(cluster: FakeCluster, users: Users, tasks: Tasks): WaitingJob[] {
  const placed = new Set<string>();
  const usedByTeam = new Map<string, { cpus: number; gpus: number }>();
  for (const w of cluster.workers)
    for (const a of w.attempts) {
      const spec = users.jobs.get(a.job)?.spec;
      if (a.state !== 'exited') placed.add(a.job);
      if (a.state === 'exited' || !spec) continue;
      const teamUse = usedByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
      usedByTeam.set(spec.team, { cpus: teamUse.cpus + spec.cpus, gpus: teamUse.gpus + spec.gpus });
    }
  const done = new Set([...users.jobs.values()].filter((j) => j.ended).map((j) => j.spec.id));
  const allTasksDone = (spec: JobSpec) =>
    tasks.history.filter((e) => e.job === spec.id && e.cause === 'done').length >=
    (spec.kind === 'gang' ? 1 : spec.tasks);
  return [...users.jobs.values()]
    .filter((j) => j.accepted && !j.ended && !j.cancelAsked && !placed.has(j.spec.id))
    .filter((j) => j.spec.after.every((id) => done.has(id)) && !allTasksDone(j.spec))
    .map(({ spec }) => {
      const team = cluster.teams.find((t) => t.name === spec.team);
      const used = usedByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
      return {
        spec,
        quotaCpusLeft: team && team.cpusMax > 0 ? team.cpusMax - used.cpus : null,
        quotaGpusLeft: team && team.gpusMax > 0 ? team.gpusMax - used.gpus : null,
      };
    });
}

/** Schedules jobs of all kinds. More than half of them are cancelled, mostly close to the start or end of a fault. */
function scheduleJobs(cluster: FakeCluster, users: Users, random: Random, faults: readonly Fault[]): void {
  const edges = faults.flatMap((t) => [t.atS, t.atS + t.forS]);
  const count = 9 + Math.floor(random.between(0, 7));
  for (let i = 0; i < count; i++) {
    const id = `wk-${i + 1}`;
    const at = random.between(4, SUBMISSION_PERIOD_S);
    const runS = random.chance(0.4) ? random.between(40, 110) : random.between(2, 30);
    const shape = random.pick(['sweep', 'sweep', 'sweep', 'ensemble', 'ensemble', 'standing']);
    const oneZone = random.chance(0.3);
    const cancelled = shape === 'standing' || random.chance(0.6);
    const wire = job(id, {
      owner: random.pick(['red', 'red', 'blue']),
      shape,
      urgency: random.pick(['standard', 'standard', 'urgent', 'low']),
      pieces: 1 + Math.floor(random.between(0, 3)),
      cpus: random.pick([4, 8]),
      pullGb: random.between(0, 3),
      bundle: `img-${Math.floor(random.between(0, 4))}`,
      oneZone,
      yard: random.chance(0.2) ? random.pick(['a', 'b']) : null,
      // Never together with `oneZone`: two tasks of such a job could never be on machines at the same time.
      spread: shape === 'sweep' && !oneZone && random.chance(0.3),
      loaner: random.chance(0.7),
      expectedS: shape === 'standing' ? 0 : runS * random.between(0.6, 1.5),
      saveEveryS: random.pick([0, 10]),
    });
    const needs = random.chance(0.35) ? 1 + Math.floor(random.between(0, 2)) : 0;
    cluster.clock.after(at * 1000, () => {
      // Users name only accepted jobs as dependencies, and never services.
      const known = [...users.jobs.values()].filter((j) => j.accepted && j.spec.kind !== 'service');
      const waitsOn = known.slice(-needs).map((j) => j.spec.id);
      const dependencies = needs > 0 && waitsOn.length > 0 ? { waitsOn } : {};
      void users.submit({ ...wire, ...dependencies }, runS, cancelled && random.chance(0.15));
    });
    if (!cancelled) continue;
    const cancelAtS = random.chance(0.6)
      ? random.pick(edges) + random.between(-2, 2)
      : at + random.between(2, 70);
    const scheduleCancel = (delayMs: number): void => {
      cluster.clock.after(delayMs, () => {
        // A job that is not accepted yet is cancelled later.
        if (users.jobs.get(id)?.accepted) void users.cancel(id);
        else if (cluster.clock.now() < 1_400_000) scheduleCancel(4000);
      });
    };
    scheduleCancel(Math.max(at + 1, cancelAtS) * 1000);
  }
}
