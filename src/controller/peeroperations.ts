/**
 * Names of the messages between controllers, as they pass. Some are older than what the code calls them by now; the
 * version in production knows them by these.
 */
export const PEER_OPS = {
  /** To the leader: an owner reports its shard's status. */
  shardStatus: 'gossip',
  /** To the leader: a machine that no record names has reported. */
  unregisteredMachine: 'stray',
  /** To all nodes: a shard is the sender's, under a term. */
  ownerAnnouncement: 'owns',
  /** To the owner of a machine's shard: the machine reported to the sender and was redirected to the owner. */
  redirected: 'sent',
  /** To an owner, for another shard: an empty machine is to move there. */
  transferMachine: 'give',
  /** To an owner, for another shard's more urgent work: a machine is to be cleared. */
  evictForTransfer: 'vacate',
  /** To an owner, for another shard: a machine whose tasks end soon is to be promised to it. */
  reserveForTransfer: 'cede',
  /** Between owners: the status of jobs that jobs there depend on. */
  dependencyStatus: 'needed',
  /** Between owners: how a job ended that jobs there depend on. */
  dependencyEnded: 'over',
  /** Users' requests, forwarded to the owner. */
  submit: 'submit',
  submitWithDependencies: 'submitAfter',
  status: 'status',
  cancel: 'cancel',
  list: 'list',
} as const;
