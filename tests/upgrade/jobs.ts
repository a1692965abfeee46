import type { JobFileEntry } from '../../src/client/jobfile.js';
import { readJobFile } from '../../src/client/jobfile.js';

/** Every id of this check begins so. */
export const ID_PREFIX = 'wk-upgrade-';

/** Jobs that one user submits one after the other, since later ones may wait for earlier ones. */
export interface Submission {
  /** Seconds after the beginning of the step. */
  atS: number;
  orders: JobFileEntry[];
  /** The first job is cancelled so many seconds after the last one was submitted. */
  cancelAfterS?: number;
}

/** Beside those of the builtin platform, so that every shard has jobs of a team. */
export const MORE_TEAMS = ['green', 'amber'];
const TEAMS = ['red', 'blue', ...MORE_TEAMS];

const SMALL_EVERY_S = 5;
const GANG_EVERY_S = 20;
const CHAIN_EVERY_S = 30;
/** Every so many small arrays, and chains, one is cancelled. */
const CANCELLED_EVERY = 6;
const CANCEL_AFTER_S = 12;
/** Long tasks are submitted this long before the step's end, so that they run when the cluster stops. */
const LONG_BEFORE_END_S = 40;
/** A description with so long an image name fits no single value of the state service. */
const LONG_IMAGE = 'solver-'.padEnd(199, 'x');

type JobFields = Record<string, unknown>;

function order(fields: JobFields): JobFileEntry {
  return readJobFile(JSON.stringify(fields), 'json')[0]!;
}

function smallArray(id: string, n: number): JobFields {
  return {
    id,
    owner: TEAMS[n % TEAMS.length],
    urgency: n % 5 === 0 ? 'urgent' : 'standard',
    pieces: 4 + (n % 7) * 4,
    cpus: 1,
    memoryGb: 1,
    expectedS: 12,
    runS: 5 + (n % 4) * 5,
    loaner: n % 3 === 0,
  };
}

function gang(id: string, n: number): JobFields {
  return {
    id,
    owner: 'blue',
    shape: 'ensemble',
    pieces: 2 + (n % 3),
    cpus: 4,
    memoryGb: 8,
    oneZone: true,
    bundle: n % 2 === 0 ? LONG_IMAGE : 'solver',
    pullGb: 1,
    expectedS: 30,
    runS: 30,
    saveEveryS: 10,
    savingS: 2,
  };
}

/** Jobs of all teams, of which each waits for all those before it: mostly for those of other shards. */
function chain(prefix: string, n: number): JobFields[] {
  const ids = TEAMS.map((team) => `${prefix}chain-${n}-${team}`);
  return ids.map((id, i) => ({ ...smallArray(id, n + i), pieces: 4, waitsOn: ids.slice(0, i) }));
}

/** One array of many short tasks, its done tasks in several chunks, and a job that waits for it. */
function bulk(prefix: string, tasks: number): JobFields[] {
  const id = `${prefix}bulk`;
  return [
    {
      id,
      owner: 'guests',
      urgency: 'low',
      pieces: tasks,
      cpus: 0.25,
      memoryGb: 0.25,
      expectedS: 20,
      runS: 20,
    },
    { ...smallArray(`${prefix}after-bulk`, 0), waitsOn: [id] },
  ];
}

function service(id: string): JobFields {
  return { id, owner: 'red', shape: 'standing', pieces: 2, cpus: 2, memoryGb: 4, spread: true };
}

function longArray(id: string): JobFields {
  return { ...smallArray(id, 0), pieces: 20, expectedS: 120, runS: 120, saveEveryS: 20, savingS: 1 };
}

function every(periodS: number, untilS: number): number[] {
  return Array.from({ length: Math.floor(untilS / periodS) }, (_, n) => n);
}

/** All that is submitted in a step of this length, in order of time. */
export function submissionsOf(step: string, lengthS: number, bulkTasks: number): Submission[] {
  const prefix = `${ID_PREFIX}${step}-`;
  const cancelled = (n: number) =>
    n % CANCELLED_EVERY === CANCELLED_EVERY - 1 ? { cancelAfterS: CANCEL_AFTER_S } : {};
  const lastS = lengthS - LONG_BEFORE_END_S;
  const all: Submission[] = [
    { atS: 0, orders: bulk(prefix, bulkTasks).map(order) },
    { atS: 1, orders: [order(service(`${prefix}service`))] },
    { atS: lastS, orders: [order(longArray(`${prefix}long`))] },
  ];
  for (const n of every(SMALL_EVERY_S, lengthS))
    all.push({
      atS: n * SMALL_EVERY_S,
      orders: [order(smallArray(`${prefix}small-${n}`, n))],
      ...cancelled(n),
    });
  for (const n of every(GANG_EVERY_S, lengthS))
    all.push({ atS: n * GANG_EVERY_S + 3, orders: [order(gang(`${prefix}gang-${n}`, n))] });
  for (const n of every(CHAIN_EVERY_S, lengthS))
    all.push({
      atS: n * CHAIN_EVERY_S + 7,
      orders: chain(prefix, n).map(order),
      ...cancelled(n + 3),
    });
  return all.sort((a, b) => a.atS - b.atS);
}
