import { type Amounts, fitCount } from './capacityprofile.js';

/** Task that may be preempted. */
export interface Victim<T> {
  ref: T;
  need: Amounts;
  sameTeam: boolean;
  /** Run time that is lost by stopping the task, in seconds. */
  loss: number;
}

/** Machine with the tasks on it that may be preempted. */
export interface PreemptMachine<T> {
  /** Resources that no task on the machine uses at present. */
  free: Amounts;
  victims: Victim<T>[];
}

/** Number and size of the tasks for which capacity is requested. */
export interface PreemptionRequest {
  need: Amounts;
  count: number;
  /** Resources that the team may still use within its limit. */
  teamLeft: Amounts;
}

function add(to: Amounts, amount: Amounts): Amounts {
  return {
    cpus: to.cpus + amount.cpus,
    gpus: to.gpus + amount.gpus,
    memoryGb: to.memoryGb + amount.memoryGb,
  };
}

/**
 * Chooses the tasks to stop so that `count` tasks fit on the machines and within their team's limit, with the
 * least loss of run time. Returns null, and stops nothing, when stopping tasks would not suffice.
 */
export function chooseVictims<T>(
  request: PreemptionRequest,
  machines: readonly PreemptMachine<T>[],
): T[] | null {
  const chosen = new Set<Victim<T>>();
  let remaining = request.count;
  const evictions = machines
    .map((m) => cheapestEviction(m, request.need))
    .filter((eviction) => eviction !== null)
    .sort((a, b) => a.loss - b.loss);
  for (const eviction of evictions) {
    if (remaining <= 0) break;
    for (const victim of eviction.victims) chosen.add(victim);
    remaining -= Math.min(remaining, fitCount(eviction.free, request.need, remaining));
  }
  if (remaining > 0) return null;
  let teamLeft = request.teamLeft;
  for (const victim of chosen) if (victim.sameTeam) teamLeft = add(teamLeft, victim.need);
  const sameTeamVictims = machines
    .flatMap((m) => m.victims)
    .filter((victim) => victim.sameTeam && !chosen.has(victim))
    .sort((a, b) => a.loss - b.loss);
  const fits = () => fitCount(teamLeft, { ...request.need, memoryGb: 0 }, request.count) >= request.count;
  for (const victim of sameTeamVictims) {
    if (fits()) break;
    chosen.add(victim);
    teamLeft = add(teamLeft, victim.need);
  }
  return fits() ? [...chosen].map((victim) => victim.ref) : null;
}

/**
 * Returns the tasks with the least loss whose stop lets one task fit on a machine, and the capacity that is
 * free then.
 */
function cheapestEviction<T>(
  machine: PreemptMachine<T>,
  need: Amounts,
): { victims: Victim<T>[]; free: Amounts; loss: number } | null {
  const victims: Victim<T>[] = [];
  let { free } = machine;
  for (const victim of [...machine.victims].sort((a, b) => a.loss - b.loss)) {
    if (fitCount(free, need, 1) > 0) break;
    victims.push(victim);
    free = add(free, victim.need);
  }
  if (fitCount(free, need, 1) === 0) return null;
  return { victims, free, loss: victims.reduce((sum, victim) => sum + 1 + victim.loss, 0) };
}
