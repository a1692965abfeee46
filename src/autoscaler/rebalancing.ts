import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import { PRIORITY } from '../wire/users.js';
import { type IdleMachine, machineKindName, type ResourceDemand, type ShardStatus } from './shardstatus.js';

/**
 * Decides which machines move between shards: pure functions that the leader applies to the statuses reported by
 * owners.
 */

/**
 * Lower-priority tasks in other shards are stopped, one machine at a time, only for urgent tasks that would wait
 * longer than this.
 */
const MIN_EVICTION_WAIT_S = 8;
/**
 * A machine is reserved only for a shard whose urgent work waits at least this long, and longer than the reserving
 * shard's by this factor and margin.
 */
const MIN_RESERVATION_WAIT_S = 12;
const RESERVATION_WAIT_FACTOR = 1.25;
const RESERVATION_WAIT_MARGIN_S = 6;
const MIN_RESERVER_MACHINES = 3;

/** Returns the resources of a machine of a type. */
export type SizeOfType = (type: string) => Amounts;

/** A reservation of a machine in one shard for the demand of another. */
export interface ReservationChoice {
  /** The shard that reserves one of its machines. */
  readonly from: number;
  /** The shard that the machine is reserved for. */
  readonly to: number;
  readonly need: ResourceDemand;
  /** The zone of the owner of the shard that the machine is for. */
  readonly zone: string;
}

/** A transfer of a machine from one shard to another. */
export interface MachineTransfer {
  readonly machine: string;
  readonly from: number;
  readonly to: number;
}

/** A transfer of a machine after all its tasks below a priority have been stopped. */
export interface MachineEviction extends MachineTransfer {
  readonly priority: number;
}

/** A shard as a candidate for a machine of one type in one zone. */
export interface ShardCandidate {
  /** The share that the shard's teams are guaranteed. */
  readonly weight: number;
  /** Number of the shard's machines of this type, and how many of them are in the machine's zone. */
  readonly machines: number;
  readonly machinesInZone: number;
  /** Whether the machine's zone is the zone of the shard's preferred node (its preferred zone). */
  readonly isPreferredZone: boolean;
}

/** A demand with the shard that reports it. */
interface ShardDemand {
  readonly shard: number;
  readonly need: ResourceDemand;
}

/** The idle machines of one type and zone that are either all spot machines or all not, by shard. */
interface IdleKind {
  readonly example: IdleMachine;
  readonly idsByShard: Map<number, string[]>;
}

/**
 * Chooses the shards between which a machine should move once its tasks end, if urgent work waits much longer in one
 * shard than in another. On a full day no machine is ever idle, and without reservations the partition between shards
 * would never change. A shard whose urgent work waits more than `maxUrgentS` reserves no machine.
 */
export function chooseReservation(
  statuses: readonly ShardStatus[],
  maxUrgentS: number,
): ReservationChoice | null {
  let to: ShardStatus | null = null;
  for (const status of statuses) if (!to || status.urgentS > to.urgentS) to = status;
  const need = to?.demands.find((n) => n.priority >= PRIORITY.high);
  if (!to || !need || to.urgentS < MIN_RESERVATION_WAIT_S) return null;
  let from: ShardStatus | null = null;
  for (const status of statuses) {
    if (status.shard === to.shard || status.machines < MIN_RESERVER_MACHINES) continue;
    if (!from || status.urgentS < from.urgentS) from = status;
  }
  // A reservation gains nothing if urgent work waits long in the reserving shard too: if all shards wait equally
  // long, all may miss their objectives.
  if (
    !from ||
    from.urgentS > maxUrgentS ||
    from.urgentS * RESERVATION_WAIT_FACTOR + RESERVATION_WAIT_MARGIN_S > to.urgentS
  )
    return null;
  return { from: from.shard, to: to.shard, need, zone: to.zone };
}

/**
 * Assigns idle machines to the shards' demands: by priority first, then guaranteed demands, then by deadline.
 */
export function chooseTransfers(statuses: readonly ShardStatus[], sizeOf: SizeOfType): MachineTransfer[] {
  const demands = shardDemands(statuses).sort(
    (a, b) =>
      b.need.priority - a.need.priority ||
      Number(b.need.guaranteed) - Number(a.need.guaranteed) ||
      a.need.deadline - b.need.deadline,
  );
  const kinds = idleMachineKinds(statuses);
  const zones = new Map(statuses.map((status) => [status.shard, status.zone]));
  const transfers: MachineTransfer[] = [];
  for (const { shard, need } of demands) {
    let remainingTasks = need.count;
    const fitting = kinds
      .filter((k) => idleMachineFits(k.example, need) && fitCount(sizeOf(k.example.type), need, 1) > 0)
      // Machines without unneeded GPUs come first, so that machines with GPUs remain for tasks that need them.
      .sort(
        (a, b) =>
          unneededGpus(a.example, need, sizeOf) - unneededGpus(b.example, need, sizeOf) ||
          Number(b.example.zone === zones.get(shard)) - Number(a.example.zone === zones.get(shard)),
      );
    // The shard's own machines come first, because they are already where the tasks are.
    for (const sameShard of [true, false]) {
      for (const kind of fitting) {
        const tasksPerMachine = fitCount(sizeOf(kind.example.type), need, need.count);
        for (const [from, ids] of kind.idsByShard) {
          if ((from === shard) !== sameShard) continue;
          while (remainingTasks > 0 && ids.length > 0) {
            const machine = ids.shift()!;
            remainingTasks -= tasksPerMachine;
            if (!sameShard) transfers.push({ machine, from, to: shard });
          }
        }
      }
    }
  }
  return transfers;
}

