import type { OwnerLease, ReplicaState } from '../standby/standbylease.js';

/** A message under way between the owner and its standby. */
export type Message =
  | { kind: 'ask'; revision: number; run: number; sentAt: number; complete: boolean; started: boolean }
  | { kind: 'answer'; revision: number; sentAt: number; started: boolean }
  | { kind: 'release'; revision: number };

/** A conditional write on its way to the key-value store. */
export type Write = { kind: 'claim' | 'evict'; revision: number };

/** A state of the model. */
export interface State {
  t: number;
  ownerLease: OwnerLease;
  /** Revision under which the owner has named its standby; 0: it has none. */
  namedRevision: number;
  /** The owner acts no more, for good. */
  stopped: boolean;
  replicaState: ReplicaState | null;
  incarnation: number;
  namedIncarnation: number;
  /** The mark that ends the snapshot has been sent to the standby that is named. */
  snapshotSent: boolean;
  /** Whether the standby's replica is in sync, and whether it knows of the one task's start. */
  inSync: boolean;
  knowsStart: boolean;
  messages: Message[];
  writes: Write[];
  /** The key-value store: whose the shard is, and the revision of the key that names the standby. */
  shardOwner: 'owner' | 'standby' | 'nobody';
  standbyRevision: number;
  namings: number;
  /** The task's start by the owner: announced, its order under way, running on the machine. */
  order: 'none' | 'announced' | 'sent' | 'runs';
  startAcknowledged: boolean;
  /** The machine has seen the token of the standby's term; it reports it from then on. */
  tokenSeen: boolean;
  /** Reports of the machine under way: what each shows, in the order in which they were made. */
  reports: { seq: number; tokened: boolean; there: boolean }[];
  reportsMade: number;
  /** Sequence number of the newest report that the standby knows, and whether one under the new token was among them. */
  latestReport: number;
  reportedUnderToken: boolean;
  /** That report showed the task. */
  taskReported: boolean;
  startedAgain: boolean;
}
