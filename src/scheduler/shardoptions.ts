import type { ControllerContext } from '../context/context.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { PeerShards } from './responses.js';

/** How often a shard looks at what time alone decides, in milliseconds. */
export const TICK_INTERVAL_MS = 1000;

/** What a node owns a shard with. */
export interface ShardOptions {
  readonly context: ControllerContext;
  /** The shard's index among the shards of the cluster. */
  readonly index: number;
  /** The revision of the owner's key: fences off all that former owners do. */
  readonly term: number;
  /** Whether the lease under which the shard was claimed surely lasts, by the clock just now. */
  readonly leaseCovers: () => boolean;
  /** Called when a write has shown that the shard is another node's. */
  readonly onOwnershipLost: () => void;
  readonly peers: PeerShards;
  /** The owner's side of its standby; null without one. */
  readonly replicator: StandbyReplicator | null;
  /** What came from the former owner through the standby that this node was; null without it. */
  readonly takeover: TakeoverState | null;
}

/** What the parts of a shard ask of its lifecycle. */
export interface ShardLifecycle {
  /** Whether the shard is no longer this node's. */
  isStopped(): boolean;
  /** Whether jobs and machines have been read from the key-value store. */
  isLoaded(): boolean;
  /** Whether the shard is loaded and its owner may act. */
  isReady(): boolean;
  /** Whether this node surely owns the shard, by the clock just now. */
  mayAct(): boolean;
  /** Plans again soon. */
  requestPlan(): void;
  /** Stops the shard, which is another node's by now; returns the error to be thrown. */
  lostOwnership(): Error;
}
