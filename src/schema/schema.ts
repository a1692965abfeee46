// This package: the layout of the state service: keys, and the records that belong to no other package.
import * as v from 'valibot';

/** The layout of the service's records in the state service. */
export const KEYS = {
  /** Everything that every node keeps a copy of. */
  cluster: 'c/',
  leader: 'c/lead',
  nodes: 'c/node/',
  node: (name: string) => `c/node/${name}`,
  owners: 'c/own/',
  owner: (shard: number) => `c/own/${shard}`,
  /** Who stands by for a shard; on its owner's lease. */
  standby: (shard: number) => `c/stand/${shard}`,
  machines: 'c/m/',
  machine: (id: string) => `c/m/${id}`,
  /** Questions to owners that cannot be reached directly, and their answers. */
  requests: 'c/mail/',
  teams: 'c/teams',
  /** The rest of an assignment of teams that is too long for one value. */
  moreTeams: (n: number) => `c/teams/${n}`,
  /** What a node's newest version understands; stays when the node is away. */
  protocolVersion: (name: string) => `c/speaks/${name}`,
  machineTypes: 'c/types',
  /** How a job ended; never deleted. */
  job: (id: string) => `job/${id}`,
  /** Unfinished jobs of all shards, and their done tasks. */
  active: 'act/',
  activeJob: (id: string) => `act/${id}`,
  completionChunk: (id: string, chunk: number | string) => `act/${id}/${chunk}`,
  /** A piece of a job's description that is too long for one value. */
  specPart: (id: string, tag: string, n: number) => `part/${id}/${tag}/${n}`,
  specParts: (id: string, tag: string) => `part/${id}/${tag}/`,
};

/**
 * What a version understands of the others' records and messages. Level 2: jobs that wait for others, descriptions in
 * parts, done tasks whose layout the record states, partings of teams in several records. Nothing of a level is written
 * or sent before every node understands it: an older one would drop what it cannot read.
 */
export const PROTOCOL_VERSION = 2;
/** Jobs with match expressions as well; said only by nodes that serve them, which is up to their operators. */
export const MATCH_PROTOCOL_VERSION = 3;

/** A holder as it is stored; these names pass between versions. */
const storedLeaseHolder = v.object({
  node: v.string(),
  run: v.string(),
  lease: v.number(),
  aside: v.optional(v.boolean()),
  speaks: v.optional(v.number()),
  stands: v.optional(v.boolean()),
  feeds: v.optional(v.boolean()),
});
type StoredLeaseHolder = v.InferOutput<typeof storedLeaseHolder>;

/** Which node holds a key, and in the key of a node how it presents itself. */
export interface LeaseHolder {
  readonly node: string;
  /** Which run of the node's process: names that it uses are never used by another. */
  readonly incarnation: string;
  /** The lease in the key-value store that the key hangs on. */
  readonly leaseId: number;
  /** In the key of a node: the workers cannot reach it, and it takes no shard. */
  readonly cordoned?: boolean | undefined;
  /** In the key of a node: which version of records and messages it understands. The first version says nothing. */
  readonly protocolVersion?: number | undefined;
  /** In the key of a node: it can be the standby of shards (docs/standby.md). */
  readonly standbyCapable?: boolean | undefined;
  /** In the key of a node: it passes changes of the cluster's keys on to others (docs/changes.md). */
  readonly servesChanges?: boolean | undefined;
}

/** Reads a holder as it is stored; null when it is none. */
export function readLeaseHolder(value: unknown): LeaseHolder | null {
  const parsed = v.safeParse(storedLeaseHolder, value);
  if (!parsed.success) return null;
  const { node, run, lease, aside, speaks, stands, feeds } = parsed.output;
  return {
    node,
    incarnation: run,
    leaseId: lease,
    ...(speaks !== undefined && { protocolVersion: speaks }),
    ...(feeds !== undefined && { servesChanges: feeds }),
    ...(stands !== undefined && { standbyCapable: stands }),
    ...(aside !== undefined && { cordoned: aside }),
  };
}

/** A holder as it is stored. */
export function writeLeaseHolder(holder: LeaseHolder): StoredLeaseHolder {
  const { node, incarnation, leaseId, cordoned, protocolVersion, standbyCapable, servesChanges } = holder;
  return {
    node,
    run: incarnation,
    lease: leaseId,
    ...(protocolVersion !== undefined && { speaks: protocolVersion }),
    ...(servesChanges !== undefined && { feeds: servesChanges }),
    ...(standbyCapable !== undefined && { stands: standbyCapable }),
    ...(cordoned !== undefined && { aside: cordoned }),
  };
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

function readTeams(value: unknown): Record<string, number> | null {
  const p = v.safeParse(teamsRecord, value);
  return p.success ? p.output : null;
}

/** Which shard each team belongs to, from all records that hold it; null when teams have not been parted. */
export function readTeamAssignment(
  entries: ReadonlyMap<string, { value: unknown }>,
): Record<string, number> | null {
  const first = entries.get(KEYS.teams);
  let assignment = first ? readTeams(first.value) : null;
  for (let n = 1; assignment && entries.has(KEYS.moreTeams(n)); n++)
    assignment = { ...readTeams(entries.get(KEYS.moreTeams(n))!.value), ...assignment };
  return assignment;
}
