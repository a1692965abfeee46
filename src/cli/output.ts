/** Exit codes and output functions of the commands. */

import Table from 'cli-table3';

/** Exit codes of the commands. */
export const EXIT = { ok: 0, failed: 1, usage: 2, bind: 3, unreachable: 4 } as const;

/** Reports an error on standard error and exits the process. */
export function fail(code: number, message: string): never {
  process.stderr.write(`spartray: ${message}\n`);
  process.exit(code);
}

/** Prints a line on standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const BORDERLESS = {
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

/** Formats a table for people: columns under their headings, without borders. Columns of numbers are right-aligned. */
export function table(head: string[], rows: (string | number)[][]): string {
  const output = new Table({
    head,
    chars: BORDERLESS,
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 },
    colAligns: head.map((_, i) => (rows.every((r) => typeof r[i] === 'number') ? 'right' : 'left')),
  });
  for (const row of rows) output.push(row);
  return output
    .toString()
    .split('\n')
    .map((line) => line.trimEnd())
    .join('\n');
}
