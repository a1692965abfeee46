import { writeFileSync } from 'node:fs';
import { basename } from 'node:path';
import type { Command } from 'commander';
import type { LoadReport } from '../load/loadreport.js';
import { FAILED_SERVED_SHARE, LOW_SERVED_SHARE } from '../load/served.js';
import { type LocalFlags, localOptions, startLocal } from './local.js';
import { EXIT, say, table } from './output.js';

const rounded = (n: number) => (n >= 100 ? Math.round(n) : Math.round(n * 100) / 100);

function print(r: LoadReport): void {
  const counts = r.classes.map((c) => [
    c.name,
    c.submitted,
    c.accepted,
    c.refused,
    c.done,
    c.cancelled,
    c.lost,
  ]);
  say(table(['CLASS', 'SUBMITTED', 'ACCEPTED', 'REFUSED', 'DONE', 'CANCELLED', 'LOST'], counts));
  const times = r.classes.flatMap((c) =>
    (
      [
        ['submitted ms', c.submitMs],
        ['started s', c.startS],
        ['finished s', c.finishS],
      ] as const
    ).map(([what, s]) => [c.name, what, rounded(s.p50), rounded(s.p90), rounded(s.p99), rounded(s.max)]),
  );
  say(`\n${table(['CLASS', 'WHAT', 'P50', 'P90', 'P99', 'MAX'], times)}`);
  say(
    `\n${r.violations.length} broken rules, ${r.twice} tasks done twice, ${rounded(r.spent)} spent (simulated machines)`,
  );
  const [lowest] = r.served;
  if (lowest) say(`lowest served: ${lowest.who}, ${lowest.what} ${rounded(lowest.share)}`);
  for (const s of r.served)
    if (s.share < LOW_SERVED_SHARE)
      say(`${s.share < FAILED_SERVED_SHARE ? 'FAILED' : 'low'}: ${s.who}, ${s.what}`);
  for (const x of r.violations.slice(0, 20)) say(`${x.at} s: ${x.rule}: ${x.what}`);
}

/** The command that plays load and faults on a cluster on this machine: load. */
export function addLoadCommand(command: Command): void {
  localOptions(
    command
      .command('load <scenario>')
      .description('play a scenario of load and faults on a cluster on this machine, and check the rules')
      .option('--report <file>', 'write the report: .json, or .html for a page with plots')
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
    const live = createLogUpdate(process.stderr);
    const load = new LoadRun(cluster, loadPlatform(flags.machines), scenario);
    const report = await load.run(basename(file), flags.speed, (line) => {
      if (process.stderr.isTTY) live(line);
    });
    live.done();
    await stop();
    if (flags.report?.endsWith('.html'))
      writeFileSync(flags.report, (await import('../load/page.js')).pageOf(report));
    else if (flags.report !== undefined) writeFileSync(flags.report, `${JSON.stringify(report, null, 1)}\n`);
    if (flags.json) say(JSON.stringify(report));
    else print(report);
    const lost = report.classes.some((c) => c.lost > 0);
    const unserved = report.served.some((s) => s.share < FAILED_SERVED_SHARE);
    process.exit(
      report.violations.length > 0 || lost || unserved || report.twice > 0 ? EXIT.failed : EXIT.ok,
    );
  });
}
