/**
 * Wire names of the messages between controllers. Some are older than the names in the code; they stay, because the
 * version in production uses them.
 */
export const PEER_OPS = {
  /** To the leader: the status of a shard, from its owner. */
  shardStatus: 'gossip',
  /** To the leader: a heartbeat has arrived from a machine without a record. */
  unregisteredMachine: 'stray',
  /** To all nodes: the sender owns a shard under a term. */
  ownerAnnouncement: 'owns',
  /**
   * To the owner of a machine's shard: the machine sent a heartbeat to the sender and was redirected to the owner.
   */
  redirected: 'sent',
  /** To an owner: transfer an idle machine to another shard. */
  transferMachine: 'give',
  /** To an owner: evict a machine's tasks for another shard's more urgent work. */
  evictForTransfer: 'vacate',
  /** To an owner: reserve a machine whose tasks end soon for another shard. */
  reserveForTransfer: 'cede',
  /** Between owners: query of the status of jobs on which the sender's jobs depend. */
  dependencyStatus: 'needed',
  /** Between owners: the final status of a job on which the receiver's jobs depend. */
  dependencyEnded: 'over',
  /** Users' requests, forwarded to the owner. */
  submit: 'submit',
  submitWithDependencies: 'submitAfter',
  status: 'status',
  cancel: 'cancel',
  list: 'list',
} as const;
