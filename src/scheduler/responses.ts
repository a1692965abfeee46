import { UnavailableError } from '../errors/errors.js';
import type { JobEntry } from '../jobs/job.js';
import type { JobStatus } from '../wire/users.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';

/** What an owner answers about its jobs, and what it needs of the other owners. */

/** What an owner says that has not taken its shard over yet, or may have lost it. */
export const NOT_READY = 'the shard is being taken over';

/** Nobody who could decide for the shard can be asked now. */
export class OwnerUnavailableError extends UnavailableError {}

export interface StatusAnswer {
  status: JobStatus;
  done: number;
  running: number;
}

export type SubmitAnswer =
  /** Cancelled at once when it names a job that was cancelled. */
  | { kind: 'accepted'; cancelled?: boolean }
  | { kind: 'known'; status: JobStatus }
  | { kind: 'refused'; retryS: number }
  /** It names a job that was never accepted. */
  | { kind: 'never'; needs: string }
  /** Cannot be stored at present. */
  | { kind: 'busy'; retryS: number };

/** What a shard needs of the other shards. */
export interface PeerShards {
  /** Whether every node understands what the first version did not. */
  allSupportLatest(): boolean;
  locate(id: string): Promise<JobEntry | null>;
  /** How a job stands by the state service alone, with all that it needs. */
  jobStatusFromStore(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  requestDependencyStatus(shard: number, from: number, claims: DependentClaim[]): Promise<DependencyStatus[]>;
  notifyDependencyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void;
}
