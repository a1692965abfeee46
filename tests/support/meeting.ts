import { Random } from '../../src/emulator/random.js';
import { Tasks } from '../../src/emulator/tasks.js';
import { checkHistory } from '../../src/load/checkhistory.js';
import { startKey, type Violation } from '../../src/load/history.js';
import { type FreeCapacity, StarvationCheck, type WaitingJob } from '../../src/load/starvationcheck.js';
import type { JobSpec } from '../../src/wire/users.js';
import { readCommands, WORKER_PATHS } from '../../src/wire/workers.js';
import { NODES } from './busy.js';
import { FakeCluster, job } from './cluster.js';
import type { Fate } from './net.js';
import { draw, type Trouble, Troubles } from './troubles.js';
import { Users } from './users.js';

const CANCEL_S = 45;
const LOOK_MS = 250;
/** Jobs come during this, and what is left at the end has so long after the last trouble. */
const COMING_S = 55;
const DRAIN_S = 400;

export interface Played {
  seed: number;
  troubles: Trouble[];
  violations: Violation[];
  jobs: number;
  done: number;
  cancelled: number;
  starts: number;
}

/**
 * Plays a drawn meeting of troubles around submissions, cancellations, ends and gangs on the scripted cluster. What breaks a rule
 * is found by what machines and users saw, never by what controllers have in memory.
 */
export async function play(
  seed: number,
  given: Trouble[] | null = null,
  /** What becomes of a request beside the troubles: null leaves it to them. */
  fate:
    | ((from: string, addr: string, method: string, path: string, body: unknown) => Fate | null)
    | null = null,
): Promise<Played> {
  const random = new Random(seed);
  const troubles = given ?? draw(random);
  const c = new FakeCluster(NODES);
  c.teams = [
    { name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 },
    { name: 'blue', cpus: 8, cpusMax: 24, gpus: 0, gpusMax: 0 },
  ];
  c.objectives = [];
  c.capacity = true;
  c.standby = random.chance(0.75);
  c.zones.set(NODES[2]!, 'b');
  const types = new Map(c.types.map((t) => [t.name, t]));
  const tasks = new Tasks(c.clock, random, types, { gangWaitS: 40, gangPeerS: 5 });
  c.runtime = tasks;
  for (let i = 0; i < 8; i++) c.addWorker('c8', i % 2 === 0 ? 'a' : 'b', i > 5);
  for (const n of NODES) c.startNode(n);
  const users = new Users(c, tasks, random);
  const met = new Troubles(c, NODES, random, users);
  const ordered = seeOrders(c, fate);
  const begun = c.clock.now();
  met.plan(troubles);
  come(c, users, random, troubles);
  const seen = new Set(c.workers);
  const boot = () => {
    for (const w of c.workers) {
      if (seen.has(w)) continue;
      seen.add(w);
      c.clock.after(met.bootMs, () => {
        w.lastSent = c.clock.now();
        c.silent.delete(w);
      });
    }
  };
  let overAt: number | null = null;
  const violations: Violation[] = [];
  const left = new StarvationCheck();
  for (;;) {
    boot();
    // A lease ends by the machine's own clock, also while it stands still.
    for (const w of c.workers)
      if (seen.has(w) && !(c.silent.has(w) && w.started.length === 0)) w.checkLease();
    await c.clock.advance(LOOK_MS);
    const now = c.clock.now();
    if (met.over && now > begun + COMING_S * 1000) overAt ??= now;
    if (overAt === null) continue;
    violations.push(...left.observe(now, room(c, users), waiting(c, users, tasks)));
    const late = users.forgotten(overAt, false);
    const open = [...users.jobs.values()].some((j) => j.accepted && !j.over);
    if (late.length > 0 || now > overAt + DRAIN_S * 1000 || (!open && now > overAt + CANCEL_S * 1000)) {
      violations.push(...users.forgotten(overAt, true));
      break;
    }
  }
  for (const w of [...c.workers]) c.remove(w);
  const specs = new Map([...users.jobs].map(([id, k]) => [id, k.spec]));
  const limits = { teams: c.teams, cancelS: CANCEL_S, ordered };
  violations.push(...checkHistory(tasks.history, users.events, specs, limits));
  for (const n of NODES) c.killNode(n);
  const told = (status: string) =>
    new Set(users.events.filter((e) => e.status === status || e.kind === status).map((e) => e.job)).size;
  return {
    seed,
    troubles,
    violations: violations.map((v) => ({ ...v, at: (v.at - begun) / 1000 })),
    jobs: users.jobs.size,
    done: told('done'),
    cancelled: told('cancelled'),
    starts: tasks.history.filter((e) => e.kind === 'on').length,
  };
}

