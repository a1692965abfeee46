import { Random } from '../../src/emulator/random.js';
import { Tasks } from '../../src/emulator/tasks.js';
import { checkHistory, type Violation } from '../../src/load/check.js';
import { NODES } from './busy.js';
import { FakeCluster, job } from './cluster.js';
import { draw, type Trouble, Troubles } from './troubles.js';
import { Users } from './users.js';

const CANCEL_S = 45;
const LOOK_MS = 250;
const BOOT_MS = 8000;
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
export async function play(seed: number, given: Trouble[] | null = null): Promise<Played> {
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
  const types = new Map(c.types.map((t) => [t.name, t]));
  const tasks = new Tasks(c.clock, random, types, { gangWaitS: 40, gangPeerS: 5 });
  c.runtime = tasks;
  for (let i = 0; i < 8; i++) c.addWorker('c8', i % 2 === 0 ? 'a' : 'b', i > 5);
  for (const n of NODES) c.startNode(n);
  const users = new Users(c, tasks, random);
  const met = new Troubles(c, NODES, random);
  const begun = c.clock.now();
  met.plan(troubles);
  come(c, users, random, troubles);
  const seen = new Set(c.workers);
  const boot = () => {
    for (const w of c.workers) {
      if (seen.has(w)) continue;
      seen.add(w);
      c.clock.after(BOOT_MS, () => {
        w.lastSent = c.clock.now();
        c.silent.delete(w);
      });
    }
  };
  let overAt: number | null = null;
  const violations: Violation[] = [];
  for (;;) {
    boot();
    // A lease ends by the machine's own clock, also while it stands still.
    for (const w of c.workers)
      if (seen.has(w) && !(c.silent.has(w) && w.started.length === 0)) w.checkLease();
    await c.clock.advance(LOOK_MS);
    const now = c.clock.now();
    if (met.over && now > begun + COMING_S * 1000) overAt ??= now;
    if (overAt === null) continue;
    const late = users.forgotten(overAt, false);
    const open = [...users.jobs.values()].some((j) => j.accepted && !j.over);
    if (late.length > 0 || now > overAt + DRAIN_S * 1000 || (!open && now > overAt + CANCEL_S * 1000)) {
      violations.push(...users.forgotten(overAt, true));
      break;
    }
  }
  for (const w of [...c.workers]) c.remove(w);
  const specs = new Map([...users.jobs].map(([id, k]) => [id, k.spec]));
  violations.push(...checkHistory(tasks.history, users.events, specs, { teams: c.teams, cancelS: CANCEL_S }));
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
      void users.submit({ ...wire, ...more }, runS);
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
