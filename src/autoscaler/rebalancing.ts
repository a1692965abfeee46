import { fitCount } from '../plan/capacityprofile.js';
import { PRIORITY } from '../wire/users.js';
import { type IdleMachine, machineKindName, type ResourceDemand, type ShardStatus } from './shardstatus.js';

/** Lesser work elsewhere is stopped for urgent tasks only when they would wait longer than this, one machine at a time. */
const MIN_EVICTION_WAIT_S = 8;
/** A machine is reserved where urgent work waits at least so long, and so much longer than in the shard that reserves it. */
const MIN_RESERVATION_WAIT_S = 12;
const RESERVATION_WAIT_FACTOR = 1.25;
const RESERVATION_WAIT_MARGIN_S = 6;
const MIN_RESERVER_MACHINES = 3;

/**
 * From which shard to which a machine should go as its tasks end, where urgent work waits much longer in one than in
 * another: on full days no machine is ever empty, and shards would stay as they were parted.
 */
export function chooseReservation(
  told: readonly ShardStatus[],
  mostS: number,
): { from: number; to: number; need: ResourceDemand; zone: string } | null {
  let to: ShardStatus | null = null;
  for (const g of told) if (!to || g.urgentS > to.urgentS) to = g;
  const need = to?.needs.find((n) => n.priority >= PRIORITY.high);
  if (!to || !need || to.urgentS < MIN_RESERVATION_WAIT_S) return null;
  let from: ShardStatus | null = null;
  for (const g of told) {
    if (g.shard === to.shard || g.machines < MIN_RESERVER_MACHINES) continue;
    if (!from || g.urgentS < from.urgentS) from = g;
  }
  // Where urgent work waits long itself nothing is gained: when all wait equally long, all may miss their aims.
  if (
    !from ||
    from.urgentS > mostS ||
    from.urgentS * RESERVATION_WAIT_FACTOR + RESERVATION_WAIT_MARGIN_S > to.urgentS
  )
    return null;
  return { from: from.shard, to: to.shard, need, zone: to.zone };
}

export interface MachineTransfer {
  machine: string;
  from: number;
  to: number;
}

/** Which empty machines go to which shard: the most urgent and then earliest due need first. */
export function chooseTransfers(
  told: readonly ShardStatus[],
  sizeOf: (type: string) => { cpus: number; gpus: number; memoryGb: number },
): MachineTransfer[] {
  const needs: { shard: number; need: ResourceDemand }[] = told.flatMap((g) =>
    g.needs.map((need) => ({ shard: g.shard, need })),
  );
  needs.sort(
    (a, b) =>
      b.need.priority - a.need.priority ||
      Number(b.need.guaranteed) - Number(a.need.guaranteed) ||
      a.need.deadline - b.need.deadline,
  );
  const kinds = idleMachineKinds(told);
  const zones = new Map(told.map((g) => [g.shard, g.zone]));
  const moves: MachineTransfer[] = [];
  for (const { shard, need } of needs) {
    let left = need.count;
    const fitting = kinds
      .filter((k) => idleMachineFits(k.like, need) && fitCount(sizeOf(k.like.type), need, 1) > 0)
      // Machines with GPUs last for tasks that need none.
      .sort(
        (a, b) =>
          unneededGpus(a.like, need, sizeOf) - unneededGpus(b.like, need, sizeOf) ||
          Number(b.like.zone === zones.get(shard)) - Number(a.like.zone === zones.get(shard)),
      );
    // Its own first: they are already where the tasks are.
    for (const own of [true, false]) {
      for (const k of fitting) {
        const per = fitCount(sizeOf(k.like.type), need, need.count);
        for (const [from, ids] of k.byShard) {
          if ((from === shard) !== own) continue;
          while (left > 0 && ids.length > 0) {
            const machine = ids.shift()!;
            left -= per;
            if (!own) moves.push({ machine, from, to: shard });
          }
        }
      }
    }
  }
  return moves;
}

