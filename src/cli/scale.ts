import { writeFileSync } from 'node:fs';
import { basename } from 'node:path';
import type { Command } from 'commander';
import type { LoadReport } from '../load/loadreport.js';
import type { ScaleReport } from '../load/scalerun.js';
import { addLocalOptions, type LocalFlags, numberInRange, startLocal } from './local.js';
import { EXIT, printLine, table } from './output.js';

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
    printLine(`\n${phase.name}: ${rounded(phase.seconds)} s, ${phase.tasks} tasks running`);
    const controllers = phase.controllers.map((c) => [
      c.node,
      c.leader ? 'leader' : '',
      c.shards,
      rounded(c.cores),
      rounded(c.residentMb),
      c.sockets,
    ]);
    printLine(table(['CONTROLLER', 'ROLE', 'SHARDS', 'CORES', 'MB', 'SOCKETS'], controllers));
    const trafficFlows = Object.entries(phase.traffic).filter(([, flow]) => flow.messages > 0);
    const rows = trafficFlows.map(([kind, flow]) => [kind, rounded(flow.messages), rounded(flow.bytes)]);
    printLine(`\n${table(['LINK AND KIND', 'MESSAGES/S', 'BYTES/S'], rows)}`);
    const { cores, residentMb, lagP99Ms } = phase.emulator;
    printLine(
      `stand-ins and workers: ${rounded(cores)} cores, ${rounded(residentMb)} MB, late by ${rounded(lagP99Ms)} ms (p99)`,
    );
  }
}

function printLoad(load: LoadReport): void {
  const rows = load.classes.flatMap((c) => [
    [c.name, 'submission to acceptance, s', ...percentileCells(c.submitMs, 1000), ''],
    [c.name, 'acceptance to start, s', ...percentileCells(c.waitS, 1), rounded(c.withinSecond)],
  ]);
  printLine(`\n${table(['CLASS', 'WHAT', 'COUNT', 'P50', 'P99', 'WORST', 'IN 1 S'], rows)}`);
  const unfinished = load.classes.reduce((n, c) => n + c.lost, 0);
  printLine(`\n${load.startsPeak} task starts in the busiest second; ${unfinished} jobs not over at the end`);
}

function percentileCells(
  summary: { count: number; p50: number; p99: number; max: number },
  unit: number,
): number[] {
  return [summary.count, ...[summary.p50, summary.p99, summary.max].map((n) => rounded(n / unit))];
}

function printReport(report: ScaleReport): void {
  printPhases(report);
  printLoad(report.load);
  const { allMs, unknown } = report.propagation;
  printLine(
    `changes known on all controllers: ${allMs.count}, p50 ${allMs.p50} ms, p99 ${allMs.p99} ms, worst ${allMs.max} ms; ${unknown} never`,
  );
  for (const cost of report.worker)
    printLine(
      `a worker alone, ${cost.phase}: ${rounded(cost.cores)} cores, ${rounded(cost.residentMb)} MB (empty ${rounded(cost.emptyResidentMb)} MB), ${rounded(cost.sentBytes)} and ${rounded(cost.receivedBytes)} bytes/s out and in`,
    );
  for (const violation of report.load.violations.slice(0, 20))
    printLine(`${violation.at} s: ${violation.rule}: ${violation.what}`);
  printLine(`${report.load.violations.length} broken rules, ${report.load.twice} tasks done twice`);
}

/** Adds the `scale` command, which measures a cluster of a given size on this machine. */
export function addScaleCommand(command: Command): void {
  addLocalOptions(
    command
      .command('scale <scenario>')
      .description('measure a cluster of a given size on this machine: real controllers, emulated workers')
      .option('--workers <n>', 'emulated workers, all running from the start', numberInRange(-1, 1e9), 300)
      .option('--teams <n>', 'teams with equal guarantees and limits', numberInRange(-1, 1e9), 6)
      .option(
        '--starts <n>',
        'task starts per second that are requested at the peak',
        numberInRange(-1, 1e9),
        40,
      )
      .option(
        '--change-every <s>',
        'seconds between changes whose propagation to all controllers is measured',
        numberInRange(0.05, 600, false),
        2,
      )
      .option(
        '--lone-s <s>',
        'seconds for each phase of the measurement of a single worker in its own process; 0 skips it',
        numberInRange(0, 120),
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
  if (flags.json) printLine(JSON.stringify(report));
  else printReport(report);
  // Unfinished jobs at the end of the run are no failure in themselves: a job that the cluster no longer knows is
  // reported among the violations.
  const { violations, twice } = report.load;
  process.exit(violations.length > 0 || twice > 0 ? EXIT.failed : EXIT.ok);
}
