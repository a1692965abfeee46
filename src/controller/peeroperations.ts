/**
 * Names of the messages between controllers, as they pass. Some are older than what the code calls them by now; the
 * version in production knows them by these.
 */
export const PEER_OPS = {
  /** To the leader: what an owner tells of its shard. */
  shardStatus: 'gossip',
  /** To the leader: a machine that no record names has reported. */
  unregisteredMachine: 'stray',
  /** A shard is the sender's, under a term. */
  ownerAnnouncement: 'owns',
  /** A machine that reported to the sender was sent on to this node. */
  redirected: 'sent',
  /** To an owner, for another shard: an empty machine, one to be cleared, one whose tasks end soon. */
  transferMachine: 'give',
  evictForTransfer: 'vacate',
  reserveForTransfer: 'cede',
  /** Between owners: what a job there needs of one here; how such a job ended. */
  dependencyStatus: 'needed',
  dependencyEnded: 'over',
  /** Of users, passed on to the owner. */
  submit: 'submit',
  submitWithDependencies: 'submitAfter',
  status: 'status',
  cancel: 'cancel',
  list: 'list',
} as const;
