import * as v from 'valibot';

/**
 * The messages in which owners report the status of their shards to the leader, so that it can move machines between
 * them. A `read…` function validates a received value and returns it under the names used in the code, or null if it
 * is invalid; a `write…` function returns the value to send.
 */

const wireMachine = v.object({
  id: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  images: v.array(v.string()),
});

const wireDemand = v.object({
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  spot: v.boolean(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  count: v.number(),
  priority: v.number(),
  guaranteed: v.boolean(),
  deadline: v.number(),
  waitS: v.number(),
  kinds: v.optional(v.array(v.string())),
});

const wireShardStatus = v.object({
  shard: v.number(),
  node: v.string(),
  zone: v.string(),
  urgentS: v.number(),
  machines: v.number(),
  spares: v.array(wireMachine),
  soft: v.array(v.object({ ...wireMachine.entries, top: v.number() })),
  needs: v.array(wireDemand),
});
type WireShardStatus = v.InferOutput<typeof wireShardStatus>;

/** A machine without tasks. */
export interface IdleMachine {
  readonly id: string;
  /** The name of the machine type. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Names of the images in the machine's cache. */
  readonly images: string[];
}

/** A machine all of whose tasks may be stopped for tasks of a higher priority. */
export interface PreemptibleMachine extends IdleMachine {
  /** The highest priority among the machine's tasks. */
  readonly highestPriority: number;
}

/** Tasks of one job that are waiting for machines. The fields are sent under these names. */
export interface ResourceDemand {
  /** Names of the suitable machine types; null for all types. */
  readonly types: string[] | null;
  /** The zone that the tasks are bound to; null for any zone. */
  readonly zone: string | null;
  /** Whether spot machines are suitable. */
  readonly spot: boolean;
  /** The resources that one task takes. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Number of waiting tasks. */
  readonly count: number;
  readonly priority: number;
  /** Whether the demand is within what its team is guaranteed. */
  readonly guaranteed: boolean;
  /** The job's deadline as wall-clock time in milliseconds. */
  readonly deadline: number;
  /** How long the tasks would wait in their own shard, in seconds. */
  readonly waitS: number;
  /** The only suitable kinds of machine (`machineKindName`), if type, zone and spot alone do not determine them. */
  readonly kinds?: string[] | undefined;
}

/** The status of one shard. */
export interface ShardStatus {
  readonly shard: number;
  /** The owner's node. */
  readonly node: string;
  /** The zone of the owner. */
  readonly zone: string;
  /** The time that all of the shard's machines together would need for the waiting urgent work, in seconds. */
  readonly urgentS: number;
  /** Number of machines in the shard. */
  readonly machines: number;
  readonly idleMachines: IdleMachine[];
  /** Machines with only tasks of lower priority, which may be stopped. */
  readonly preemptible: PreemptibleMachine[];
  /** The waiting demands, most urgent first. */
  readonly demands: ResourceDemand[];
}

/** Returns the name of a kind of machine in messages between nodes. */
export function machineKindName(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;
}

/** Reads a received shard status; returns null if the value is not one. */
export function readShardStatus(value: unknown): ShardStatus | null {
  const parsed = v.safeParse(wireShardStatus, value);
  if (!parsed.success) return null;
  const { spares, soft, needs, ...rest } = parsed.output;
  return {
    ...rest,
    idleMachines: spares,
    preemptible: soft.map(({ top, ...machine }) => ({ ...machine, highestPriority: top })),
    demands: needs,
  };
}

/** Returns a shard status in the form in which it is sent; the order of the fields determines the bytes sent. */
export function writeShardStatus(status: ShardStatus): WireShardStatus {
  return {
    shard: status.shard,
    node: status.node,
    zone: status.zone,
    urgentS: status.urgentS,
    machines: status.machines,
    spares: status.idleMachines,
    soft: status.preemptible.map(({ highestPriority, ...machine }) => ({ ...machine, top: highestPriority })),
    needs: status.demands,
  };
}

/** Reads a received demand; returns null if the value is not one. */
export function readResourceDemand(value: unknown): ResourceDemand | null {
  const parsed = v.safeParse(wireDemand, value);
  return parsed.success ? parsed.output : null;
}
