import * as v from 'valibot';

/**
 * What owners tell the leader about their shards, so that it can move machines between them. `read…` checks what has come
 * and returns it by the names of the code, null when it is none; `write…` returns what is sent.
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

/** A machine that holds nothing. */
export interface IdleMachine {
  readonly id: string;
  /** Its machine type, by name. */
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  /** Images in its cache, by name. */
  readonly images: string[];
}

/** A machine whose tasks may all be stopped for tasks of a higher priority. */
export interface PreemptibleMachine extends IdleMachine {
  /** The highest priority of its tasks. */
  readonly highestPriority: number;
}

/** Tasks of one job that wait for machines. The same fields are sent. */
export interface ResourceDemand {
  /** The machine types that serve, by name; null: all. */
  readonly types: string[] | null;
  /** The zone that they are bound to; null: any. */
  readonly zone: string | null;
  /** Whether spot machines serve. */
  readonly spot: boolean;
  /** What one task takes. */
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** How many tasks wait. */
  readonly count: number;
  readonly priority: number;
  /** Within what its team is guaranteed. */
  readonly guaranteed: boolean;
  /** When the job is due, as a time of day in milliseconds. */
  readonly deadline: number;
  /** How long they would wait in their own shard, in seconds. */
  readonly waitS: number;
  /** The only kinds of machine that serve (`machineKindName`), where type, zone and spot alone do not say. */
  readonly kinds?: string[] | undefined;
}

/** How one shard stands. */
export interface ShardStatus {
  readonly shard: number;
  /** The owner's node. */
  readonly node: string;
  /** Where the owner is. */
  readonly zone: string;
  /** How long all of the shard's machines would take for the urgent work that waits, in seconds. */
  readonly urgentS: number;
  /** How many machines the shard has. */
  readonly machines: number;
  readonly idleMachines: IdleMachine[];
  /** Machines that hold nothing above a priority. */
  readonly preemptible: PreemptibleMachine[];
  /** What waits, the most urgent first. */
  readonly demands: ResourceDemand[];
}

/** A kind of machine in messages between nodes. */
export function machineKindName(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;
}

/** A shard's status that has come; null when it is none. */
export function readShardStatus(value: unknown): ShardStatus | null {
  const p = v.safeParse(wireShardStatus, value);
  if (!p.success) return null;
  const { spares, soft, needs, ...rest } = p.output;
  return {
    ...rest,
    idleMachines: spares,
    preemptible: soft.map(({ top, ...machine }) => ({ ...machine, highestPriority: top })),
    demands: needs,
  };
}

/** A shard's status as it is sent; the order of fields is that of their bytes. */
export function writeShardStatus(s: ShardStatus): WireShardStatus {
  return {
    shard: s.shard,
    node: s.node,
    zone: s.zone,
    urgentS: s.urgentS,
    machines: s.machines,
    spares: s.idleMachines,
    soft: s.preemptible.map(({ highestPriority, ...machine }) => ({ ...machine, top: highestPriority })),
    needs: s.demands,
  };
}

/** A demand that has come; null when it is none. */
export function readResourceDemand(value: unknown): ResourceDemand | null {
  const p = v.safeParse(wireDemand, value);
  return p.success ? p.output : null;
}
