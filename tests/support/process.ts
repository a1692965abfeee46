import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

export interface ProcessResult {
  code: number;
  out: string;
  err: string;
}

/** Runs a program with Node.js and returns its exit code and output. */
export function runNode(program: string, args: readonly string[]): Promise<ProcessResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, out, err) =>
      resolve({ code: error ? Number(error.code) : 0, out, err }),
    );
  });
}

/**
 * Runs `check:meetings` in a separate process. Inside the test runner, which tracks each promise, it would take ten
 * times as long.
 */
export function runFaultScenarios(...args: string[]): Promise<ProcessResult> {
  return runNode(fileURLToPath(new URL('../meetings/check.js', import.meta.url)), args);
}
