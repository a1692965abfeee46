import type { ControllerContext } from '../context/context.js';
import { jobStatusFromStore } from '../jobs/jobstatus.js';
import type { PeerShards } from '../scheduler/responses.js';
import type { OwnerClient } from './ownerclient.js';
import type { Routing } from './routing.js';

/** Returns the access of this node's shards to other shards, whichever nodes own those. */
export function peerShards(
  context: ControllerContext,
  ownerClient: OwnerClient,
  routing: Routing,
): PeerShards {
  return {
    allSupportProtocolVersion: () => ownerClient.allSupportProtocolVersion,
    locate: (id) => routing.locate(id),
    jobStatusFromStore: (id) => jobStatusFromStore(context.store, id),
    requestDependencyStatus: (shard, from, claims) =>
      ownerClient.requestDependencyStatus(shard, from, claims),
    notifyDependencyEnded: (shard, id, status) => ownerClient.notifyDependencyEnded(shard, id, status),
  };
}
