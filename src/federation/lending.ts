/**
 * Lending of jobs to partner clusters: which cluster may run a job, and whose result counts. Pure functions; no
 * I/O yet.
 */

/**
 * Time limits of lending. A job may run at its home cluster or at a partner, and both keep a durable record of
 * it. Every function here takes a record as it is stored and returns the record that replaces it. The caller
 * stores the new record on the condition that the old one has not changed since, and does so before it sends a
 * message, reports a result or starts a task. Times are wall-clock milliseconds; the wall clock of each cluster
 * is within `skewMs` of the true time. docs/overflow.md has the argument why no task runs in two clusters and
 * no answer changes.
 */
export interface LendingLimits {
  /** Duration of a lease from its grant or renewal. */
  leaseMs: number;
  /** Maximum deviation of any cluster's wall clock from the true time. */
  skewMs: number;
  /**
   * Time within which a cluster is certain to stop a task: its machine is reached, or the task's lease there
   * expires.
   */
  stopMs: number;
}

/** Outcome of a job. */
export type JobOutcome = 'done' | 'cancelled';

/** Record kept by the home cluster, which accepted the job. */
export interface HomeRecord {
  /** Incremented each time the job comes back; work done under an earlier epoch no longer counts. */
  epoch: number;
  lent: { partner: string; until: number } | null;
  final: JobOutcome | null;
}

/** Record kept by the partner cluster, to which the job is lent. */
export interface PartnerRecord {
  epoch: number;
  /** Expiry of the lease, by the wall clock of the home cluster. */
  until: number;
  /**
   * `returned`: returned unstarted, or stopped by the home cluster; no task starts any more. `done`: all tasks
   * are done, and the home cluster is notified until it acknowledges that.
   */
  state: 'held' | 'started' | 'returned' | 'done';
}

/** Messages between the two clusters. */
export type LendingMessage =
  | { kind: 'lend'; epoch: number; until: number }
  | { kind: 'renew'; epoch: number }
  | { kind: 'granted'; epoch: number; until: number }
  | { kind: 'stop'; epoch: number }
  | { kind: 'recall'; epoch: number }
  | { kind: 'returned'; epoch: number }
  | { kind: 'done'; epoch: number }
  | { kind: 'acknowledged'; epoch: number };

/** Result of a transition: the record to store, if it changes, and the message to send after that. */
export interface Step<R> {
  record: R | null;
  say: LendingMessage | null;
}

const UNCHANGED = { record: null, say: null } as const;

/**
 * Returns whether the settings are consistent. If the partner cannot be reached, its tasks end when the lease
 * expires, which must be within the time bound of a cancellation. The usable part of the lease must also be
 * long enough that a late renewal stops no task.
 */
export function areLimitsConsistent(limits: LendingLimits, cancelMs: number): boolean {
  const usableMs = limits.leaseMs - limits.skewMs - limits.stopMs;
  return limits.leaseMs + 2 * limits.skewMs <= cancelMs && usableMs >= limits.stopMs / 2;
}

// --- home cluster

/** Returns whether tasks of the job may start in the home cluster. */
export function mayRunHome(record: HomeRecord): boolean {
  return record.lent === null && record.final === null;
}

/** Lends a job. The caller ensures that none of its tasks is, or may be, on a machine of this cluster. */
export function lend(
  record: HomeRecord,
  partner: string,
  now: number,
  limits: LendingLimits,
): Step<HomeRecord> {
  if (!mayRunHome(record)) return UNCHANGED;
  const until = now + limits.leaseMs;
  return {
    record: { ...record, lent: { partner, until } },
    say: { kind: 'lend', epoch: record.epoch, until },
  };
}

/**
 * Handles the partner's request for a longer lease. The extension is stored before it is granted, because a
 * node that takes over here must know of it.
 */
export function renew(
  record: HomeRecord,
  epoch: number,
  now: number,
  limits: LendingLimits,
): Step<HomeRecord> {
  if (!record.lent || record.final !== null || record.epoch !== epoch)
    return { record: null, say: { kind: 'stop', epoch } };
  // A lease that may have expired is not extended: the partner has stopped the job, or is about to.
  if (now >= record.lent.until) return UNCHANGED;
  const until = Math.max(record.lent.until, now + limits.leaseMs);
  return { record: { ...record, lent: { ...record.lent, until } }, say: { kind: 'granted', epoch, until } };
}

/** Takes a job back once its lease has expired by every clock within the allowed skew. */
export function reclaimExpired(record: HomeRecord, now: number, limits: LendingLimits): Step<HomeRecord> {
  if (!record.lent || record.final !== null || now <= record.lent.until + limits.skewMs) return UNCHANGED;
  return { record: { ...record, epoch: record.epoch + 1, lent: null }, say: null };
}

