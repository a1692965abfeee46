import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

export interface Ended {
  code: number;
  out: string;
  err: string;
}

/** Runs a program of Node's to its end. */
export function run(program: string, args: readonly string[]): Promise<Ended> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, out, err) =>
      resolve({ code: error ? Number(error.code) : 0, out, err }),
    );
  });
}

/** Plays meetings in a process of its own, as the command does: the test runner follows each promise, which takes ten times as long. */
export function checkMeetings(...args: string[]): Promise<Ended> {
  return run(fileURLToPath(new URL('../meetings/check.js', import.meta.url)), args);
}
