// Rules for the tasks on machines.
import type { TaskEvent } from '../emulator/tasks.js';
import type { JobSpec } from '../wire/users.js';
import { type CheckLimits, type ReportViolation, startKey, TOLERANCE_MS } from './history.js';

/** Difference below which two sums of CPUs or GPUs count as equal. */
export const ROUNDING_TOLERANCE = 1e-6;

interface RunningAttempt {
  machine: string;
  zone: string;
  attempt: number;
}

/** Checks starts and ends of tasks against quotas, placement, dependencies and cancellations. Pure. */
export function checkTasks(
  tasks: readonly TaskEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  doneAt: ReadonlyMap<string, number>,
  limits: CheckLimits,
  cancellations: ReadonlyMap<string, number>,
  report: ReportViolation,
): void {
  const attemptsByTask = new Map<string, Map<number, RunningAttempt[]>>();
  const usageByTeam = new Map<string, { cpus: number; gpus: number }>();
  for (const event of tasks) {
    const job = jobs.get(event.job);
    const task = `${event.job}/${event.index}`;
    if (!job) {
      if (event.kind === 'on') report('invented', event.at, `${task} runs, and nobody submitted it`);
      continue;
    }
    let attemptsOfJob = attemptsByTask.get(event.job);
    if (!attemptsOfJob) {
      attemptsOfJob = new Map();
      attemptsByTask.set(event.job, attemptsOfJob);
    }
    const attempts = attemptsOfJob.get(event.index) ?? [];
    attemptsOfJob.set(event.index, attempts);
    const used = usageByTeam.get(job.team) ?? { cpus: 0, gpus: 0 };
    usageByTeam.set(job.team, used);
    const sign = event.kind === 'on' ? 1 : -1;
    used.cpus += sign * job.cpus;
    used.gpus += sign * job.gpus;
    if (event.kind === 'off') {
      const i = attempts.findIndex((p) => p.machine === event.machine && p.attempt === event.attempt);
      if (i >= 0) attempts.splice(i, 1);
      const cancellationAt = cancellations.get(event.job);
      if (cancellationAt !== undefined && event.at > cancellationAt + limits.cancelS * 1000 + TOLERANCE_MS)
        report(
          'ran_cancelled',
          event.at,
          `${task} on ${event.machine} until ${Math.round((event.at - cancellationAt) / 1000)} s after its cancellation`,
        );
      continue;
    }
    const cancelledAt = cancellations.get(event.job);
    const orderedAt = limits.startSentAt?.get(startKey(event.machine, event.job, event.index, event.attempt));
    if (cancelledAt !== undefined && orderedAt !== undefined && orderedAt > cancelledAt)
      report(
        'started_cancelled',
        event.at,
        `${task} was told to start after its user was told that it is cancelled`,
      );
    const other = attempts.find((p) => p.machine !== event.machine);
    if (other)
      report('ran_twice', event.at, `${task} starts on ${event.machine} while it is on ${other.machine}`);
    attempts.push({ machine: event.machine, zone: event.zone, attempt: event.attempt });
    const team = limits.teams.find((t) => t.name === job.team);
    if (
      team &&
      ((team.cpusMax > 0 && used.cpus > team.cpusMax + ROUNDING_TOLERANCE) ||
        (team.gpusMax > 0 && used.gpus > team.gpusMax + ROUNDING_TOLERANCE))
    )
      report('quota', event.at, `team ${job.team} uses ${used.cpus} CPUs and ${used.gpus} GPUs with ${task}`);
    const problem = placementError(event, job, attemptsOfJob);
    if (problem) report('wrong_place', event.at, `${task} on ${event.machine}: ${problem}`);
    for (const id of job.after)
      if (!((doneAt.get(id) ?? Number.POSITIVE_INFINITY) <= event.at))
        report('too_early', event.at, `${task} starts before ${id} is done`);
  }
}

function placementError(
  event: TaskEvent,
  job: JobSpec,
  attemptsOfJob: ReadonlyMap<number, RunningAttempt[]>,
): string | null {
  if (job.types && !job.types.includes(event.type)) return `type ${event.type}`;
  if (job.zone !== null && job.zone !== event.zone) return `zone ${event.zone}`;
  if (event.spot && !job.spot) return 'a spot machine';
  if (!job.oneZone && !job.spread) return null;
  const zones = new Map<string, number>();
  for (const attempts of attemptsOfJob.values())
    for (const p of attempts) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
  if (job.oneZone && zones.size > 1) return 'two zones at once';
  const maxPerZone = Math.ceil(job.tasks / 2);
  return job.spread && zones.get(event.zone)! > maxPerZone ? 'more than half in one zone' : null;
}
