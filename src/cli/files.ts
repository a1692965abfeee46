import { readFileSync } from 'node:fs';
import { type JobFileEntry, JobFileError, readJobFile } from '../client/jobfile.js';

/** The text of a file, or of standard input for `-`. Fails with `JobFileError`. */
export function readText(path: string, what: string): string {
  try {
    return readFileSync(path === '-' ? 0 : path, 'utf8');
  } catch (error) {
    throw new JobFileError(`cannot read ${what}: ${error instanceof Error ? error.message : error}`);
  }
}

/** The jobs of a file, by its ending TOML or else JSON. Fails with `JobFileError`. */
export function loadJobs(path: string): JobFileEntry[] {
  return readJobFile(readText(path, path), path.endsWith('.toml') ? 'toml' : 'json');
}
