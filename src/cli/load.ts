import { writeFileSync } from 'node:fs';
import { basename } from 'node:path';
import type { Command } from 'commander';
import type { LoadReport } from '../load/loadreport.js';
import { FAILED_SERVED_SHARE, LOW_SERVED_SHARE } from '../load/served.js';
import { addLocalOptions, type LocalFlags, startLocal } from './local.js';
import { EXIT, printLine, table } from './output.js';

const rounded = (n: number) => (n >= 100 ? Math.round(n) : Math.round(n * 100) / 100);

function printReport(report: LoadReport): void {
  const counts = report.classes.map((c) => [
    c.name,
    c.submitted,
    c.accepted,
    c.refused,
    c.done,
    c.cancelled,
    c.lost,
  ]);
  printLine(table(['CLASS', 'SUBMITTED', 'ACCEPTED', 'REFUSED', 'DONE', 'CANCELLED', 'LOST'], counts));
  const times = report.classes.flatMap((c) =>
    (
      [
        ['submitted ms', c.submitMs],
        ['started s', c.startS],
        ['finished s', c.finishS],
      ] as const
    ).map(([what, s]) => [c.name, what, rounded(s.p50), rounded(s.p90), rounded(s.p99), rounded(s.max)]),
  );
  printLine(`\n${table(['CLASS', 'WHAT', 'P50', 'P90', 'P99', 'MAX'], times)}`);
  printLine(
    `\n${report.violations.length} broken rules, ${report.twice} tasks done twice, ${rounded(report.spent)} spent (simulated machines)`,
  );
  const [lowest] = report.served;
  if (lowest) printLine(`lowest served: ${lowest.who}, ${lowest.what} ${rounded(lowest.share)}`);
  for (const s of report.served)
    if (s.share < LOW_SERVED_SHARE)
      printLine(`${s.share < FAILED_SERVED_SHARE ? 'FAILED' : 'low'}: ${s.who}, ${s.what}`);
  for (const violation of report.violations.slice(0, 20))
    printLine(`${violation.at} s: ${violation.rule}: ${violation.what}`);
}

/** Adds the `load` command, which runs a scenario of load and faults against a cluster on this machine. */
export function addLoadCommand(command: Command): void {
  addLocalOptions(
    command
      .command('load <scenario>')
      .description(
        'run a scenario of load and faults against a cluster on this machine, and check its invariants',
      )
      .option('--report <file>', 'write the report to a file: .json, or .html for a page with plots')
      .option('--json', 'print the report as JSON'),
    10,
  ).action(async (file: string, flags: LocalFlags & { report?: string; json?: boolean }) => {
    const [{ LoadRun }, { loadScenario }, { loadPlatform }, { createLogUpdate }] = await Promise.all([
      import('../load/loadrun.js'),
      import('../load/scenario.js'),
      import('../emulator/platform.js'),
      import('log-update'),
    ]);
    const scenario = loadScenario(file);
    const { cluster, stop } = await startLocal(flags);
    const progress = createLogUpdate(process.stderr);
    const run = new LoadRun(cluster, loadPlatform(flags.machines), scenario);
    const report = await run.run(basename(file), flags.speed, (line) => {
      if (process.stderr.isTTY) progress(line);
    });
    progress.done();
    await stop();
    if (flags.report?.endsWith('.html'))
      writeFileSync(flags.report, (await import('../load/page.js')).pageOf(report));
    else if (flags.report !== undefined) writeFileSync(flags.report, `${JSON.stringify(report, null, 1)}\n`);
    if (flags.json) printLine(JSON.stringify(report));
    else printReport(report);
    const lost = report.classes.some((c) => c.lost > 0);
    const unserved = report.served.some((s) => s.share < FAILED_SERVED_SHARE);
    process.exit(
      report.violations.length > 0 || lost || unserved || report.twice > 0 ? EXIT.failed : EXIT.ok,
    );
  });
}
