import { existsSync } from 'node:fs';
import { totalmem } from 'node:os';
import { join } from 'node:path';
import { SettingsError } from '../config/settings.js';
import { STATE_FILE } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { MOST_CONTROLLERS, WORKER_PORTS } from '../emulator/ports.js';
import type { Scenario } from './scenario.js';

/** The size of a run. */
export interface Sizes {
  workers: number;
  controllers: number;
  teams: number;
  /** Task starts a second that are asked for at the peak. */
  startsPerSecond: number;
}

/** Memory of a hollow worker and of a controller process, generously, in bytes; a run takes half of the machine's at most. */
const WORKER_BYTES = 400 * 1024;
const CONTROLLER_BYTES = 200 * 1024 * 1024;
const MEMORY_SHARE = 0.5;
const MOST_TEAMS = 1000;
const MOST_STARTS = 1000;
/** Of all processors, what teams are guaranteed together, and the least that one may use. */
const GUARANTEED_SHARE = 0.6;
const LEAST_LIMIT_SHARE = 0.1;
const LIMIT_GUARANTEES = 3;

/** Fails with `SettingsError` when this machine cannot carry a run of such sizes. */
export function checkSizes(sizes: Sizes, memoryBytes = totalmem()): void {
  const bounds: [keyof Sizes, number, string][] = [
    ['workers', WORKER_PORTS, 'ports'],
    ['controllers', MOST_CONTROLLERS, 'ports'],
    ['teams', MOST_TEAMS, 'teams'],
    ['startsPerSecond', MOST_STARTS, 'what one process of hollow workers carries'],
  ];
  for (const [field, most, why] of bounds) {
    const n = sizes[field];
    if (!(n >= 1)) throw new SettingsError(`${field}: ${n} is below 1`);
    if (n > most) throw new SettingsError(`${field}: ${n} is above ${most} (${why})`);
  }
  const needed = sizes.workers * WORKER_BYTES + sizes.controllers * CONTROLLER_BYTES;
  const allowed = memoryBytes * MEMORY_SHARE;
  if (needed > allowed) {
    const gb = (bytes: number) => (bytes / 1024 ** 3).toFixed(1);
    throw new SettingsError(
      `controllers: ${gb(needed)} GiB needed, ${gb(allowed)} GiB allowed on this machine`,
    );
  }
}

/**
 * Fails with `SettingsError` when a directory holds the state of another run: the same seed makes the same names of jobs,
 * and the rules would be held against two jobs of one name.
 */
export function checkUnused(data: string | undefined): void {
  if (data !== undefined && existsSync(join(data, STATE_FILE)))
    throw new SettingsError(`data: ${data} holds the state of another run`);
}

/** A platform with so many workers, all up from the start, and so many equal teams. */
export function sizedPlatform(base: Platform, sizes: Sizes): Platform {
  const before = base.capacity.reduce((sum, c) => sum + c.count, 0);
  const upTo = (n: number) => Math.round((n * sizes.workers) / before);
  let seen = 0;
  const capacity = base.capacity.map((c) => {
    const count = upTo(seen + c.count) - upTo(seen);
    seen += c.count;
    return { ...c, count, up: count, spot: 0 };
  });
  const cpusOf = new Map(base.machine_types.map((t) => [t.name, t.cpus]));
  const cpus = capacity.reduce((sum, c) => sum + c.count * cpusOf.get(c.type)!, 0);
  const guaranteed = Math.floor((cpus * GUARANTEED_SHARE) / sizes.teams);
  const limit = Math.ceil(Math.max(cpus * LEAST_LIMIT_SHARE, guaranteed * LIMIT_GUARANTEES));
  const teams = Array.from({ length: sizes.teams }, (_, i) => ({
    name: `team-${i + 1}`,
    cpus: guaranteed,
    cpus_max: limit,
    gpus: 0,
    gpus_max: 0,
  }));
  return { ...base, capacity, teams };
}

/**
 * A scenario whose arrivals ask for so many task starts a second while all its classes arrive, and whose filling classes
 * hold their share of the workers. Fails with `SettingsError` when no class arrives.
 */
export function sizedScenario(base: Scenario, sizes: Sizes): Scenario {
  const mean = (counts: readonly number[]) => counts.reduce((sum, n) => sum + n, 0) / counts.length;
  const asked = base.classes.reduce((sum, c) => sum + (c.a_minute * mean(c.pieces)) / 60, 0);
  if (asked === 0) throw new SettingsError('classes: no class has a rate of arrivals (a_minute)');
  const factor = sizes.startsPerSecond / asked;
  const classes = base.classes.map((c) => {
    const filling = c.fills > 0 && c.at_start > 0;
    const pieces = filling ? [Math.max(1, Math.floor((c.fills * sizes.workers) / c.at_start))] : c.pieces;
    return { ...c, pieces, a_minute: c.a_minute * factor };
  });
  return { ...base, classes };
}
