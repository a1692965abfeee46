import * as v from 'valibot';

/** What owners tell the leader about their shards. */
const spare = v.object({
  id: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  images: v.array(v.string()),
});

const need = v.object({
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  spot: v.boolean(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  count: v.number(),
  priority: v.number(),
  /** Within what its team is guaranteed. */
  guaranteed: v.boolean(),
  deadline: v.number(),
  waitS: v.number(),
  /** The only kinds of machine that serve (`kindName`), where type, zone and spot alone do not say. */
  kinds: v.optional(v.array(v.string())),
});

const gossip = v.object({
  shard: v.number(),
  node: v.string(),
  /** Where the owner is. */
  zone: v.string(),
  /** How long all of the shard's machines would take for the urgent work that waits. */
  urgentS: v.number(),
  machines: v.number(),
  spares: v.array(spare),
  /** Machines that hold nothing above a priority. */
  soft: v.array(v.object({ ...spare.entries, top: v.number() })),
  needs: v.array(need),
});

export type ShardStatus = v.InferOutput<typeof gossip>;
export type ResourceDemand = ShardStatus['needs'][number];
export type IdleMachine = ShardStatus['spares'][number];

/** A kind of machine in messages between nodes. */
export function machineKindName(type: string, zone: string, spot: boolean): string {
  return `${type} ${zone} ${spot ? 'spot' : 'ordinary'}`;
}

export function readShardStatus(value: unknown): ShardStatus | null {
  const p = v.safeParse(gossip, value);
  return p.success ? p.output : null;
}

export function readResourceDemand(value: unknown): ResourceDemand | null {
  const p = v.safeParse(need, value);
  return p.success ? p.output : null;
}