/** Notes when each start was ordered; `fate` goes before what the troubles do. */
function seeOrders(c: FakeCluster, fate: Parameters<typeof play>[2]): Map<string, number> {
  const ordered = new Map<string, number>();
  const troubles = c.net.fate;
  c.net.fate = (from, addr, method, path, body) => {
    const orders = path === WORKER_PATHS.commands ? (readCommands(body)?.orders ?? []) : [];
    const machine = orders.length > 0 ? c.workers.find((w) => w.place.addr === addr)?.id : undefined;
    for (const o of orders)
      if (o.op === 'start' && machine !== undefined)
        ordered.set(startKey(machine, o.job, o.index, o.attempt), c.clock.now());
    return fate?.(from, addr, method, path, body) ?? troubles(from, addr, method, path, body);
  };
  return ordered;
}

/** What the machines that report have left. */
function room(c: FakeCluster, users: Users): FreeCapacity[] {
  const types = new Map(c.types.map((t) => [t.name, t]));
  return c.workers
    .filter((w) => !c.silent.has(w) && w.noticeS === null)
    .map((w) => {
      const { type, zone, spot } = w.place;
      const free = { ...types.get(type)! };
      for (const a of w.attempts) {
        const spec = a.state === 'exited' ? undefined : users.jobs.get(a.job)?.spec;
        free.cpus -= spec?.cpus ?? 0;
        free.gpus -= spec?.gpus ?? 0;
        free.memoryGb -= spec?.memoryGb ?? 0;
      }
      return { type, zone, spot, cpus: free.cpus, gpus: free.gpus, memoryGb: free.memoryGb };
    });
}

/** Jobs that were accepted, and of which nothing is on a machine although nothing keeps them from starting. */
function waiting(c: FakeCluster, users: Users, tasks: Tasks): WaitingJob[] {
  const there = new Set<string>();
  const use = new Map<string, { cpus: number; gpus: number }>();
  for (const w of c.workers)
    for (const a of w.attempts) {
      const spec = users.jobs.get(a.job)?.spec;
      if (a.state !== 'exited') there.add(a.job);
      if (a.state === 'exited' || !spec) continue;
      const u = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
      use.set(spec.team, { cpus: u.cpus + spec.cpus, gpus: u.gpus + spec.gpus });
    }
  const done = new Set([...users.jobs.values()].filter((j) => j.over).map((j) => j.spec.id));
  const ended = (spec: JobSpec) =>
    tasks.history.filter((e) => e.job === spec.id && e.cause === 'done').length >=
    (spec.kind === 'gang' ? 1 : spec.tasks);
  return [...users.jobs.values()]
    .filter((j) => j.accepted && !j.over && !j.cancelAsked && !there.has(j.spec.id))
    .filter((j) => j.spec.after.every((id) => done.has(id)) && !ended(j.spec))
    .map(({ spec }) => {
      const team = c.teams.find((t) => t.name === spec.team);
      const used = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
      return {
        spec,
        quotaCpusLeft: team && team.cpusMax > 0 ? team.cpusMax - used.cpus : null,
        quotaGpusLeft: team && team.gpusMax > 0 ? team.gpusMax - used.gpus : null,
      };
    });
}

/** Jobs of all shapes; half of them are cancelled, mostly about when a trouble begins or ends. */
function come(c: FakeCluster, users: Users, random: Random, troubles: readonly Trouble[]): void {
  const edges = troubles.flatMap((t) => [t.atS, t.atS + t.forS]);
  const count = 9 + Math.floor(random.between(0, 7));
  for (let i = 0; i < count; i++) {
    const id = `wk-${i + 1}`;
    const at = random.between(4, COMING_S);
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
      // Not both at once: two tasks of such a job can never be on machines at the same time.
      spread: shape === 'sweep' && !oneZone && random.chance(0.3),
      loaner: random.chance(0.7),
      expectedS: shape === 'standing' ? 0 : runS * random.between(0.6, 1.5),
      saveEveryS: random.pick([0, 10]),
    });
    const needs = random.chance(0.35) ? 1 + Math.floor(random.between(0, 2)) : 0;
    c.clock.after(at * 1000, () => {
      // Users name only what was accepted, and never services.
      const known = [...users.jobs.values()].filter((j) => j.accepted && j.spec.kind !== 'service');
      const waitsOn = known.slice(-needs).map((j) => j.spec.id);
      const more = needs > 0 && waitsOn.length > 0 ? { waitsOn } : {};
      void users.submit({ ...wire, ...more }, runS, cancelled && random.chance(0.15));
    });
    if (!cancelled) continue;
    const edge = random.chance(0.6) ? random.pick(edges) + random.between(-2, 2) : at + random.between(2, 70);
    const again = (left: number): void => {
      c.clock.after(left, () => {
        // Whoever is accepted late cancels late.
        if (users.jobs.get(id)?.accepted) void users.cancel(id);
        else if (c.clock.now() < 1_400_000) again(4000);
      });
    };
    again(Math.max(at + 1, edge) * 1000);
  }
}
