import type { ReplicaSnapshot } from './shardreplica.js';

/**
 * What is checked before a shard's new owner decides (docs/standby.md). What the former owner told is a hint; each check
 * says by what it is confirmed, and what it is against. No decision waits for one that it does not need.
 */

/** A key of a former ownership, or a claim thought lost, must not be taken up: its tokens and attempts have been used. */
export function isFreshTerm(term: number, retiredTerms: ReadonlySet<number>): boolean {
  return !retiredTerms.has(term);
}

/**
 * Records are complete only when all changes up to the claim's revision are in them: until then an end or a cancellation that
 * the former owner told its user may be missing. After it no write of the former owner is applied any more.
 */
export function recordsComplete(readUpTo: number, term: number): boolean {
  return readUpTo >= term;
}

/** What counts for whether an owner may act. */
export interface ActingFacts {
  /** It acts no more, for good. */
  readonly stopped: boolean;
  /** Its lease with the key-value store lasts, by its clock. */
  readonly holdsLease: boolean;
  /** Its lease with its standby lasts, or none binds it. */
  readonly standbyLeaseCovers: boolean;
}

/** Whether an owner may act. Asked just before each step, so that a freeze or a drifting clock between two steps is found. */
export function mayAct(facts: ActingFacts): boolean {
  return !facts.stopped && facts.holdsLease && facts.standbyLeaseCovers;
}

/** What counts of a machine for whether tasks may be started on it. */
export interface MachineFacts {
  /** It has reported under the new token. */
  readonly reconciled: boolean;
  /** It is being given back, and is never used again. */
  readonly decommissioning: boolean;
  readonly leaseExpired: boolean;
  readonly mayHoldUnreportedTasks: boolean;
  /** Empty while it has not reported. */
  readonly addr: string;
  /** When the cloud takes it back, by its notice; null without one. */
  readonly reclaimAt: number | null;
}

/**
 * Whether tasks may be started on a machine. Only a report under the new token makes sure that no order of the former owner's can still be executed there; a machine
 * that is leaving or under notice is on its way to somebody else.
 */
export function machineUsable(m: MachineFacts): boolean {
  return (
    m.reconciled &&
    !m.decommissioning &&
    !m.leaseExpired &&
    !m.mayHoldUnreportedTasks &&
    m.addr !== '' &&
    m.reclaimAt === null
  );
}

/** Whether a job may start: not before all that it needs is durably done, and never what is about to be cancelled with one of those. */
export function dependenciesMet(job: {
  pendingDependencies: { size: number };
  cancelledByDependency: boolean;
}): boolean {
  return job.pendingDependencies.size === 0 && !job.cancelledByDependency;
}

/**
 * Whether a task that is not known to be anywhere is surely nowhere. A job accepted under this term was never started by
 * anybody else. Of others, every machine on which the former owner announced a start has to have reported under the new token
 * or to have surely lost its lease; without announcements, every machine of the shard.
 */
export function surelyNotRunning(
  job: { fresh: boolean; id: string },
  snapshot: ReplicaSnapshot | null,
  adopted: boolean,
  mayHoldTasks: (machine: string) => boolean,
): boolean {
  if (job.fresh || adopted) return true;
  const machines = snapshot?.machinesOf(job.id) ?? null;
  if (machines === null) return false;
  for (const m of machines) if (mayHoldTasks(m)) return false;
  return true;
}
