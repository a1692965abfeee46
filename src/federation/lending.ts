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

const nothing = { record: null, say: null } as const;

/**
 * Whether settings hold together: without a word from the partner its tasks end with the lease, and that has to be within
 * the bound of a cancellation; and of the lease enough has to be left to run in, so that a late renewal stops nothing.
 */
export function leaseFits(limits: LendingLimits, cancelMs: number): boolean {
  const runs = limits.leaseMs - limits.skewMs - limits.stopMs;
  return limits.leaseMs + 2 * limits.skewMs <= cancelMs && runs >= limits.stopMs / 2;
}

// --- home

/** Whether tasks of the job may start at home. */
export function mayRunHome(r: HomeRecord): boolean {
  return r.lent === null && r.final === null;
}

/** Lends a job none of whose tasks is, or may be, on a machine here. */
export function lend(r: HomeRecord, partner: string, now: number, l: LendingLimits): Step<HomeRecord> {
  if (!mayRunHome(r)) return nothing;
  const until = now + l.leaseMs;
  return { record: { ...r, lent: { partner, until } }, say: { kind: 'lend', epoch: r.epoch, until } };
}

/** The partner asks for more time. It is stored before it is granted: whoever takes over here must know of it. */
export function renew(r: HomeRecord, epoch: number, now: number, l: LendingLimits): Step<HomeRecord> {
  if (!r.lent || r.final !== null || r.epoch !== epoch) return { record: null, say: { kind: 'stop', epoch } };
  // A lease that may be over is not made longer: the partner has stopped, or is about to.
  if (now >= r.lent.until) return nothing;
  const until = Math.max(r.lent.until, now + l.leaseMs);
  return { record: { ...r, lent: { ...r.lent, until } }, say: { kind: 'granted', epoch, until } };
}

/** Takes a job back whose lease is surely over, by whichever clock. */
export function takeBack(r: HomeRecord, now: number, l: LendingLimits): Step<HomeRecord> {
  if (!r.lent || r.final !== null || now <= r.lent.until + l.skewMs) return nothing;
  return { record: { ...r, epoch: r.epoch + 1, lent: null }, say: null };
}

/** The partner has given the job back unstarted, for good. */
export function takeReturned(r: HomeRecord, epoch: number): Step<HomeRecord> {
  if (!r.lent || r.final !== null || r.epoch !== epoch) return nothing;
  return { record: { ...r, epoch: r.epoch + 1, lent: null }, say: null };
}

/** The partner says that the job is done. Only what was done under this epoch counts. */
export function takeDone(r: HomeRecord, epoch: number): Step<HomeRecord> {
  const say = { kind: 'acknowledged', epoch } as const;
  // What comes again, or too late, is acknowledged as well: there is nothing to keep it for.
  if (!r.lent || r.final !== null || r.epoch !== epoch) return { record: null, say };
  return { record: { ...r, final: 'done' }, say };
}

/** All tasks are done here. */
export function doneHome(r: HomeRecord): Step<HomeRecord> {
  return mayRunHome(r) ? { record: { ...r, final: 'done' }, say: null } : nothing;
}

/** Its user cancels it, wherever it is. From then on no lease of it is renewed. */
export function cancel(r: HomeRecord): Step<HomeRecord> {
  if (r.final !== null) return nothing;
  return { record: { ...r, final: 'cancelled' }, say: r.lent ? { kind: 'stop', epoch: r.epoch } : null };
}

// --- partner

/** Takes a job, unless its lease is nearly over or it was here under a later epoch. */
export function borrow(
  r: PartnerRecord | null,
  epoch: number,
  until: number,
  now: number,
  l: LendingLimits,
): Step<PartnerRecord> {
  if (r && r.epoch >= epoch) return nothing;
  if (!timeToStart(until, now, l)) return nothing;
  return { record: { epoch, until, state: 'held' }, say: { kind: 'renew', epoch } };
}

function timeToStart(until: number, now: number, l: LendingLimits): boolean {
  return now + l.skewMs + l.stopMs < until;
}

/** Home has made the lease longer. */
export function extend(r: PartnerRecord, epoch: number, until: number): Step<PartnerRecord> {
  if (r.epoch !== epoch || until <= r.until || r.state === 'returned') return nothing;
  return { record: { ...r, until }, say: null };
}

/** Whether tasks may start here: they have to be stoppable before the lease is over by any clock. */
export function mayRunBorrowed(r: PartnerRecord, now: number, l: LendingLimits): boolean {
  return r.state === 'started' && timeToStart(r.until, now, l);
}

/** The first start is stored, so that a recall that comes with it is refused by whoever answers it. */
export function start(r: PartnerRecord, now: number, l: LendingLimits): Step<PartnerRecord> {
  if (r.state !== 'held' || !timeToStart(r.until, now, l)) return nothing;
  return { record: { ...r, state: 'started' }, say: null };
}

/** Whether all tasks have to be stopped now, whatever has been heard from home. */
export function mustStop(r: PartnerRecord, now: number, l: LendingLimits): boolean {
  return !mayRunBorrowed(r, now, l);
}

/** All tasks are done here. */
export function doneBorrowed(r: PartnerRecord): Step<PartnerRecord> {
  if (r.state !== 'started') return nothing;
  return { record: { ...r, state: 'done' }, say: { kind: 'done', epoch: r.epoch } };
}

/** Home would rather run it itself. */
export function giveBack(r: PartnerRecord, epoch: number): Step<PartnerRecord> {
  if (r.epoch !== epoch) return nothing;
  if (r.state === 'returned') return { record: null, say: { kind: 'returned', epoch } };
  if (r.state !== 'held') return nothing;
  return { record: { ...r, state: 'returned' }, say: { kind: 'returned', epoch } };
}

/** Home wants nothing of it any more. What is done is kept until home has acknowledged it. */
export function drop(r: PartnerRecord, epoch: number): Step<PartnerRecord> {
  if (r.epoch !== epoch || r.state === 'done') return nothing;
  return { record: { ...r, state: 'returned' }, say: null };
}
