// The rules that answers to users are held to.
import type { JobSpec } from '../wire/users.js';
import { type CheckLimits, type ReportViolation, TOLERANCE_MS, type UserEvent } from './history.js';

/** Holds what users were told against what they did and what became of their jobs; pure. */
export function checkUserEvents(
  userEvents: readonly UserEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  done: ReadonlyMap<string, number>,
  cancelled: ReadonlyMap<string, number>,
  limits: CheckLimits,
  broken: ReportViolation,
): void {
  // What was heard of each job first, and as which of the events.
  const accepted = new Map<string, number>();
  const final = new Map<string, { status: string; heard: number }>();
  const wanted = new Set<string>();
  for (const [i, e] of userEvents.entries()) {
    const spec = jobs.get(e.job);
    const asked = e.asked ?? i;
    if (e.unfit !== undefined) broken('accepted_unfit', e.at, `${e.job} was accepted: ${e.unfit}`);
    if (e.kind === 'cancel asked') wanted.add(e.job);
    if (e.kind === 'accepted' && !accepted.has(e.job)) accepted.set(e.job, i);
    if ((accepted.get(e.job) ?? asked) < asked && (e.kind === 'unknown' || e.kind === 'refused'))
      broken('forgotten', e.at, `${e.job} was accepted and is ${e.kind}`);
    const status = e.kind === 'cancelled' ? 'cancelled' : e.kind === 'told' ? e.status : undefined;
    if (status === undefined) continue;
    if (!spec) {
      broken('invented', e.at, `${e.job} is called ${status}, and nobody submitted it`);
      continue;
    }
    const over = status === 'done' || status === 'cancelled';
    const before = final.get(e.job);
    if (before && before.status !== status && (over || before.heard < asked))
      broken('went_back', e.at, `${e.job} was ${before.status} and is called ${status}`);
    const needed = spec.after.some((id) => cancelled.has(id) || wanted.has(id));
    if (status === 'cancelled' && !wanted.has(e.job) && !needed)
      broken('went_back', e.at, `${e.job} is called cancelled, and nobody asked for that`);
    if (status === 'done' && !((done.get(e.job) ?? Number.POSITIVE_INFINITY) <= e.at + TOLERANCE_MS))
      broken('not_done', e.at, `${e.job} is called done before all its tasks are`);
    if (over) {
      if (!before) final.set(e.job, { status, heard: i });
    } else
      for (const id of spec.after) {
        const at = cancelled.get(id);
        if (at !== undefined && e.at > at + limits.cancelS * 1000)
          broken('orphaned', e.at, `${e.job} is called ${status} long after ${id} was cancelled`);
      }
  }
}
