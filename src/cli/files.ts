import { readFileSync } from 'node:fs';
import { type JobFileEntry, JobFileError, readJobFile } from '../client/jobfile.js';

/**
 * Reads a file, or standard input when the path is `-`. Throws `JobFileError`, which names the input as `description`,
 * when it cannot be read.
 */
export function readText(path: string, description: string): string {
  try {
    return readFileSync(path === '-' ? 0 : path, 'utf8');
  } catch (error) {
    throw new JobFileError(`cannot read ${description}: ${error instanceof Error ? error.message : error}`);
  }
}

/** Reads the jobs of a file: TOML when its name ends in `.toml`, otherwise JSON. Throws `JobFileError`. */
export function loadJobs(path: string): JobFileEntry[] {
  return readJobFile(readText(path, path), path.endsWith('.toml') ? 'toml' : 'json');
}
