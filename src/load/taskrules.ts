// The rules that tasks on machines are held to.
import type { TaskEvent } from '../emulator/tasks.js';
import type { JobSpec } from '../wire/users.js';
import { type CheckLimits, type ReportViolation, startKey, TOLERANCE_MS } from './history.js';

/** Sums of CPUs and GPUs that differ by less are equal. */
export const ROUNDING_TOLERANCE = 1e-6;

interface RunningAttempt {
  machine: string;
  zone: string;
  attempt: number;
}

/** Holds starts and ends of tasks against quotas, placement, dependencies and cancellations; pure. */
export function checkTasks(
  tasks: readonly TaskEvent[],
  jobs: ReadonlyMap<string, JobSpec>,
  done: ReadonlyMap<string, number>,
  limits: CheckLimits,
  cancelled: ReadonlyMap<string, number>,
  broken: ReportViolation,
): void {
  const held = new Map<string, Map<number, RunningAttempt[]>>();
  const usage = new Map<string, { cpus: number; gpus: number }>();
  for (const e of tasks) {
    const spec = jobs.get(e.job);
    const task = `${e.job}/${e.index}`;
    if (!spec) {
      if (e.kind === 'on') broken('invented', e.at, `${task} runs, and nobody submitted it`);
      continue;
    }
    let ofJob = held.get(e.job);
    if (!ofJob) {
      ofJob = new Map();
      held.set(e.job, ofJob);
    }
    const places = ofJob.get(e.index) ?? [];
    ofJob.set(e.index, places);
    const use = usage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    usage.set(spec.team, use);
    const sign = e.kind === 'on' ? 1 : -1;
    use.cpus += sign * spec.cpus;
    use.gpus += sign * spec.gpus;
    if (e.kind === 'off') {
      const i = places.findIndex((p) => p.machine === e.machine && p.attempt === e.attempt);
      if (i >= 0) places.splice(i, 1);
      const over = cancelled.get(e.job);
      if (over !== undefined && e.at > over + limits.cancelS * 1000 + TOLERANCE_MS)
        broken(
          'ran_cancelled',
          e.at,
          `${task} on ${e.machine} until ${Math.round((e.at - over) / 1000)} s after its cancellation`,
        );
      continue;
    }
    const cancelledAt = cancelled.get(e.job);
    const orderedAt = limits.startSentAt?.get(startKey(e.machine, e.job, e.index, e.attempt));
    if (cancelledAt !== undefined && orderedAt !== undefined && orderedAt > cancelledAt)
      broken(
        'started_cancelled',
        e.at,
        `${task} was told to start after its user was told that it is cancelled`,
      );
    const elsewhere = places.find((p) => p.machine !== e.machine);
    if (elsewhere)
      broken('ran_twice', e.at, `${task} starts on ${e.machine} while it is on ${elsewhere.machine}`);
    places.push({ machine: e.machine, zone: e.zone, attempt: e.attempt });
    const team = limits.teams.find((t) => t.name === spec.team);
    if (
      team &&
      ((team.cpusMax > 0 && use.cpus > team.cpusMax + ROUNDING_TOLERANCE) ||
        (team.gpusMax > 0 && use.gpus > team.gpusMax + ROUNDING_TOLERANCE))
    )
      broken('quota', e.at, `team ${spec.team} uses ${use.cpus} CPUs and ${use.gpus} GPUs with ${task}`);
    const wrong = placementError(e, spec, ofJob);
    if (wrong) broken('wrong_place', e.at, `${task} on ${e.machine}: ${wrong}`);
    for (const id of spec.after)
      if (!((done.get(id) ?? Number.POSITIVE_INFINITY) <= e.at))
        broken('too_early', e.at, `${task} starts before ${id} is done`);
  }
}

function placementError(
  e: TaskEvent,
  spec: JobSpec,
  ofJob: ReadonlyMap<number, RunningAttempt[]>,
): string | null {
  if (spec.types && !spec.types.includes(e.type)) return `type ${e.type}`;
  if (spec.zone !== null && spec.zone !== e.zone) return `zone ${e.zone}`;
  if (e.spot && !spec.spot) return 'a spot machine';
  if (!spec.oneZone && !spec.spread) return null;
  const zones = new Map<string, number>();
  for (const places of ofJob.values())
    for (const p of places) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
  if (spec.oneZone && zones.size > 1) return 'two zones at once';
  const most = Math.ceil(spec.tasks / 2);
  return spec.spread && zones.get(e.zone)! > most ? 'more than half in one zone' : null;
}
