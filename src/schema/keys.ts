/**
 * The keys in the key-value store. Each comment names the writer and the condition of the write; docs/design.md,
 * "Writes that come late", discusses them one by one. "At its term" means that the owner's or leader's key is still
 * at the revision at which it was claimed.
 */
export const KEYS = {
  /** Prefix of all keys that every node caches. */
  cluster: 'c/',
  /** The leader; claimed when absent, on the node's lease. */
  leader: 'c/lead',
  nodes: 'c/node/',
  /** The presence of a node; written by the node at the version read, on its lease. */
  node: (name: string) => `c/node/${name}`,
  owners: 'c/own/',
  /**
   * The owner of a shard; claimed when absent, on the node's lease, or by the shard's standby, which replaces the
   * owner's key at its term. The owner never rewrites it, because its revision is the term.
   */
  owner: (shard: number) => `c/own/${shard}`,
  /**
   * The standby of a shard, on the lease of the shard's owner. Written by the owner at its term, at the version read.
   */
  standby: (shard: number) => `c/stand/${shard}`,
  machines: 'c/m/',
  /**
   * The shard that a machine belongs to; written by the leader or the shard's owner at its term, when absent or at
   * the version read.
   */
  machine: (id: string) => `c/m/${id}`,
  /**
   * Requests to owners that cannot be reached directly, with their answers; written when absent, answered at the
   * version read.
   */
  requests: 'c/mail/',
  /** The shard that each team belongs to; written by the leader at its term, at the version read. */
  teams: 'c/teams',
  /** The remainder of a team assignment that is too long for one value. */
  moreTeams: (n: number) => `c/teams/${n}`,
  /**
   * The protocol version that a node last announced; kept while the node is away. Written by the node at the version
   * read.
   */
  protocolVersion: (name: string) => `c/speaks/${name}`,
  /** The first list of machine types that the cloud returned; written when absent. */
  machineTypes: 'c/types',
  /**
   * The final status of a job; never deleted. Written by the owner at its term, at the version of the job's record.
   */
  job: (id: string) => `job/${id}`,
  /** Prefix of the unfinished jobs of all shards, and of their completed tasks. */
  active: 'act/',
  /**
   * An accepted job; written by its owner, or by another node at the owner's term, when this key and `job/ID` are
   * absent.
   */
  activeJob: (id: string) => `act/${id}`,
  /**
   * A chunk of a job's completed tasks; written by the owner at its term, at the versions of the job's record and of
   * the chunk.
   */
  completionChunk: (id: string, chunk: number | string) => `act/${id}/${chunk}`,
  /**
   * A part of a job's description that is too long for one value; written at the owner's term, before the job's
   * record.
   */
  specPart: (id: string, tag: string, n: number) => `part/${id}/${tag}/${n}`,
  specParts: (id: string, tag: string) => `part/${id}/${tag}/`,
};
