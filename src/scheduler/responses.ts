import { UnavailableError } from '../errors/errors.js';
import type { JobEntry } from '../jobs/job.js';
import type { JobStatus } from '../wire/users.js';
import type { DependencyStatus, DependentClaim } from './dependencymessages.js';

// Responses of a shard's owner about its jobs, and its requests to other shards.

/** Error text of an owner that has not loaded its shard yet, or may have lost it. */
export const NOT_READY = 'the shard is being taken over';

/** Thrown when no node that could decide for the shard can be reached now. */
export class OwnerUnavailableError extends UnavailableError {}

/** Status of a job, with the number of its completed tasks and of its tasks on machines. */
export interface JobStatusResponse {
  status: JobStatus;
  done: number;
  running: number;
}

/** Response to a submission. */
export type SubmitResponse =
  /** Accepted; cancelled at once when the job depends on a cancelled job. */
  | { kind: 'accepted'; cancelled?: boolean }
  /** The job had already been accepted. */
  | { kind: 'known'; status: JobStatus }
  /** Refused: the deadline cannot be met at present. */
  | { kind: 'refused'; retryS: number }
  /** Refused: the job depends on a job that was never accepted. */
  | { kind: 'never'; needs: string }
  /** The job cannot be stored at present. */
  | { kind: 'busy'; retryS: number };

/** Requests of a shard to the other shards. */
export interface PeerShards {
  /** Returns whether every node supports the features that the first protocol version lacked. */
  allSupportProtocolVersion(): boolean;
  /** Returns the location of a job, or how it ended; null when it was never accepted. */
  locate(id: string): Promise<JobEntry | null>;
  /** Reads the status of a job, and of all jobs it depends on, from the key-value store alone. */
  jobStatusFromStore(id: string): Promise<'active' | 'done' | 'cancelled' | 'unsure'>;
  /**
   * Asks the owner of `shard` about jobs, with the claims of the jobs of shard `from` that depend on them.
   */
  requestDependencyStatus(shard: number, from: number, claims: DependentClaim[]): Promise<DependencyStatus[]>;
  /** Notifies the owner of `shard` how a job ended that jobs of that shard depend on. */
  notifyDependencyEnded(shard: number, id: string, status: 'done' | 'cancelled'): void;
}
