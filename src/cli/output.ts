/** Exit codes of the commands, and what they print. */

import Table from 'cli-table3';

/** What the commands end with. */
export const EXIT = { ok: 0, failed: 1, usage: 2, bind: 3, unreachable: 4 } as const;

/** Reports an error on standard error and exits the process. */
export function fail(code: number, message: string): never {
  process.stderr.write(`spartray: ${message}\n`);
  process.exit(code);
}

/** Prints a line on standard output. */
export function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

const PLAIN = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** A table for people: columns under their heads, no lines. */
export function table(head: string[], rows: (string | number)[][]): string {
  const t = new Table({
    head,
    chars: PLAIN,
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 },
    colAligns: head.map((_, i) => (rows.every((r) => typeof r[i] === 'number') ? 'right' : 'left')),
  });
  for (const r of rows) t.push(r);
  return t
    .toString()
    .split('\n')
    .map((line) => line.trimEnd())
    .join('\n');
}
