import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** Plays meetings in a process of its own, as the command does: the test runner follows each promise, which takes ten times as long. */
export async function checkMeetings(...args: string[]): Promise<{ code: number; out: string; err: string }> {
  const file = fileURLToPath(new URL('../meetings/check.js', import.meta.url));
  return new Promise((resolve) => {
    execFile(process.execPath, [file, ...args], (error, out, err) =>
      resolve({ code: error ? Number(error.code) : 0, out, err }),
    );
  });
}
