/** Jobs lent to partner clusters: who may run one, and whose answer counts. Pure functions; no I/O yet. */

/**
 * One job that may run at home or at a partner. Both clusters keep a durable record of it; every function here takes a
 * record as it is stored and says what is to be stored in its place, under the condition that it has not changed since,
 * before anything is sent, told or started. Times are of day, in milliseconds; each cluster's own is within `skewMs` of
 * the true one. docs/overflow.md has the argument why no task runs in two clusters and no answer changes.
 */
export interface LendingLimits {
  /** How long a lease lasts from its grant or renewal. */
  leaseMs: number;
  /** How far any cluster's time of day may be from the true one. */
  skewMs: number;
  /** Within which a cluster surely stops a task: its machine is reached, or its lease there is over. */
  stopMs: number;
}

/** How a job ended. */
export type Final = 'done' | 'cancelled';

/** The record of the cluster that accepted the job. */
export interface HomeRecord {
  /** Grows with each time that the job comes back: what is done under an earlier one counts no more. */
  epoch: number;
  lent: { partner: string; until: number } | null;
  final: Final | null;
}

/** The record of the cluster that it is lent to. */
export interface PartnerRecord {
  epoch: number;
  /** The lease, in the home cluster's time of day. */
  until: number;
  /** `returned`: never started, and never to be. `done`: all tasks are, and home is told until it acknowledges. */
  state: 'held' | 'started' | 'returned' | 'done';
}

/** What one side tells the other. */
export type LendingMessage =
  | { kind: 'lend'; epoch: number; until: number }
  | { kind: 'renew'; epoch: number }
  | { kind: 'granted'; epoch: number; until: number }
  | { kind: 'stop'; epoch: number }
  | { kind: 'recall'; epoch: number }
  | { kind: 'returned'; epoch: number }
  | { kind: 'done'; epoch: number }
  | { kind: 'acknowledged'; epoch: number };

/** What to store, if anything changes, and what to say after that. */
export interface Step<R> {
  record: R | null;
  say: LendingMessage | null;
}

const UNCHANGED = { record: null, say: null } as const;

/**
 * Whether settings hold together: without a word from the partner its tasks end with the lease, and that has to be within
 * the bound of a cancellation; and of the lease enough has to be left to run in, so that a late renewal stops nothing.
 */
export function leaseFits(limits: LendingLimits, cancelMs: number): boolean {
  const usableMs = limits.leaseMs - limits.skewMs - limits.stopMs;
  return limits.leaseMs + 2 * limits.skewMs <= cancelMs && usableMs >= limits.stopMs / 2;
}

// --- home

/** Whether tasks of the job may start at home. */
export function mayRunHome(record: HomeRecord): boolean {
  return record.lent === null && record.final === null;
}

/** Lends a job none of whose tasks is, or may be, on a machine here. */
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

/** The partner asks for more time. It is stored before it is granted: whoever takes over here must know of it. */
export function renew(
  record: HomeRecord,
  epoch: number,
  now: number,
  limits: LendingLimits,
): Step<HomeRecord> {
  if (!record.lent || record.final !== null || record.epoch !== epoch)
    return { record: null, say: { kind: 'stop', epoch } };
  // A lease that may be over is not made longer: the partner has stopped, or is about to.
  if (now >= record.lent.until) return UNCHANGED;
  const until = Math.max(record.lent.until, now + limits.leaseMs);
  return { record: { ...record, lent: { ...record.lent, until } }, say: { kind: 'granted', epoch, until } };
}

/** Takes a job back whose lease is surely over, by whichever clock. */
export function takeBack(record: HomeRecord, now: number, limits: LendingLimits): Step<HomeRecord> {
  if (!record.lent || record.final !== null || now <= record.lent.until + limits.skewMs) return UNCHANGED;
  return { record: { ...record, epoch: record.epoch + 1, lent: null }, say: null };
}

/** The partner has given the job back unstarted, for good. */
export function takeReturned(record: HomeRecord, epoch: number): Step<HomeRecord> {
  if (!record.lent || record.final !== null || record.epoch !== epoch) return UNCHANGED;
  return { record: { ...record, epoch: record.epoch + 1, lent: null }, say: null };
}

/** The partner says that the job is done. Only what was done under this epoch counts. */
export function takeDone(record: HomeRecord, epoch: number): Step<HomeRecord> {
  const say = { kind: 'acknowledged', epoch } as const;
  // What comes again, or too late, is acknowledged as well: there is nothing to keep it for.
  if (!record.lent || record.final !== null || record.epoch !== epoch) return { record: null, say };
  return { record: { ...record, final: 'done' }, say };
}

/** All tasks are done here. */
export function doneHome(record: HomeRecord): Step<HomeRecord> {
  return mayRunHome(record) ? { record: { ...record, final: 'done' }, say: null } : UNCHANGED;
}

/** Its user cancels it, wherever it is. From then on no lease of it is renewed. */
export function cancel(record: HomeRecord): Step<HomeRecord> {
  if (record.final !== null) return UNCHANGED;
  return {
    record: { ...record, final: 'cancelled' },
    say: record.lent ? { kind: 'stop', epoch: record.epoch } : null,
  };
}

// --- partner

/** Takes a job, unless its lease is nearly over or it was here under a later epoch. */
export function borrow(
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

/** Home has made the lease longer. */
export function extend(record: PartnerRecord, epoch: number, until: number): Step<PartnerRecord> {
  if (record.epoch !== epoch || until <= record.until || record.state === 'returned') return UNCHANGED;
  return { record: { ...record, until }, say: null };
}

/** Whether tasks may start here: they have to be stoppable before the lease is over by any clock. */
export function mayRunBorrowed(record: PartnerRecord, now: number, limits: LendingLimits): boolean {
  return record.state === 'started' && canStopBeforeExpiry(record.until, now, limits);
}

/** The first start is stored, so that a recall that comes with it is refused by whoever answers it. */
export function start(record: PartnerRecord, now: number, limits: LendingLimits): Step<PartnerRecord> {
  if (record.state !== 'held' || !canStopBeforeExpiry(record.until, now, limits)) return UNCHANGED;
  return { record: { ...record, state: 'started' }, say: null };
}

/** Whether all tasks have to be stopped now, whatever has been heard from home. */
export function mustStop(record: PartnerRecord, now: number, limits: LendingLimits): boolean {
  return !mayRunBorrowed(record, now, limits);
}

/** All tasks are done here. */
export function doneBorrowed(record: PartnerRecord): Step<PartnerRecord> {
  if (record.state !== 'started') return UNCHANGED;
  return { record: { ...record, state: 'done' }, say: { kind: 'done', epoch: record.epoch } };
}

/** Home would rather run it itself. */
export function giveBack(record: PartnerRecord, epoch: number): Step<PartnerRecord> {
  if (record.epoch !== epoch) return UNCHANGED;
  if (record.state === 'returned') return { record: null, say: { kind: 'returned', epoch } };
  if (record.state !== 'held') return UNCHANGED;
  return { record: { ...record, state: 'returned' }, say: { kind: 'returned', epoch } };
}

/** Home wants nothing of it any more. What is done is kept until home has acknowledged it. */
export function drop(record: PartnerRecord, epoch: number): Step<PartnerRecord> {
  if (record.epoch !== epoch || record.state === 'done') return UNCHANGED;
  return { record: { ...record, state: 'returned' }, say: null };
}
