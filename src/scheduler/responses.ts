import { UnavailableError } from '../errors/errors.js';
import type { JobEntry } from '../jobs/job.js';
import type { JobStatus } from '../wire/users.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';

// What an owner answers about its jobs, and what it asks of the other shards.

/** The error text of an owner that has not loaded its shard yet, or may have lost it. */
export const NOT_READY = 'the shard is being taken over';

/** Nobody who could decide for the shard can be asked now. */
export class OwnerUnavailableError extends UnavailableError {}

/** The status of a job: how many of its tasks are done and how many are on machines. */
export interface StatusAnswer {
  status: JobStatus;
  done: number;
  running: number;
}

/** The answer to a submission. */
export type SubmitAnswer =
  /** Cancelled at once when it depends on a job that was cancelled. */
  | { kind: 'accepted'; cancelled?: boolean }
  /** It was accepted before. */
  | { kind: 'known'; status: JobStatus }
  /** Its deadline cannot be met at present. */
  | { kind: 'refused'; retryS: number }
  /** It depends on a job that was never accepted. */
  | { kind: 'never'; needs: string }
  /** Cannot be stored at present. */
  | { kind: 'busy'; retryS: number };

/** What a shard asks of the other shards. */
export interface PeerShards {
  /** Whether every node supports what the first version did not. */
  allSupportLatest(): boolean;
  /** Where a job is, or how it ended; null when it was never accepted. */
  locate(id: string): Promise<JobEntry | null>;
  /** The status of a job by the key-value store alone, with all that it depends on. */
  jobStatusFromStore(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  /** Asks the owner of `shard` about its jobs, with the claims of jobs of the shard `from` that depend on them. */
  requestDependencyStatus(shard: number, from: number, claims: DependentClaim[]): Promise<DependencyStatus[]>;
  /** Tells the owner of `shard` how a job ended that its jobs depend on. */
  notifyDependencyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void;
}
