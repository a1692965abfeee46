/** Files of jobs that users submit. */

import { randomUUID } from 'node:crypto';
import { parse, TomlError } from 'smol-toml';
import * as v from 'valibot';
import { InvalidInputError } from '../errors/errors.js';
import { type JobSpec, readJob } from '../wire/users.js';
import type { Upload } from './client.js';

/** A file of jobs that cannot be used; the message says where and why. */
export class JobFileError extends InvalidInputError {}

/** One job of a file. */
export interface JobFileEntry {
  spec: JobSpec;
  upload: Upload;
}

/** What a submission has when its file does not say otherwise. */
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

const extra = v.object({
  runS: v.optional(v.pipe(v.number(), v.gtValue(0))),
  fails: v.optional(v.boolean()),
});

/**
 * Jobs from a file: TOML with `[[jobs]]` or one job at the top, or JSON with one job or a list. The fields are those of
 * a submission, and `runS` and `fails` for emulated workers; `id` is drawn when it is not there.
 */
export function readJobFile(text: string, format: 'toml' | 'json'): JobFileEntry[] {
  const raw = format === 'json' ? fromJson(text) : fromToml(text);
  const jobs = Array.isArray(raw) ? raw : isObject(raw) && Array.isArray(raw.jobs) ? raw.jobs : [raw];
  if (jobs.length === 0) throw new JobFileError('no job in it');
  return jobs.map((job: unknown, i) => {
    if (!isObject(job)) throw new JobFileError(`job ${i + 1}: not an object`);
    const spec = readJob({ ...DEFAULTS, id: `wk-${randomUUID()}`, ...job });
    if (typeof spec === 'string') throw new JobFileError(`job ${i + 1}: ${spec}`);
    const upload = v.safeParse(extra, job);
    if (!upload.success)
      throw new JobFileError(`job ${i + 1}: ${v.getDotPath(upload.issues[0])}: ${upload.issues[0].message}`);
    return { spec, upload: upload.output };
  });
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function fromJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new JobFileError(`not JSON: ${error instanceof Error ? error.message : error}`);
  }
}

function fromToml(text: string): unknown {
  try {
    return parse(text);
  } catch (error) {
    if (error instanceof TomlError)
      throw new JobFileError(`line ${error.line}, column ${error.column}: not TOML`);
    throw error;
  }
}
