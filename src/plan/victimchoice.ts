import { type Amounts, fitCount } from './capacityprofile.js';

/** A task that may be preempted. */
export interface Victim<T> {
  ref: T;
  need: Amounts;
  sameTeam: boolean;
  /** Run time that stopping it loses, in seconds. */
  loss: number;
}

/** A machine with the tasks on it that may be preempted. */
export interface PreemptMachine<T> {
  /** Not needed by anything at present. */
  free: Amounts;
  victims: Victim<T>[];
}

/** So many tasks, and what each needs. */
export interface PreemptionRequest {
  need: Amounts;
  count: number;
  /** What the team may still use before its limit. */
  teamLeft: Amounts;
}

function add(to: Amounts, by: Amounts): Amounts {
  return { cpus: to.cpus + by.cpus, gpus: to.gpus + by.gpus, memoryGb: to.memoryGb + by.memoryGb };
}

/**
 * Which tasks to stop so that `count` tasks fit, on the machines and within their team's limit: those that lose
 * the least, and none when it would not suffice. Null when it cannot be done.
 */
export function chooseVictims<T>(
  request: PreemptionRequest,
  machines: readonly PreemptMachine<T>[],
): T[] | null {
  const chosen = new Set<Victim<T>>();
  let left = request.count;
  const offers = machines
    .map((m) => offer(m, request.need))
    .filter((o) => o !== null)
    .sort((a, b) => a.loss - b.loss);
  for (const o of offers) {
    if (left <= 0) break;
    for (const v of o.victims) chosen.add(v);
    left -= Math.min(left, fitCount(o.free, request.need, left));
  }
  if (left > 0) return null;
  let teamLeft = request.teamLeft;
  for (const v of chosen) if (v.sameTeam) teamLeft = add(teamLeft, v.need);
  const own = machines
    .flatMap((m) => m.victims)
    .filter((v) => v.sameTeam && !chosen.has(v))
    .sort((a, b) => a.loss - b.loss);
  const fits = () => fitCount(teamLeft, { ...request.need, memoryGb: 0 }, request.count) >= request.count;
  for (const v of own) {
    if (fits()) break;
    chosen.add(v);
    teamLeft = add(teamLeft, v.need);
  }
  return fits() ? [...chosen].map((v) => v.ref) : null;
}

/** The cheapest stops after which one task fits on a machine, and what is free there then. */
function offer<T>(
  m: PreemptMachine<T>,
  need: Amounts,
): { victims: Victim<T>[]; free: Amounts; loss: number } | null {
  const victims: Victim<T>[] = [];
  let { free } = m;
  for (const v of [...m.victims].sort((a, b) => a.loss - b.loss)) {
    if (fitCount(free, need, 1) > 0) break;
    victims.push(v);
    free = add(free, v.need);
  }
  if (fitCount(free, need, 1) === 0) return null;
  return { victims, free, loss: victims.reduce((sum, v) => sum + 1 + v.loss, 0) };
}
