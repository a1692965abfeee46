import { parseArgs } from 'node:util';
import { play } from '../support/meeting.js';
import { describe, losing, readTrouble, type Trouble } from '../support/troubles.js';

// Meetings of troubles beyond those that the tests play, each in a simulated cluster of its own; a broken rule is printed with its
// seed and troubles, and is played again alone by that seed.
const USAGE =
  'usage: npm run check:meetings -- [--seeds N] [--from SEED] [--seed SEED] [--trouble KIND@AT+FOR*SHARE]... [--lose KEY]';
const MOST = 2 ** 31 - 1;

function wrong(why: string): never {
  process.stderr.write(`check:meetings: ${why}\n${USAGE}\n`);
  process.exit(2);
}

function read() {
  const option = { type: 'string' } as const;
  const trouble = { ...option, multiple: true } as const;
  try {
    return parseArgs({ options: { seeds: option, from: option, seed: option, trouble, lose: option } })
      .values;
  } catch (error) {
    return wrong(error instanceof Error ? error.message : String(error));
  }
}

/** Troubles that are given instead of drawn; null when none are. */
function given(texts: readonly string[] | undefined): Trouble[] | null {
  return (
    texts?.map((text) => {
      const t = readTrouble(text);
      return typeof t === 'string' ? wrong(`--trouble "${text}": ${t}`) : t;
    }) ?? null
  );
}

function whole(name: string, text: string | undefined, otherwise: number): number {
  if (text === undefined) return otherwise;
  if (!/^\d+$/.test(text) || Number(text) < 1 || Number(text) > MOST)
    wrong(`--${name}: "${text}" is no whole number from 1 to ${MOST}`);
  return Number(text);
}

const values = read();
if (values.seed !== undefined && (values.seeds ?? values.from) !== undefined)
  wrong('--seed plays one alone, without --seeds and --from');
const first = whole('seed', values.seed, whole('from', values.from, 1));
const count = values.seed === undefined ? whole('seeds', values.seeds, 100) : 1;
const troubles = given(values.trouble);
if (values.lose === '') wrong('--lose: names no key');
const print = (line: string) => process.stdout.write(`${line}\n`);
let bad = 0;
let answers = 0;
for (let seed = first; seed < first + count; seed++) {
  const lost = values.lose === undefined ? null : losing(values.lose);
  const p = await play(seed, troubles, lost?.fate);
  answers += lost?.count() ?? 0;
  if (count === 1 || p.violations.length > 0) {
    print(`seed ${seed}: ${p.jobs} jobs, ${p.done} done, ${p.cancelled} cancelled, ${p.starts} starts`);
    for (const t of p.troubles) print(`  ${describe(t)}`);
  }
  for (const v of p.violations) print(`  ${v.at.toFixed(2)} s: ${v.rule}: ${v.what}`);
  if (p.violations.length > 0) bad++;
}
if (values.lose !== undefined) print(`${answers} answers to writes of ${values.lose} lost`);
print(`${count} meetings played, ${bad} with a broken rule`);
process.exitCode = bad > 0 ? 1 : 0;