/**
 * Chooses a machine with only lower-priority tasks for the most urgent tasks that would wait too long in their own
 * shard.
 */
export function chooseEviction(statuses: readonly ShardStatus[], sizeOf: SizeOfType): MachineEviction | null {
  const demands = shardDemands(statuses)
    .filter((d) => d.need.priority >= PRIORITY.high && d.need.waitS > MIN_EVICTION_WAIT_S)
    .sort((a, b) => b.need.priority - a.need.priority || a.need.deadline - b.need.deadline);
  for (const { shard, need } of demands) {
    const [first] = statuses
      .filter((status) => status.shard !== shard)
      .flatMap((status) => status.preemptible.map((machine) => ({ shard: status.shard, machine })))
      .filter(
        ({ machine }) =>
          machine.highestPriority < need.priority &&
          idleMachineFits(machine, need) &&
          fitCount(sizeOf(machine.type), need, 1) > 0,
      )
      .sort(
        (a, b) =>
          a.machine.highestPriority - b.machine.highestPriority ||
          unneededGpus(a.machine, need, sizeOf) - unneededGpus(b.machine, need, sizeOf),
      );
    if (first) return { machine: first.machine.id, from: first.shard, to: shard, priority: need.priority };
  }
  return null;
}

/**
 * Returns the index of the shard that has the fewest machines of a type relative to what its teams are guaranteed.
 * Shards whose preferred zone is the machine's come first up to their fair share, because a machine whose zone cannot
 * reach its shard's zone loses all its tasks: no node that it reaches may answer it. `unassigned` is the number of
 * machines of the type that have no shard yet.
 */
export function shardFor(shards: readonly ShardCandidate[], unassigned: number): number {
  const allMachines = shards.reduce((sum, status) => sum + status.machines, unassigned);
  const allWeights = shards.reduce((sum, status) => sum + status.weight, 0);
  const isBelowFairShare = (status: ShardCandidate) =>
    status.isPreferredZone && status.machines < (allMachines * status.weight) / allWeights;
  const machinesPerWeight = (status: ShardCandidate) =>
    (status.machines + 0.001 * status.machinesInZone + 0.5) / status.weight;
  let best = 0;
  shards.forEach((status, i) => {
    const bestShard = shards[best]!;
    if (
      isBelowFairShare(status) !== isBelowFairShare(bestShard)
        ? isBelowFairShare(status)
        : machinesPerWeight(status) < machinesPerWeight(bestShard)
    )
      best = i;
  });
  return best;
}

function shardDemands(statuses: readonly ShardStatus[]): ShardDemand[] {
  return statuses.flatMap((status) => status.demands.map((need) => ({ shard: status.shard, need })));
}

/** Groups idle machines by type, zone and spot or not, because there are far fewer kinds than machines. */
function idleMachineKinds(statuses: readonly ShardStatus[]): IdleKind[] {
  const kinds = new Map<string, IdleKind>();
  for (const status of statuses) {
    for (const machine of status.idleMachines) {
      const key = `${machine.type} ${machine.zone} ${machine.spot}`;
      let kind = kinds.get(key);
      if (!kind) {
        kind = { example: machine, idsByShard: new Map() };
        kinds.set(key, kind);
      }
      const ids = kind.idsByShard.get(status.shard);
      if (ids) ids.push(machine.id);
      else kind.idsByShard.set(status.shard, [machine.id]);
    }
  }
  return [...kinds.values()];
}

function unneededGpus(machine: IdleMachine, need: ResourceDemand, sizeOf: SizeOfType): number {
  return need.gpus === 0 ? sizeOf(machine.type).gpus : 0;
}

function idleMachineFits(machine: IdleMachine, need: ResourceDemand): boolean {
  const { type, zone, spot } = machine;
  return (
    (!need.types || need.types.includes(type)) &&
    (need.zone === null || need.zone === zone) &&
    (need.spot || !spot) &&
    (!need.kinds || need.kinds.includes(machineKindName(type, zone, spot)))
  );
}
