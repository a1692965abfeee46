import { type Amounts, fitCount } from '../plan/capacityprofile.js';
import { PRIORITY } from '../wire/users.js';
import { type IdleMachine, machineKindName, type ResourceDemand, type ShardStatus } from './shardstatus.js';

/** Which machines go from one shard to another: pure decisions of the leader by what the owners told it. */

/** Lower-priority tasks elsewhere are stopped for urgent ones only when those would wait longer than this, one machine at a time. */
const MIN_EVICTION_WAIT_S = 8;
/** A machine is reserved where urgent work waits at least so long, and so much longer than in the shard that reserves it. */
const MIN_RESERVATION_WAIT_S = 12;
const RESERVATION_WAIT_FACTOR = 1.25;
const RESERVATION_WAIT_MARGIN_S = 6;
const MIN_RESERVER_MACHINES = 3;

/** What a machine of a type has. */
export type SizeOfType = (type: string) => Amounts;

/** A machine that is to be reserved in one shard for another's demand. */
export interface ReservationChoice {
  /** The shard that reserves one of its machines. */
  readonly from: number;
  /** The shard that it is for. */
  readonly to: number;
  readonly need: ResourceDemand;
  /** Where the owner of that shard is. */
  readonly zone: string;
}

/** A machine that is to go from one shard to another. */
export interface MachineTransfer {
  readonly machine: string;
  readonly from: number;
  readonly to: number;
}

/** A machine that is to be emptied of all below a priority, and then to go to another shard. */
export interface MachineEviction extends MachineTransfer {
  readonly priority: number;
}

/** A shard as it is weighed for a machine of some type in some zone. */
export interface ShardCandidate {
  /** What its teams are guaranteed. */
  readonly weight: number;
  /** Its machines of this type, and those of them in the machine's zone. */
  readonly machines: number;
  readonly machinesInZone: number;
  /** At home in the machine's zone. */
  readonly isHomeZone: boolean;
}

/** A demand, and the shard that has it. */
interface ShardDemand {
  readonly shard: number;
  readonly need: ResourceDemand;
}

/** Empty machines of one type and zone that are all spot ones or none of them, by the shard that has them. */
interface IdleKind {
  readonly example: IdleMachine;
  readonly idsByShard: Map<number, string[]>;
}

/**
 * From which shard to which a machine should go as its tasks end, where urgent work waits much longer in one than in
 * another: on full days no machine is ever empty, and shards would stay as they were partitioned. A shard where urgent work
 * waits more than `maxUrgentS` reserves none.
 */
export function chooseReservation(
  statuses: readonly ShardStatus[],
  maxUrgentS: number,
): ReservationChoice | null {
  let to: ShardStatus | null = null;
  for (const s of statuses) if (!to || s.urgentS > to.urgentS) to = s;
  const need = to?.demands.find((n) => n.priority >= PRIORITY.high);
  if (!to || !need || to.urgentS < MIN_RESERVATION_WAIT_S) return null;
  let from: ShardStatus | null = null;
  for (const s of statuses) {
    if (s.shard === to.shard || s.machines < MIN_RESERVER_MACHINES) continue;
    if (!from || s.urgentS < from.urgentS) from = s;
  }
  // Where urgent work waits long itself nothing is gained: when all wait equally long, all may miss their objectives.
  if (
    !from ||
    from.urgentS > maxUrgentS ||
    from.urgentS * RESERVATION_WAIT_FACTOR + RESERVATION_WAIT_MARGIN_S > to.urgentS
  )
    return null;
  return { from: from.shard, to: to.shard, need, zone: to.zone };
}

/** Which empty machines go to which shard: the most urgent and then earliest due demand first. */
export function chooseTransfers(statuses: readonly ShardStatus[], sizeOf: SizeOfType): MachineTransfer[] {
  const demands = shardDemands(statuses).sort(
    (a, b) =>
      b.need.priority - a.need.priority ||
      Number(b.need.guaranteed) - Number(a.need.guaranteed) ||
      a.need.deadline - b.need.deadline,
  );
  const kinds = idleMachineKinds(statuses);
  const zones = new Map(statuses.map((s) => [s.shard, s.zone]));
  const transfers: MachineTransfer[] = [];
  for (const { shard, need } of demands) {
    let left = need.count;
    const fitting = kinds
      .filter((k) => idleMachineFits(k.example, need) && fitCount(sizeOf(k.example.type), need, 1) > 0)
      // Machines with GPUs last for tasks that need none.
      .sort(
        (a, b) =>
          unneededGpus(a.example, need, sizeOf) - unneededGpus(b.example, need, sizeOf) ||
          Number(b.example.zone === zones.get(shard)) - Number(a.example.zone === zones.get(shard)),
      );
    // Its own first: they are already where the tasks are.
    for (const own of [true, false]) {
      for (const kind of fitting) {
        const tasksPerMachine = fitCount(sizeOf(kind.example.type), need, need.count);
        for (const [from, ids] of kind.idsByShard) {
          if ((from === shard) !== own) continue;
          while (left > 0 && ids.length > 0) {
            const machine = ids.shift()!;
            left -= tasksPerMachine;
            if (!own) transfers.push({ machine, from, to: shard });
          }
        }
      }
    }
  }
  return transfers;
}

/** A machine with nothing but lower-priority tasks, for the most urgent tasks that would wait long in their own shard. */
export function chooseEviction(statuses: readonly ShardStatus[], sizeOf: SizeOfType): MachineEviction | null {
  const demands = shardDemands(statuses)
    .filter((d) => d.need.priority >= PRIORITY.high && d.need.waitS > MIN_EVICTION_WAIT_S)
    .sort((a, b) => b.need.priority - a.need.priority || a.need.deadline - b.need.deadline);
  for (const { shard, need } of demands) {
    const [first] = statuses
      .filter((s) => s.shard !== shard)
      .flatMap((s) => s.preemptible.map((machine) => ({ shard: s.shard, machine })))
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
 * The shard with the fewest machines of a type for what its teams are guaranteed. Shards at home in the machine's zone
 * come first up to their fair share: between zones that cannot reach each other a machine loses all its tasks, since no
 * node that it reaches may answer it. `unassigned` is how many machines of the type no shard has yet.
 */
export function shardFor(shards: readonly ShardCandidate[], unassigned: number): number {
  const allMachines = shards.reduce((sum, s) => sum + s.machines, unassigned);
  const allWeights = shards.reduce((sum, s) => sum + s.weight, 0);
  const goesFirst = (s: ShardCandidate) => s.isHomeZone && s.machines < (allMachines * s.weight) / allWeights;
  const machinesPerWeight = (s: ShardCandidate) => (s.machines + 0.001 * s.machinesInZone + 0.5) / s.weight;
  let best = 0;
  shards.forEach((s, i) => {
    const b = shards[best]!;
    if (goesFirst(s) !== goesFirst(b) ? goesFirst(s) : machinesPerWeight(s) < machinesPerWeight(b)) best = i;
  });
  return best;
}

function shardDemands(statuses: readonly ShardStatus[]): ShardDemand[] {
  return statuses.flatMap((s) => s.demands.map((need) => ({ shard: s.shard, need })));
}

/** Empty machines by type, zone and whether they are spot ones: there are far fewer kinds than machines. */
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
