/**
 * Whether this build and an older one can take over each other's stored data and work beside each other: an old cluster,
 * the new one on its data, the old one again, and controllers of both in one cluster, under load and with controllers
 * killed. Not part of the tests: it takes some minutes of real time.
 *
 *     npm run check:upgrade -- OLD [--new NEW] [--json] [--speed TIMES] [--port FIRST] [--data DIR]
 *
 * OLD is a checkout of the older version that has been built (`OLD/target/main.js`), NEW one of the newer version (this one
 * if left out). Ends with 0 when no rule was broken
 * and every accepted job was accounted for, with 1 otherwise, and with 2 when it is called in a wrong way. On a machine that is
 * busy with other work leases lapse at ten times the time of day: a lower `--speed` gives it more time.
 */
import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { EXIT } from '../../src/cli/output.js';
import { fastClock } from '../../src/clock/clock.js';
import { loadPlatform, type Platform } from '../../src/emulator/platform.js';
import { MORE_TEAMS } from './jobs.js';
import type { Build } from './owners.js';
import { printable, reportOf, type StepFigures, verdictOf } from './report.js';
import { playStep, type Stage, type StepPlan } from './step.js';
import { Users } from './users.js';

const USAGE =
  'usage: npm run check:upgrade -- OLD [--new NEW] [--json] [--speed TIMES] [--port FIRST] [--data DIR]';
const CONTROLLERS = 4;
const SEED = 11;
/** Away from the ports of `spartray local`. */
const PORT = '9400';
const SPEED = '10';
const SPEED_MOST = 50;
/** So small that the done tasks of a large array take several values: 2,304 of them each. */
const VALUE_KB = 0.5;
/** Of the large arrays' team, so that these last longer than a step. */
const BULK_CPUS_MAX = 100;
const MACHINES_UP = 6;

const STEPS: StepPlan[] = [
  {
    name: '1-old',
    what: 'old build alone',
    builds: ['old'],
    standby: false,
    lengthS: 300,
    bulkTasks: 7000,
    kills: [
      { atS: 60, controller: 'oldest' },
      { atS: 130, controller: 2 },
      { atS: 200, controller: 'oldest' },
    ],
    drainS: 0,
    expects: { terms: CONTROLLERS + 2, chunks: 2, left: 3 },
  },
  {
    name: '2-new',
    what: 'new build on the data of the old one',
    builds: ['new'],
    standby: false,
    lengthS: 240,
    bulkTasks: 4000,
    kills: [{ atS: 120, controller: 'oldest' }],
    drainS: 0,
    expects: { terms: CONTROLLERS + 1, chunks: 0, left: 3 },
  },
  {
    name: '3-back',
    what: 'old build on the data of the new one',
    builds: ['old'],
    standby: false,
    lengthS: 240,
    bulkTasks: 4000,
    kills: [{ atS: 120, controller: 'oldest' }],
    drainS: 0,
    expects: { terms: CONTROLLERS + 1, chunks: 0, left: 3 },
  },
  {
    name: '4-both',
    what: 'controllers of both builds in one cluster, with standbys',
    builds: ['old', 'new'],
    standby: true,
    lengthS: 300,
    bulkTasks: 3000,
    kills: [
      { atS: 90, controller: 0 },
      { atS: 180, controller: 1 },
    ],
    drainS: 900,
    expects: { terms: CONTROLLERS + 2, chunks: 0, left: 0 },
  },
];

interface Options {
  /** The controllers' programs. */
  programs: Record<Build, string>;
  json: boolean;
  speed: number;
  port: number;
  data: string | undefined;
}

function programIn(checkout: string): string {
  return resolve(checkout, 'target/main.js');
}

/** What the command line asks for; a string says what is wrong with it. */
function readOptions(args: string[]): Options | string {
  try {
    const { values, positionals } = parseArgs({
      args,
      allowPositionals: true,
      options: {
        new: { type: 'string', default: '.' },
        json: { type: 'boolean', default: false },
        speed: { type: 'string', default: SPEED },
        port: { type: 'string', default: PORT },
        data: { type: 'string' },
      },
    });
    const [folder] = positionals;
    if (folder === undefined || positionals.length > 1) return USAGE;
    const programs = { old: programIn(folder), new: programIn(values.new) };
    for (const program of Object.values(programs))
      if (!existsSync(program)) return `${program} is not there: build that version first\n${USAGE}`;
    const [speed, port] = [Number(values.speed), Number(values.port)];
    if (!(speed >= 1 && speed <= SPEED_MOST)) return `--speed: a number from 1 to ${SPEED_MOST}\n${USAGE}`;
    if (!(Number.isInteger(port) && port >= 1024 && port <= 60_000))
      return `--port: a number from 1024 to 60000\n${USAGE}`;
    return { programs, json: values.json, speed, port, data: values.data };
  } catch (error) {
    return `${error instanceof Error ? error.message : error}\n${USAGE}`;
  }
}

function platformOf(): Platform {
  const platform = loadPlatform('builtin');
  for (const c of platform.capacity) c.up = Math.min(c.count, MACHINES_UP);
  for (const team of platform.teams) if (team.name === 'guests') team.cpus_max = BULK_CPUS_MAX;
  for (const name of MORE_TEAMS) platform.teams.push({ name, cpus: 16, cpus_max: 256, gpus: 0, gpus_max: 0 });
  platform.state.value_kb = VALUE_KB;
  platform.boot_fail = 0;
  return platform;
}

async function main(): Promise<number> {
  const options = readOptions(process.argv.slice(2));
  if (typeof options === 'string') {
    process.stderr.write(`${options}\n`);
    return EXIT.usage;
  }
  const { speed, port } = options;
  const say = (line: string) => (options.json ? process.stderr : process.stdout).write(`${line}\n`);
  const data = options.data ?? mkdtempSync(join(tmpdir(), 'spartray-upgrade-'));
  const clock = fastClock(speed);
  const host = '127.0.0.1';
  const users = new Users(clock, { users: `${host}:${port}`, depot: `${host}:${port + 1}` });
  const stage: Stage = {
    clock,
    users,
    platform: platformOf(),
    programs: options.programs,
    local: { controllers: CONTROLLERS, speed, data, port, seed: SEED, onError: say },
    histories: [],
    reported: new Set(),
    running: null,
  };
  const abort = async () => {
    await stage.running?.stop();
    process.exit(EXIT.failed);
  };
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => void abort());
  const steps: StepFigures[] = [];
  try {
    for (const plan of STEPS) {
      const figures = await playStep(stage, plan);
      steps.push(figures);
      say(verdictOf(figures));
    }
  } catch (error) {
    say(`stopped early: ${error instanceof Error ? error.message : error}`);
  }
  users.close();
  const report = reportOf(steps, users, STEPS.length, speed);
  if (options.json) process.stdout.write(`${JSON.stringify(report)}\n`);
  else say(`\n${printable(report)}`);
  if (options.data === undefined && report.passed) rmSync(data, { recursive: true, force: true });
  else say(`settings, logs and stored data: ${data}`);
  return report.passed ? EXIT.ok : EXIT.failed;
}

// The clocks of stopped clusters go on.
process.exit(await main());
