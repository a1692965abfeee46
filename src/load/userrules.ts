// Rules for the answers to users.
import type { JobSpec } from '../wire/users.js';
import { type CheckLimits, type ReportViolation, TOLERANCE_MS, type UserEvent } from './history.js';

/**
 * Checks the answers to users against the users' actions and the outcomes of their jobs. `done` and `cancelled` map
 * jobs to the times at which they were done or cancelled. Pure.
 */
export function checkUserEvents(
  userEvents: readonly UserEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  done: ReadonlyMap<string, number>,
  cancelled: ReadonlyMap<string, number>,
  limits: CheckLimits,
  report: ReportViolation,
): void {
  // First acceptance and first final status of each job, with the index of the event that reported it.
  const accepted = new Map<string, number>();
  const finalStatus = new Map<string, { status: string; eventIndex: number }>();
  const cancelRequested = new Set<string>();
  for (const [i, event] of userEvents.entries()) {
    const spec = jobs.get(event.job);
    const start = event.eventsBeforeRequest ?? i;
    if (event.unfit !== undefined)
      report('accepted_unfit', event.at, `${event.job} was accepted: ${event.unfit}`);
    if (event.kind === 'cancel asked') cancelRequested.add(event.job);
    if (event.kind === 'accepted' && !accepted.has(event.job)) accepted.set(event.job, i);
    if ((accepted.get(event.job) ?? start) < start && (event.kind === 'unknown' || event.kind === 'refused'))
      report('forgotten', event.at, `${event.job} was accepted and is ${event.kind}`);
    const status =
      event.kind === 'cancelled' ? 'cancelled' : event.kind === 'told' ? event.status : undefined;
    if (status === undefined) continue;
    if (!spec) {
      report('invented', event.at, `${event.job} is called ${status}, and nobody submitted it`);
      continue;
    }
    const isFinal = status === 'done' || status === 'cancelled';
    const previous = finalStatus.get(event.job);
    if (previous && previous.status !== status && (isFinal || previous.eventIndex < start))
      report('went_back', event.at, `${event.job} was ${previous.status} and is called ${status}`);
    const prerequisiteCancelled = spec.after.some((id) => cancelled.has(id) || cancelRequested.has(id));
    if (status === 'cancelled' && !cancelRequested.has(event.job) && !prerequisiteCancelled)
      report('went_back', event.at, `${event.job} is called cancelled, and nobody asked for that`);
    if (status === 'done' && !((done.get(event.job) ?? Number.POSITIVE_INFINITY) <= event.at + TOLERANCE_MS))
      report('not_done', event.at, `${event.job} is called done before all its tasks are`);
    if (isFinal) {
      if (!previous) finalStatus.set(event.job, { status, eventIndex: i });
    } else
      for (const id of spec.after) {
        const at = cancelled.get(id);
        if (at !== undefined && event.at > at + limits.cancelS * 1000)
          report('orphaned', event.at, `${event.job} is called ${status} long after ${id} was cancelled`);
      }
  }
}