/** Handles the partner's message that it has given the job back unstarted and will never start it. */
export function acceptReturn(record: HomeRecord, epoch: number): Step<HomeRecord> {
  if (!record.lent || record.final !== null || record.epoch !== epoch) return UNCHANGED;
  return { record: { ...record, epoch: record.epoch + 1, lent: null }, say: null };
}

/** Handles the partner's message that the job is done. Only work done under the current epoch counts. */
export function acceptCompletion(record: HomeRecord, epoch: number): Step<HomeRecord> {
  const say = { kind: 'acknowledged', epoch } as const;
  // A duplicate or late message is acknowledged as well: the partner has no reason to keep its record.
  if (!record.lent || record.final !== null || record.epoch !== epoch) return { record: null, say };
  return { record: { ...record, final: 'done' }, say };
}

/** Records that all tasks are done in the home cluster. */
export function completeAtHome(record: HomeRecord): Step<HomeRecord> {
  return mayRunHome(record) ? { record: { ...record, final: 'done' }, say: null } : UNCHANGED;
}

/** Cancels the job for its user, wherever it runs. Its leases are no longer renewed after that. */
export function cancel(record: HomeRecord): Step<HomeRecord> {
  if (record.final !== null) return UNCHANGED;
  return {
    record: { ...record, final: 'cancelled' },
    say: record.lent ? { kind: 'stop', epoch: record.epoch } : null,
  };
}

// --- partner cluster

/** Accepts a lent job, unless its lease is about to expire or the job was here under the same or a later epoch. */
export function acceptLoan(
  record: PartnerRecord | null,
  epoch: number,
  until: number,
  now: number,
  limits: LendingLimits,
): Step<PartnerRecord> {
  if (record && record.epoch >= epoch) return UNCHANGED;
  if (!canStopBeforeExpiry(until, now, limits)) return UNCHANGED;
  return { record: { epoch, until, state: 'held' }, say: { kind: 'renew', epoch } };
}

function canStopBeforeExpiry(until: number, now: number, limits: LendingLimits): boolean {
  return now + limits.skewMs + limits.stopMs < until;
}

/** Handles an extension of the lease by the home cluster. */
export function extend(record: PartnerRecord, epoch: number, until: number): Step<PartnerRecord> {
  if (record.epoch !== epoch || until <= record.until || record.state === 'returned') return UNCHANGED;
  return { record: { ...record, until }, say: null };
}

/** Returns whether tasks may start here: it must be possible to stop them before the lease expires by any clock. */
export function mayRunBorrowed(record: PartnerRecord, now: number, limits: LendingLimits): boolean {
  return record.state === 'started' && canStopBeforeExpiry(record.until, now, limits);
}

/** Stores the first start, so that a concurrent recall is refused by any node that answers it. */
export function start(record: PartnerRecord, now: number, limits: LendingLimits): Step<PartnerRecord> {
  if (record.state !== 'held' || !canStopBeforeExpiry(record.until, now, limits)) return UNCHANGED;
  return { record: { ...record, state: 'started' }, say: null };
}

/** Returns whether all tasks must be stopped now, regardless of messages from the home cluster. */
export function mustStop(record: PartnerRecord, now: number, limits: LendingLimits): boolean {
  return !mayRunBorrowed(record, now, limits);
}

/** Records that all tasks are done at the partner. */
export function completeAtPartner(record: PartnerRecord): Step<PartnerRecord> {
  if (record.state !== 'started') return UNCHANGED;
  return { record: { ...record, state: 'done' }, say: { kind: 'done', epoch: record.epoch } };
}

/** Handles a recall by the home cluster, which prefers to run the job itself; refused once the job has started here. */
export function handleRecall(record: PartnerRecord, epoch: number): Step<PartnerRecord> {
  if (record.epoch !== epoch) return UNCHANGED;
  if (record.state === 'returned') return { record: null, say: { kind: 'returned', epoch } };
  if (record.state !== 'held') return UNCHANGED;
  return { record: { ...record, state: 'returned' }, say: { kind: 'returned', epoch } };
}

/**
 * Handles a stop by the home cluster, which no longer wants the job. A completed job is kept until that cluster
 * has acknowledged it.
 */
export function handleStop(record: PartnerRecord, epoch: number): Step<PartnerRecord> {
  if (record.epoch !== epoch || record.state === 'done') return UNCHANGED;
  return { record: { ...record, state: 'returned' }, say: null };
}
