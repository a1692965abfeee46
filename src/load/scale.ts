import { existsSync } from 'node:fs';
import { totalmem } from 'node:os';
import { join } from 'node:path';
import { SettingsError } from '../config/settings.js';
import { STATE_FILE } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { MAX_CONTROLLERS, WORKER_PORT_COUNT } from '../emulator/ports.js';
import type { Scenario } from './scenario.js';

/** Sizes of a run. */
export interface Sizes {
  workers: number;
  controllers: number;
  teams: number;
  /** Task starts per second that are requested at the peak. */
  startsPerSecond: number;
}

/**
 * Generous estimates of the memory of an emulated worker and of a controller process, in bytes. A run takes at most
 * half of the machine's memory.
 */
const BYTES_PER_WORKER = 400 * 1024;
const BYTES_PER_CONTROLLER = 200 * 1024 * 1024;
const MEMORY_SHARE = 0.5;
const MAX_TEAMS = 1000;
const MAX_STARTS_PER_SECOND = 1000;
/** Fractions of all CPUs: the guarantees of all teams together, and the minimum limit of one team. */
const GUARANTEED_SHARE = 0.6;
const MIN_LIMIT_SHARE = 0.1;
const LIMIT_TO_GUARANTEE_RATIO = 3;

/** Throws a `SettingsError` when this machine cannot carry a run of the given sizes. */
export function checkSizes(sizes: Sizes, memoryBytes = totalmem()): void {
  const bounds: [keyof Sizes, number, string][] = [
    ['workers', WORKER_PORT_COUNT, 'ports'],
    ['controllers', MAX_CONTROLLERS, 'ports'],
    ['teams', MAX_TEAMS, 'teams'],
    ['startsPerSecond', MAX_STARTS_PER_SECOND, 'what one process of emulated workers carries'],
  ];
  for (const [field, max, why] of bounds) {
    const n = sizes[field];
    if (!(n >= 1)) throw new SettingsError(`${field}: ${n} is below 1`);
    if (n > max) throw new SettingsError(`${field}: ${n} is above ${max} (${why})`);
  }
  const needed = sizes.workers * BYTES_PER_WORKER + sizes.controllers * BYTES_PER_CONTROLLER;
  const allowed = memoryBytes * MEMORY_SHARE;
  if (needed > allowed) {
    const gb = (bytes: number) => (bytes / 1024 ** 3).toFixed(1);
    throw new SettingsError(
      `controllers: ${gb(needed)} GiB needed, ${gb(allowed)} GiB allowed on this machine`,
    );
  }
}

/**
 * Throws a `SettingsError` when a directory holds the state of another run, because the same seed generates the same
 * job names, and the rules would be checked against two jobs of the same name.
 */
export function checkUnused(data: string | undefined): void {
  if (data !== undefined && existsSync(join(data, STATE_FILE)))
    throw new SettingsError(`data: ${data} holds the state of another run`);
}

/** Returns a platform with the given numbers of workers, all up from the start, and of equal teams. */
export function sizedPlatform(base: Platform, sizes: Sizes): Platform {
  const baseCount = base.capacity.reduce((sum, c) => sum + c.count, 0);
  const scaledCount = (n: number) => Math.round((n * sizes.workers) / baseCount);
  let countSoFar = 0;
  const capacity = base.capacity.map((c) => {
    const count = scaledCount(countSoFar + c.count) - scaledCount(countSoFar);
    countSoFar += c.count;
    return { ...c, count, up: count, spot: 0 };
  });
  const cpusOf = new Map(base.machine_types.map((t) => [t.name, t.cpus]));
  const cpus = capacity.reduce((sum, c) => sum + c.count * cpusOf.get(c.type)!, 0);
  const guaranteed = Math.floor((cpus * GUARANTEED_SHARE) / sizes.teams);
  const cpuLimit = Math.ceil(Math.max(cpus * MIN_LIMIT_SHARE, guaranteed * LIMIT_TO_GUARANTEE_RATIO));
  const teams = Array.from({ length: sizes.teams }, (_, i) => ({
    name: `team-${i + 1}`,
    cpus: guaranteed,
    cpus_max: cpuLimit,
    gpus: 0,
    gpus_max: 0,
  }));
  return { ...base, capacity, teams };
}

/**
 * Returns a scenario whose arrivals request the given number of task starts per second while all its classes arrive,
 * and whose filling classes occupy their share of the workers. Throws a `SettingsError` when no class has arrivals.
 */
export function sizedScenario(base: Scenario, sizes: Sizes): Scenario {
  const mean = (counts: readonly number[]) => counts.reduce((sum, n) => sum + n, 0) / counts.length;
  const baseStartsPerSecond = base.classes.reduce((sum, c) => sum + (c.a_minute * mean(c.pieces)) / 60, 0);
  if (baseStartsPerSecond === 0)
    throw new SettingsError('classes: no class has a rate of arrivals (a_minute)');
  const factor = sizes.startsPerSecond / baseStartsPerSecond;
  const classes = base.classes.map((c) => {
    const isFilling = c.fills > 0 && c.at_start > 0;
    const pieces = isFilling ? [Math.max(1, Math.floor((c.fills * sizes.workers) / c.at_start))] : c.pieces;
    return { ...c, pieces, a_minute: c.a_minute * factor };
  });
  return { ...base, classes };
}
