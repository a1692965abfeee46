import type { ControllerContext } from '../context/context.js';
import type { TakeoverState } from '../standby/standbyreplicas.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { PeerShards } from './responses.js';

/** Interval at which a shard checks everything that depends on time alone, in milliseconds. */
export const TICK_INTERVAL_MS = 1000;

/** Options with which a node creates a shard that it owns. */
export interface ShardOptions {
  readonly context: ControllerContext;
  /** Index among the shards of the cluster. */
  readonly index: number;
  /** Revision of the owner's key; the fencing token against all writes and commands of former owners. */
  readonly term: number;
  /**
   * Returns whether the lease under which the shard was claimed is certainly still valid, by the clock at the
   * moment of the call.
   */
  readonly leaseCovers: () => boolean;
  /** Called when a write has shown that another node owns the shard. */
  readonly onOwnershipLost: () => void;
  readonly peers: PeerShards;
  /** Replicator to the standby; null without a standby. */
  readonly replicator: StandbyReplicator | null;
  /** State replicated by the former owner while this node was its standby; null if it was not. */
  readonly takeover: TakeoverState | null;
}

/** Lifecycle of a shard as its components use it. */
export interface ShardLifecycle {
  /** Returns whether this node no longer owns the shard. */
  isStopped(): boolean;
  /** Returns whether jobs and machines have been read from the key-value store. */
  isLoaded(): boolean;
  /** Returns whether the shard is loaded and its owner may act. */
  isReady(): boolean;
  /** Returns whether this node certainly owns the shard, by the clock at the moment of the call. */
  mayAct(): boolean;
  /** Schedules a plan soon. */
  requestPlan(): void;
  /** Stops the shard, which another node owns by now; returns the error to throw. */
  onOwnershipLost(): Error;
}