/** Empty machines by type, zone and whether they are spot ones: there are far fewer kinds than machines. */
function idleMachineKinds(
  told: readonly ShardStatus[],
): { like: IdleMachine; byShard: Map<number, string[]> }[] {
  const kinds = new Map<string, { like: IdleMachine; byShard: Map<number, string[]> }>();
  for (const g of told) {
    for (const s of g.spares) {
      const key = `${s.type} ${s.zone} ${s.spot}`;
      let kind = kinds.get(key);
      if (!kind) {
        kind = { like: s, byShard: new Map() };
        kinds.set(key, kind);
      }
      const ids = kind.byShard.get(g.shard);
      if (ids) ids.push(s.id);
      else kind.byShard.set(g.shard, [s.id]);
    }
  }
  return [...kinds.values()];
}

/** A machine with nothing but lesser work, for the most urgent tasks that would wait long in their own shard. */
export function chooseEviction(
  told: readonly ShardStatus[],
  sizeOf: (type: string) => { cpus: number; gpus: number; memoryGb: number },
): (MachineTransfer & { priority: number }) | null {
  const needs = told
    .flatMap((g) => g.needs.map((need) => ({ shard: g.shard, need })))
    .filter((n) => n.need.priority >= PRIORITY.high && n.need.waitS > MIN_EVICTION_WAIT_S)
    .sort((a, b) => b.need.priority - a.need.priority || a.need.deadline - b.need.deadline);
  for (const { shard, need } of needs) {
    const soft = told
      .filter((g) => g.shard !== shard)
      .flatMap((g) => g.soft.map((s) => ({ shard: g.shard, s })))
      .filter(
        (x) =>
          x.s.top < need.priority && idleMachineFits(x.s, need) && fitCount(sizeOf(x.s.type), need, 1) > 0,
      )
      .sort((a, b) => a.s.top - b.s.top || unneededGpus(a.s, need, sizeOf) - unneededGpus(b.s, need, sizeOf));
    const first = soft[0];
    if (first) return { machine: first.s.id, from: first.shard, to: shard, priority: need.priority };
  }
  return null;
}

function unneededGpus(
  s: IdleMachine,
  need: ResourceDemand,
  sizeOf: (type: string) => { gpus: number },
): number {
  return need.gpus === 0 ? sizeOf(s.type).gpus : 0;
}

function idleMachineFits(s: IdleMachine, need: ResourceDemand): boolean {
  return (
    (!need.types || need.types.includes(s.type)) &&
    (need.zone === null || need.zone === s.zone) &&
    (need.spot || !s.spot) &&
    (!need.kinds || need.kinds.includes(machineKindName(s.type, s.zone, s.spot)))
  );
}

/** A shard as it is weighed for a machine of some type in some zone. */
export interface ShardCandidate {
  /** What its teams are guaranteed. */
  weight: number;
  /** Its machines of this type, and those of them in the machine's zone. */
  machines: number;
  machinesInZone: number;
  /** At home in the machine's zone. */
  isHomeZone: boolean;
}

/**
 * The shard with the fewest machines of a type for what its teams are guaranteed. Shards at home in the machine's zone
 * come first up to their fair part: between zones that cannot reach each other a machine loses all its tasks, since no
 * node that it reaches may answer it.
 */
export function shardFor(shards: readonly ShardCandidate[], unassigned: number): number {
  const all = shards.reduce((sum, s) => sum + s.machines, unassigned);
  const weights = shards.reduce((sum, s) => sum + s.weight, 0);
  const first = (s: ShardCandidate) => s.isHomeZone && s.machines < (all * s.weight) / weights;
  const need = (s: ShardCandidate) => (s.machines + 0.001 * s.machinesInZone + 0.5) / s.weight;
  let best = 0;
  shards.forEach((s, i) => {
    const b = shards[best]!;
    if (first(s) !== first(b) ? first(s) : need(s) < need(b)) best = i;
  });
  return best;
}
