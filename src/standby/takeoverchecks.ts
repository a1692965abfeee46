import type { ReplicaSnapshot } from './shardreplica.js';

/**
 * Checks that a shard's new owner makes before its decisions (docs/standby.md). State received from the former
 * owner is only a hint; each check states how the hint is confirmed and which failure it prevents. No decision
 * waits for a check that it does not need.
 */

/**
 * Whether a term is new. The key of a former ownership, or of a claim that was considered lost, must not be
 * reused, because its tokens and attempt numbers have been used.
 */
export function isFreshTerm(term: number, retiredTerms: ReadonlySet<number>): boolean {
  return !retiredTerms.has(term);
}

/**
 * Whether the job records include all changes up to the claim's revision. Until then an end or a cancellation
 * that the former owner confirmed to a user may be missing. After that revision no write of the former owner is
 * applied.
 */
export function recordsComplete(readUpTo: number, term: number): boolean {
  return readUpTo >= term;
}

/** Conditions for an owner to act. */
export interface OwnerActingConditions {
  /** The owner has permanently ceased to act. */
  readonly stopped: boolean;
  /** The owner's lease with the key-value store is valid according to its clock. */
  readonly holdsLease: boolean;
  /** The owner's lease with its standby is valid, or no standby is bound. */
  readonly standbyLeaseCovers: boolean;
}

/**
 * Whether an owner may act. Checked immediately before each step, so that a pause or a drifting clock between
 * two steps is detected.
 */
export function mayAct(conditions: OwnerActingConditions): boolean {
  return !conditions.stopped && conditions.holdsLease && conditions.standbyLeaseCovers;
}

/** Conditions for starting tasks on a machine. */
export interface MachineStartConditions {
  /** The machine has sent a heartbeat under the new token. */
  readonly reconciled: boolean;
  /** The machine is being returned and is never used again. */
  readonly decommissioning: boolean;
  readonly leaseExpired: boolean;
  readonly mayHoldUnreportedTasks: boolean;
  /** Address of the machine; empty until it has sent a heartbeat. */
  readonly addr: string;
  /** Time at which the cloud reclaims the machine according to its notice; null without a notice. */
  readonly reclaimAt: number | null;
}

/**
 * Whether tasks may be started on a machine. Only a heartbeat under the new token guarantees that no command of
 * the former owner can still be executed there. A machine that is being returned or has a reclaim notice is about
 * to leave the cluster.
 */
export function machineUsable(machine: MachineStartConditions): boolean {
  return (
    machine.reconciled &&
    !machine.decommissioning &&
    !machine.leaseExpired &&
    !machine.mayHoldUnreportedTasks &&
    machine.addr !== '' &&
    machine.reclaimAt === null
  );
}

/**
 * Whether the dependencies of a job allow it to start: all of them are durably done, and none was cancelled,
 * which would cancel this job as well.
 */
export function dependenciesMet(job: {
  pendingDependencies: { size: number };
  cancelledByDependency: boolean;
}): boolean {
  return job.pendingDependencies.size === 0 && !job.cancelledByDependency;
}

/**
 * Whether a task without a known placement is certain not to run anywhere. A job accepted under this term was
 * never started by another owner. For any other job, every machine on which the former owner announced a start
 * must have sent a heartbeat under the new token or must have certainly lost its lease; without announcements, this
 * applies to every machine of the shard.
 */
export function isConfirmedNotRunning(
  job: { fresh: boolean; id: string },
  snapshot: ReplicaSnapshot | null,
  allReconciled: boolean,
  mayHoldTasks: (machine: string) => boolean,
): boolean {
  if (job.fresh || allReconciled) return true;
  const machines = snapshot?.machinesOf(job.id) ?? null;
  if (machines === null) return false;
  for (const machine of machines) if (mayHoldTasks(machine)) return false;
  return true;
}
