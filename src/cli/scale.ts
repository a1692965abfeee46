import { writeFileSync } from 'node:fs';
import { basename } from 'node:path';
import type { Command } from 'commander';
import type { LoadReport } from '../load/loadreport.js';
import type { ScaleReport } from '../load/scalerun.js';
import { type LocalFlags, localOptions, number, startLocal } from './local.js';
import { EXIT, say, table } from './output.js';

interface ScaleFlags extends LocalFlags {
  workers: number;
  teams: number;
  starts: number;
  changeEvery: number;
  loneS: number;
  report?: string;
  json?: boolean;
}

const rounded = (n: number) => (n >= 100 ? Math.round(n) : Math.round(n * 1000) / 1000);

function printPhases(report: ScaleReport): void {
  for (const phase of report.phases) {
    say(`\n${phase.name}: ${rounded(phase.seconds)} s, ${phase.tasks} tasks running`);
    const controllers = phase.controllers.map((c) => [
      c.node,
      c.leader ? 'leader' : '',
      c.shards,
      rounded(c.cores),
      rounded(c.residentMb),
      c.sockets,
    ]);
    say(table(['CONTROLLER', 'ROLE', 'SHARDS', 'CORES', 'MB', 'SOCKETS'], controllers));
    const flows = Object.entries(phase.traffic).filter(([, f]) => f.messages > 0);
    const rows = flows.map(([kind, f]) => [kind, rounded(f.messages), rounded(f.bytes)]);
    say(`\n${table(['LINK AND KIND', 'MESSAGES/S', 'BYTES/S'], rows)}`);
    const { cores, residentMb, lagP99Ms } = phase.emulator;
    say(
      `stand-ins and workers: ${rounded(cores)} cores, ${rounded(residentMb)} MB, late by ${rounded(lagP99Ms)} ms (p99)`,
    );
  }
}

function printLoad(load: LoadReport): void {
  const rows = load.classes.flatMap((c) => [
    [c.name, 'submission to acceptance, s', ...times(c.submitMs, 1000), ''],
    [c.name, 'acceptance to start, s', ...times(c.waitS, 1), rounded(c.withinSecond)],
  ]);
  say(`\n${table(['CLASS', 'WHAT', 'COUNT', 'P50', 'P99', 'WORST', 'IN 1 S'], rows)}`);
  const unfinished = load.classes.reduce((n, c) => n + c.lost, 0);
  say(`\n${load.startsPeak} task starts in the busiest second; ${unfinished} jobs not over at the end`);
}

function times(s: { count: number; p50: number; p99: number; max: number }, unit: number): number[] {
  return [s.count, ...[s.p50, s.p99, s.max].map((n) => rounded(n / unit))];
}

function print(report: ScaleReport): void {
  printPhases(report);
  printLoad(report.load);
  const { allMs, unknown } = report.propagation;
  say(
    `changes known on all controllers: ${allMs.count}, p50 ${allMs.p50} ms, p99 ${allMs.p99} ms, worst ${allMs.max} ms; ${unknown} never`,
  );
  for (const cost of report.worker)
    say(
      `a worker alone, ${cost.phase}: ${rounded(cost.cores)} cores, ${rounded(cost.residentMb)} MB (empty ${rounded(cost.emptyResidentMb)} MB), ${rounded(cost.sentBytes)} and ${rounded(cost.receivedBytes)} bytes/s out and in`,
    );
  for (const x of report.load.violations.slice(0, 20)) say(`${x.at} s: ${x.rule}: ${x.what}`);
  say(`${report.load.violations.length} broken rules, ${report.load.twice} tasks done twice`);
}

/** The command that measures a cluster of a given size on this machine: scale. */
export function addScaleCommand(command: Command): void {
  localOptions(
    command
      .command('scale <scenario>')
      .description('measure a cluster of a given size: real controllers, hollow workers, all on this machine')
      .option('--workers <n>', 'hollow workers, all up from the start', number(-1, 1e9), 300)
      .option('--teams <n>', 'teams with equal guarantees and limits', number(-1, 1e9), 6)
      .option('--starts <n>', 'task starts a second asked for at the peak', number(-1, 1e9), 40)
      .option(
        '--change-every <s>',
        'seconds between changes whose way to all controllers is timed',
        number(0.05, 600, false),
        2,
      )
      .option(
        '--lone-s <s>',
        'seconds for each phase of one worker alone in a process; 0 for none',
        number(0, 120),
        0,
      )
      .option('--report <file>', 'write the report as JSON')
      .option('--json', 'print the report as JSON'),
    1,
  ).action(measure);
}

async function measure(file: string, flags: ScaleFlags): Promise<void> {
  const [{ loadScenario }, { loadPlatform }, scale, { ScaleRun }] = await Promise.all([
    import('../load/scenario.js'),
    import('../emulator/platform.js'),
    import('../load/scale.js'),
    import('../load/scalerun.js'),
  ]);
  const { workers, controllers, teams, starts: startsPerSecond } = flags;
  const sizes = { workers, controllers, teams, startsPerSecond };
  scale.checkSizes(sizes);
  scale.checkUnused(flags.data);
  const scenario = scale.sizedScenario(loadScenario(file), sizes);
  const platform = scale.sizedPlatform(loadPlatform(flags.machines), sizes);
  const { cluster, stop } = await startLocal({ ...flags, standby: true }, platform);
  const run = new ScaleRun(cluster, platform, scenario, sizes);
  const report = await run.run(basename(file), flags);
  await stop();
  if (flags.report !== undefined) writeFileSync(flags.report, `${JSON.stringify(report, null, 1)}\n`);
  if (flags.json) say(JSON.stringify(report));
  else print(report);
  // Jobs that are still under way at the end are known, or the rules say so.
  const { violations, twice } = report.load;
  process.exit(violations.length > 0 || twice > 0 ? EXIT.failed : EXIT.ok);
}
