import type { OwnerLease, ReplicaState } from '../standby/standbylease.js';

/** Message in flight between the owner and its standby. */
export type Message =
  | {
      kind: 'ask';
      revision: number;
      incarnation: number;
      sentAt: number;
      complete: boolean;
      started: boolean;
    }
  | { kind: 'answer'; revision: number; sentAt: number; started: boolean }
  | { kind: 'release'; revision: number };

/** Conditional write in flight to the key-value store. */
export type Write = { kind: 'claim' | 'evict'; revision: number };

/** State of the model. */
export interface State {
  t: number;
  ownerLease: OwnerLease;
  /** Revision under which the owner has named its standby; 0 without a standby. */
  namedRevision: number;
  /** Whether the owner has permanently ceased to act. */
  stopped: boolean;
  replicaState: ReplicaState | null;
  incarnation: number;
  namedIncarnation: number;
  /** Whether the record that ends the snapshot has been sent to the named standby. */
  snapshotSent: boolean;
  /** Whether the standby's replica is in sync, and whether it contains the start of the task. */
  inSync: boolean;
  knowsStart: boolean;
  messages: Message[];
  writes: Write[];
  /** Key-value store: the owner of the shard, and the revision of the key that names the standby. */
  shardOwner: 'owner' | 'standby' | 'nobody';
  standbyRevision: number;
  namings: number;
  /** Start of the task by the owner: announced, order in flight, or running on the machine. */
  order: 'none' | 'announced' | 'sent' | 'runs';
  startAcknowledged: boolean;
  /**
   * Whether the machine has seen the token of the standby's term; its heartbeats contain the token from then on.
   */
  tokenSeen: boolean;
  /** Heartbeats of the machine in flight, in the order in which they were made. */
  reports: { seq: number; underToken: boolean; holdsTask: boolean }[];
  reportsMade: number;
  /**
   * Sequence number of the newest heartbeat that the standby has received, and whether it has received one
   * under the new token.
   */
  latestReport: number;
  reportedUnderToken: boolean;
  /** Whether that heartbeat contained the task. */
  taskReported: boolean;
  startedAgain: boolean;
}
