import { parseArgs } from 'node:util';
import { playScenario } from '../support/meeting.js';
import { describeFault, type Fault, loseAnswers, parseFault } from '../support/troubles.js';

// Runs random combinations of faults beyond those of the tests, each in a separate simulated cluster. A violation
// is printed with its seed and faults; running that seed alone reproduces it.
const USAGE =
  'usage: npm run check:meetings -- [--seeds N] [--from SEED] [--seed SEED] [--trouble KIND@AT+FOR*SHARE]... [--with KIND@AT+FOR*SHARE]... [--lose KEY]';
const MAX_SEED = 2 ** 31 - 1;

function exitWithUsage(why: string): never {
  process.stderr.write(`check:meetings: ${why}\n${USAGE}\n`);
  process.exit(2);
}

function readArguments() {
  const option = { type: 'string' } as const;
  const trouble = { ...option, multiple: true } as const;
  try {
    const options = { seeds: option, from: option, seed: option, trouble, with: trouble, lose: option };
    return parseArgs({ options }).values;
  } catch (error) {
    return exitWithUsage(error instanceof Error ? error.message : String(error));
  }
}

/** Parses the faults that an option gives on the command line. */
function parseFaults(option: string, texts: readonly string[]): Fault[] {
  return texts.map((text) => {
    const fault = parseFault(text);
    return typeof fault === 'string' ? exitWithUsage(`--${option} "${text}": ${fault}`) : fault;
  });
}

function parsePositiveInteger(name: string, text: string | undefined, fallback: number): number {
  if (text === undefined) return fallback;
  if (!/^\d+$/.test(text) || Number(text) < 1 || Number(text) > MAX_SEED)
    exitWithUsage(`--${name}: "${text}" is not a whole number from 1 to ${MAX_SEED}`);
  return Number(text);
}

const values = readArguments();
if (values.seed !== undefined && (values.seeds ?? values.from) !== undefined)
  exitWithUsage('--seed runs a single seed and cannot be combined with --seeds or --from');
const first = parsePositiveInteger('seed', values.seed, parsePositiveInteger('from', values.from, 1));
const count = values.seed === undefined ? parsePositiveInteger('seeds', values.seeds, 100) : 1;
// Faults of `--trouble` replace the random ones, those of `--with` are added to them.
const faults = values.trouble ? parseFaults('trouble', values.trouble) : null;
const additionalFaults = parseFaults('with', values.with ?? []);
if (values.lose === '') exitWithUsage('--lose: a key prefix is required');
const print = (line: string) => process.stdout.write(`${line}\n`);
let failed = 0;
let lostAnswers = 0;
let startsRepeated = 0;
for (let seed = first; seed < first + count; seed++) {
  const losing = values.lose === undefined ? null : loseAnswers(values.lose);
  const result = await playScenario(seed, faults, additionalFaults, losing?.fate);
  lostAnswers += losing?.count() ?? 0;
  startsRepeated += result.startsRepeated;
  if (count === 1 || result.violations.length > 0) {
    print(
      `seed ${seed}: ${result.jobs} jobs, ${result.done} done, ${result.cancelled} cancelled, ${result.starts} starts`,
    );
    for (const fault of result.faults) print(`  ${describeFault(fault)}`);
  }
  for (const violation of result.violations)
    print(`  ${violation.at.toFixed(2)} s: ${violation.rule}: ${violation.what}`);
  if (result.violations.length > 0) failed++;
}
if (values.lose !== undefined) print(`${lostAnswers} answers to writes of ${values.lose} lost`);
if (startsRepeated > 0) print(`${startsRepeated} starts repeated`);
print(`${count} meetings played, ${failed} with a broken rule`);
process.exitCode = failed > 0 ? 1 : 0;
