// Detects jobs that wait although machines have the capacity for them.
import type { JobSpec } from '../wire/users.js';
import type { Violation } from './history.js';
import { ROUNDING_TOLERANCE } from './taskrules.js';

/** Free capacity of a machine, and the properties of the machine. */
export interface FreeCapacity {
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Job with open tasks, none of them on a machine, and with no open dependency. */
export interface WaitingJob {
  spec: JobSpec;
  /** CPUs that its team may still use (`quotaGpusLeft`: GPUs); null without a limit. */
  quotaCpusLeft: number | null;
  quotaGpusLeft: number | null;
}

const STARVED_AFTER_MS = 90_000;

/**
 * Detects jobs that keep waiting although machines have the capacity for them and all faults have ended. Reports each
 * job only once.
 */
export class StarvationCheck {
  private readonly fittingSince = new Map<string, number>();
  private readonly reported = new Set<string>();

  /** Returns the newly starved jobs; `at` is in milliseconds. Must be called at least once a second. */
  observe(at: number, machines: readonly FreeCapacity[], waiting: readonly WaitingJob[]): Violation[] {
    const violations: Violation[] = [];
    const fittingIds = new Set(waiting.filter((w) => fitsNow(w, machines)).map((w) => w.spec.id));
    for (const id of [...this.fittingSince.keys()]) if (!fittingIds.has(id)) this.fittingSince.delete(id);
    for (const id of fittingIds) {
      const since = this.fittingSince.get(id) ?? at;
      this.fittingSince.set(id, since);
      if (at - since <= STARVED_AFTER_MS || this.reported.has(id)) continue;
      this.reported.add(id);
      violations.push({
        rule: 'left_waiting',
        at,
        what: `${id} waits although there has been room for it since ${since}`,
      });
    }
    return violations;
  }
}

/** Returns whether a task of an array, or a whole gang or service, fits on the machines and its team's limit now. */
function fitsNow(
  { spec, quotaCpusLeft, quotaGpusLeft }: WaitingJob,
  machines: readonly FreeCapacity[],
): boolean {
  const tasks = spec.kind === 'array' ? 1 : spec.tasks;
  if (quotaCpusLeft !== null && tasks * spec.cpus > quotaCpusLeft + ROUNDING_TOLERANCE) return false;
  if (quotaGpusLeft !== null && tasks * spec.gpus > quotaGpusLeft + ROUNDING_TOLERANCE) return false;
  const fittingByZone = new Map<string, number>();
  for (const machine of machines) {
    if (spec.types && !spec.types.includes(machine.type)) continue;
    if ((spec.zone !== null && spec.zone !== machine.zone) || (machine.spot && !spec.spot)) continue;
    let copies = 0;
    while (copies < tasks && fits(spec, machine, copies + 1)) copies++;
    const zone = spec.oneZone ? machine.zone : '';
    fittingByZone.set(zone, (fittingByZone.get(zone) ?? 0) + copies);
  }
  return [...fittingByZone.values()].some((n) => n >= tasks);
}

function fits(spec: JobSpec, m: FreeCapacity, times: number): boolean {
  return (
    spec.cpus * times <= m.cpus + ROUNDING_TOLERANCE &&
    spec.gpus * times <= m.gpus + ROUNDING_TOLERANCE &&
    spec.memoryGb * times <= m.memoryGb + ROUNDING_TOLERANCE
  );
}
