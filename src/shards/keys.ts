import * as v from 'valibot';

/** The layout of the service's records in the state service. */
export const KEYS = {
  /** Everything that every node keeps a copy of. */
  cluster: 'c/',
  leader: 'c/lead',
  node: (name: string) => `c/node/${name}`,
  owner: (shard: number) => `c/own/${shard}`,
  machines: 'c/m/',
  machine: (id: string) => `c/m/${id}`,
  /** Questions to owners that cannot be reached directly, and their answers. */
  mail: 'c/mail/',
  teams: 'c/teams',
  types: 'c/types',
  /** How a job ended; never deleted. */
  job: (id: string) => `job/${id}`,
  /** Unfinished jobs of all shards, and their done tasks. */
  active: 'act/',
  activeJob: (id: string) => `act/${id}`,
  chunk: (id: string, chunk: number) => `act/${id}/${chunk}`,
};

const holder = v.object({
  node: v.string(),
  run: v.string(),
  lease: v.number(),
  /** In the key of a node: the workers cannot reach it, and it takes no shard. */
  aside: v.optional(v.boolean()),
});
export type Holder = v.InferOutput<typeof holder>;

export function readHolder(value: unknown): Holder | null {
  const p = v.safeParse(holder, value);
  return p.success ? p.output : null;
}

const machineRecord = v.object({
  shard: v.number(),
  addr: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  state: v.picklist(['use', 'leaving']),
  rentedAt: v.number(),
});
/** Which shard a machine belongs to. A machine that is `leaving` is given back and never used again. */
export type MachineRecord = v.InferOutput<typeof machineRecord>;

export function readMachineRecord(value: unknown): MachineRecord | null {
  const p = v.safeParse(machineRecord, value);
  return p.success ? p.output : null;
}

const teamsRecord = v.record(v.string(), v.number());

export function readTeams(value: unknown): Record<string, number> | null {
  const p = v.safeParse(teamsRecord, value);
  return p.success ? p.output : null;
}
