/** Parser of the job files that users submit. */

import { randomUUID } from 'node:crypto';
import { parse, TomlError } from 'smol-toml';
import * as v from 'valibot';
import { InvalidInputError } from '../errors/errors.js';
import { type JobSpec, readJob } from '../wire/users.js';
import type { EmulationParameters } from './client.js';

/** A job file that cannot be used; the message gives the place and the reason. */
export class JobFileError extends InvalidInputError {}

/** A job of a file: its specification and its parameters for emulated workers. */
export interface JobFileEntry {
  spec: JobSpec;
  emulation: EmulationParameters;
}

/** Values of the fields of a submission that a job file leaves out. */
const DEFAULTS = {
  jobClass: 'default',
  shape: 'sweep',
  urgency: 'standard',
  pieces: 1,
  cards: 0,
  bundle: 'none',
  pullGb: 0,
  flavors: null,
  yard: null,
  oneZone: false,
  spread: false,
  loaner: false,
  expectedS: 60,
  saveEveryS: 0,
  savingS: 0,
  dueS: null,
};

const emulationFields = v.object({
  runS: v.optional(v.pipe(v.number(), v.gtValue(0))),
  fails: v.optional(v.boolean()),
});

/**
 * Parses the jobs of a file: TOML with `[[jobs]]` or with one job at the top level, or JSON with one job, a list of
 * jobs or an object whose `jobs` is such a list. The fields are those of a submission, and `runS` and `fails` for
 * emulated workers. A job without `id` gets a random one. Throws `JobFileError`.
 */
export function readJobFile(text: string, format: 'toml' | 'json'): JobFileEntry[] {
  const parsed = format === 'json' ? parseJson(text) : parseToml(text);
  const jobs = Array.isArray(parsed)
    ? parsed
    : isObject(parsed) && Array.isArray(parsed.jobs)
      ? parsed.jobs
      : [parsed];
  if (jobs.length === 0) throw new JobFileError('the file contains no jobs');
  return jobs.map((job: unknown, i) => {
    if (!isObject(job)) throw new JobFileError(`job ${i + 1}: not an object`);
    const spec = readJob({ ...DEFAULTS, id: `wk-${randomUUID()}`, ...job });
    if (typeof spec === 'string') throw new JobFileError(`job ${i + 1}: ${spec}`);
    const emulation = v.safeParse(emulationFields, job);
    if (!emulation.success)
      throw new JobFileError(
        `job ${i + 1}: ${v.getDotPath(emulation.issues[0])}: ${emulation.issues[0].message}`,
      );
    return { spec, emulation: emulation.output };
  });
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new JobFileError(`not JSON: ${error instanceof Error ? error.message : error}`);
  }
}

function parseToml(text: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    if (error instanceof TomlError)
      throw new JobFileError(`line ${error.line}, column ${error.column}: not TOML`);
    throw error;
  }
}
