/**
 * The keys in the key-value store. Each says who writes it and under which condition (docs/design.md, "Writes that come
 * late", goes through them). "At its term" means that the owner's or leader's key is still at the revision at which it was
 * claimed.
 */
export const KEYS = {
  /** Everything that every node keeps a copy of. */
  cluster: 'c/',
  /** Who leads; claimed when absent, on the node's lease. */
  leader: 'c/lead',
  nodes: 'c/node/',
  /** How a node presents itself; written by the node at the version read, on its lease. */
  node: (name: string) => `c/node/${name}`,
  owners: 'c/own/',
  /**
   * Who owns a shard: claimed when absent, on the node's lease, or by the shard's standby in place of the owner's at its
   * term. Never rewritten by its owner: its revision is the term.
   */
  owner: (shard: number) => `c/own/${shard}`,
  /** Who stands by for a shard; on its owner's lease. Written by the owner at its term, at the version read. */
  standby: (shard: number) => `c/stand/${shard}`,
  machines: 'c/m/',
  /** In which shard a machine is: written by the leader or the shard's owner at its term, when absent or at the version read. */
  machine: (id: string) => `c/m/${id}`,
  /** Requests to owners that cannot be reached directly, and their answers: written when absent, answered at the version read. */
  requests: 'c/mail/',
  /** In which shard a team is; written by the leader at its term, at the version read. */
  teams: 'c/teams',
  /** The rest of an assignment of teams that is too long for one value. */
  moreTeams: (n: number) => `c/teams/${n}`,
  /** What a node's newest version understands; stays when the node is away. Written by the node at the version read. */
  protocolVersion: (name: string) => `c/speaks/${name}`,
  /** The machine types that the cloud told first; written when absent. */
  machineTypes: 'c/types',
  /** How a job ended; never deleted. Written by the owner at its term, at the version of the job's record. */
  job: (id: string) => `job/${id}`,
  /** Unfinished jobs of all shards, and their done tasks. */
  active: 'act/',
  /** An accepted job: written by its owner, or by another node at the owner's term, when it and `job/ID` are absent. */
  activeJob: (id: string) => `act/${id}`,
  /** Some of a job's done tasks; written by the owner at its term, at the versions of the job's record and of the chunk. */
  completionChunk: (id: string, chunk: number | string) => `act/${id}/${chunk}`,
  /** A piece of a job's description that is too long for one value; written at the owner's term, before the job's record. */
  specPart: (id: string, tag: string, n: number) => `part/${id}/${tag}/${n}`,
  specParts: (id: string, tag: string) => `part/${id}/${tag}/`,
};
