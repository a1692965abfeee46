import type { JobFileEntry } from '../../src/client/jobfile.js';
import { readJobFile } from '../../src/client/jobfile.js';

/** Prefix of the job ids of this check. */
export const ID_PREFIX = 'wk-upgrade-';

/** Jobs that one user submits in sequence, since later jobs may depend on earlier ones. */
export interface Submission {
  /** Time of the submission, in seconds after the start of the step. */
  atS: number;
  entries: JobFileEntry[];
  /** Seconds from the submission of the last job to the cancellation of the first one. */
  cancelAfterS?: number;
}

/** Teams in addition to those of the builtin platform, so that every shard has a team with jobs. */
export const MORE_TEAMS = ['green', 'amber'];
const TEAMS = ['red', 'blue', ...MORE_TEAMS];

const SMALL_EVERY_S = 5;
const GANG_EVERY_S = 20;
const CHAIN_EVERY_S = 30;
/** One in every `CANCELLED_EVERY` small arrays and one in every `CANCELLED_EVERY` chains is cancelled. */
const CANCELLED_EVERY = 6;
const CANCEL_AFTER_S = 12;
/** Time before the end of a step at which long tasks are submitted, so that they run when the cluster stops. */
const LONG_BEFORE_END_S = 40;
/** An image name so long that the job description does not fit into a single value of the key-value store. */
const LONG_IMAGE = 'solver-'.padEnd(199, 'x');

type JobFields = Record<string, unknown>;

function readEntry(fields: JobFields): JobFileEntry {
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

function gangJob(id: string, n: number): JobFields {
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

/** Returns one job per team, each of which depends on all earlier ones, most of them in other shards. */
function chainedJobs(prefix: string, n: number): JobFields[] {
  const ids = TEAMS.map((team) => `${prefix}chain-${n}-${team}`);
  return ids.map((id, i) => ({ ...smallArray(id, n + i), pieces: 4, waitsOn: ids.slice(0, i) }));
}

/** Returns an array of many short tasks, whose completions fill several chunks, and a job that depends on it. */
function bulkJobs(prefix: string, tasks: number): JobFields[] {
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

function serviceJob(id: string): JobFields {
  return { id, owner: 'red', shape: 'standing', pieces: 2, cpus: 2, memoryGb: 4, spread: true };
}

function longArray(id: string): JobFields {
  return { ...smallArray(id, 0), pieces: 20, expectedS: 120, runS: 120, saveEveryS: 20, savingS: 1 };
}

function periodIndexes(periodS: number, untilS: number): number[] {
  return Array.from({ length: Math.floor(untilS / periodS) }, (_, n) => n);
}

/** Returns the submissions of a step of this length, ordered by time. */
export function submissionsOf(step: string, lengthS: number, bulkTasks: number): Submission[] {
  const prefix = `${ID_PREFIX}${step}-`;
  const cancelled = (n: number) =>
    n % CANCELLED_EVERY === CANCELLED_EVERY - 1 ? { cancelAfterS: CANCEL_AFTER_S } : {};
  const lastS = lengthS - LONG_BEFORE_END_S;
  const all: Submission[] = [
    { atS: 0, entries: bulkJobs(prefix, bulkTasks).map(readEntry) },
    { atS: 1, entries: [readEntry(serviceJob(`${prefix}service`))] },
    { atS: lastS, entries: [readEntry(longArray(`${prefix}long`))] },
  ];
  for (const n of periodIndexes(SMALL_EVERY_S, lengthS))
    all.push({
      atS: n * SMALL_EVERY_S,
      entries: [readEntry(smallArray(`${prefix}small-${n}`, n))],
      ...cancelled(n),
    });
  for (const n of periodIndexes(GANG_EVERY_S, lengthS))
    all.push({ atS: n * GANG_EVERY_S + 3, entries: [readEntry(gangJob(`${prefix}gang-${n}`, n))] });
  for (const n of periodIndexes(CHAIN_EVERY_S, lengthS))
    all.push({
      atS: n * CHAIN_EVERY_S + 7,
      entries: chainedJobs(prefix, n).map(readEntry),
      ...cancelled(n + 3),
    });
  return all.sort((a, b) => a.atS - b.atS);
}
