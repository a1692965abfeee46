/**
 * Checks whether this build and an older one can use each other's stored data and work in the same cluster: it runs
 * an old cluster, a new one on its data, the old one again, and then controllers of both builds in one cluster,
 * under load and while controllers are killed. It is not part of the tests, since it takes some minutes of real
 * time.
 *
 *     npm run check:upgrade -- OLD [--new NEW] [--json] [--speed TIMES] [--port FIRST] [--data DIR]
 *
 * OLD is a checkout of the older version that has been built (`OLD/target/main.js`), NEW a built checkout of the
 * newer version (the current directory by default). The exit code is 0 when no rule was broken and every accepted
 * job was accounted for, 1 otherwise, and 2 for invalid arguments. On a busy machine leases expire when the clock
 * runs at ten times real time: a lower `--speed` avoids this.
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
import { playStep, type SharedState, type StepPlan } from './step.js';
import { Users } from './users.js';

const USAGE =
  'usage: npm run check:upgrade -- OLD [--new NEW] [--json] [--speed TIMES] [--port FIRST] [--data DIR]';
const CONTROLLERS = 4;
const SEED = 11;
/** Differs from the ports of `spartray local`. */
const PORT = '9400';
const SPEED = '10';
const MAX_SPEED = 50;
/** Small, so that the completed tasks of a large array need several values, of 2,304 tasks each. */
const VALUE_KB = 0.5;
/** CPU limit of the team that owns the large arrays, so that these take longer than a step. */
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
  /** The controller program of each build. */
  programs: Record<Build, string>;
  json: boolean;
  speed: number;
  port: number;
  data: string | undefined;
}

function programIn(checkout: string): string {
  return resolve(checkout, 'target/main.js');
}

/** Parses the command line; returns an error message if it is invalid. */
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
      if (!existsSync(program)) return `${program} does not exist: build that version first\n${USAGE}`;
    const [speed, port] = [Number(values.speed), Number(values.port)];
    if (!(speed >= 1 && speed <= MAX_SPEED)) return `--speed: a number from 1 to ${MAX_SPEED}\n${USAGE}`;
    if (!(Number.isInteger(port) && port >= 1024 && port <= 60_000))
      return `--port: a number from 1024 to 60000\n${USAGE}`;
    return { programs, json: values.json, speed, port, data: values.data };
  } catch (error) {
    return `${error instanceof Error ? error.message : error}\n${USAGE}`;
  }
}

function buildPlatform(): Platform {
  const platform = loadPlatform('builtin');
  for (const capacity of platform.capacity) capacity.up = Math.min(capacity.count, MACHINES_UP);
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
  const print = (line: string) => (options.json ? process.stderr : process.stdout).write(`${line}\n`);
  const data = options.data ?? mkdtempSync(join(tmpdir(), 'spartray-upgrade-'));
  const clock = fastClock(speed);
  const host = '127.0.0.1';
  const users = new Users(clock, { users: `${host}:${port}`, depot: `${host}:${port + 1}` });
  const shared: SharedState = {
    clock,
    users,
    platform: buildPlatform(),
    programs: options.programs,
    local: { controllers: CONTROLLERS, speed, data, port, seed: SEED, onError: print },
    histories: [],
    reported: new Set(),
    running: null,
  };
  const abort = async () => {
    await shared.running?.stop();
    process.exit(EXIT.failed);
  };
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => void abort());
  const steps: StepFigures[] = [];
  try {
    for (const plan of STEPS) {
      const figures = await playStep(shared, plan);
      steps.push(figures);
      print(verdictOf(figures));
    }
  } catch (error) {
    print(`check stopped early: ${error instanceof Error ? error.message : error}`);
  }
  users.close();
  const report = reportOf(steps, users, STEPS.length, speed);
  if (options.json) process.stdout.write(`${JSON.stringify(report)}\n`);
  else print(`\n${printable(report)}`);
  if (options.data === undefined && report.passed) rmSync(data, { recursive: true, force: true });
  else print(`settings, logs and stored data: ${data}`);
  return report.passed ? EXIT.ok : EXIT.failed;
}

// Exits explicitly, since the timers of stopped clusters are still active.
process.exit(await main());
