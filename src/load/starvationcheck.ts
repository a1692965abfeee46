// Finds jobs that wait although machines have the capacity for them.
import type { JobSpec } from '../wire/users.js';
import type { Violation } from './history.js';
import { ROUNDING_TOLERANCE } from './taskrules.js';

/** What is free on a machine, and what kind it is. */
export interface FreeCapacity {
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A job of which no task is on a machine, though some are open and nothing that it needs is. */
export interface WaitingJob {
  spec: JobSpec;
  /** What its team may still use; null without a limit. */
  quotaCpusLeft: number | null;
  quotaGpusLeft: number | null;
}

const STARVED_AFTER_MS = 90_000;

/** Finds jobs that wait on although machines have the capacity for them, all troubles over: once for each. */
export class StarvationCheck {
  private readonly fittingSince = new Map<string, number>();
  private readonly reported = new Set<string>();

  /** `at` in milliseconds; to be called every second at least. */
  observe(at: number, machines: readonly FreeCapacity[], waiting: readonly WaitingJob[]): Violation[] {
    const found: Violation[] = [];
    const fit = new Set(waiting.filter((w) => fitsNow(w, machines)).map((w) => w.spec.id));
    for (const id of [...this.fittingSince.keys()]) if (!fit.has(id)) this.fittingSince.delete(id);
    for (const id of fit) {
      const since = this.fittingSince.get(id) ?? at;
      this.fittingSince.set(id, since);
      if (at - since <= STARVED_AFTER_MS || this.reported.has(id)) continue;
      this.reported.add(id);
      found.push({
        rule: 'left_waiting',
        at,
        what: `${id} waits although there has been room for it since ${since}`,
      });
    }
    return found;
  }
}

/** Whether a task of an array, or a whole gang or service, fits on machines now and into its team's limit. */
function fitsNow(
  { spec, quotaCpusLeft, quotaGpusLeft }: WaitingJob,
  machines: readonly FreeCapacity[],
): boolean {
  const tasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (quotaCpusLeft !== null && tasks * spec.cpus > quotaCpusLeft + ROUNDING_TOLERANCE) return false;
  if (quotaGpusLeft !== null && tasks * spec.gpus > quotaGpusLeft + ROUNDING_TOLERANCE) return false;
  const byZone = new Map<string, number>();
  for (const m of machines) {
    if (spec.types && !spec.types.includes(m.type)) continue;
    if ((spec.zone !== null && spec.zone !== m.zone) || (m.spot && !spec.spot)) continue;
    let n = 0;
    while (n < tasks && fits(spec, m, n + 1)) n++;
    const zone = spec.oneZone ? m.zone : '';
    byZone.set(zone, (byZone.get(zone) ?? 0) + n);
  }
  return [...byZone.values()].some((n) => n >= tasks);
}

function fits(spec: JobSpec, m: FreeCapacity, times: number): boolean {
  return (
    spec.cpus * times <= m.cpus + ROUNDING_TOLERANCE &&
    spec.gpus * times <= m.gpus + ROUNDING_TOLERANCE &&
    spec.memoryGb * times <= m.memoryGb + ROUNDING_TOLERANCE
  );
}
