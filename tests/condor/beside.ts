/**
 * Benchmark: start delay of morning gangs on a local cluster in four variants: alone; during the expansion of a
 * large cluster that matches no machine, which shows the cost of expansion itself; next to a running cluster of
 * low priority; and next to the same work as one native array. The variants take turns with the same seeds.
 *
 *     node target/check/tests/condor/beside.js [RUNS] [PROCESSES]
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SpartrayClient } from '../../src/client/client.js';
import { CondorClient } from '../../src/client/condor.js';
import { readJobFile } from '../../src/client/jobfile.js';
import { LocalCluster } from '../../src/emulator/local.js';
import { loadPlatform } from '../../src/emulator/platform.js';
import { HttpClient } from '../../src/http/client.js';
import { LoadRun } from '../../src/load/loadrun.js';
import { loadScenario } from '../../src/load/scenario.js';

const runs = Number(process.argv[2] ?? 3);
const procs = Number(process.argv[3] ?? 3000);
const SPEED = 8;
type Variant = 'alone' | 'expanding' | 'beside' | 'native';
const VARIANTS: Variant[] = ['alone', 'expanding', 'beside', 'native'];
const submitFile = (requirements: string) =>
  `executable = backfill\naccounting_group = guests\nnice_user = true\nrequest_cpus = 1\nrequest_memory = 512\nrequirements = ${requirements}\n+ExpectedRunSeconds = 20\nqueue ${procs}\n`;
const ARRAY = JSON.stringify({
  id: 'wk-beside',
  owner: 'guests',
  urgency: 'low',
  pieces: procs,
  cpus: 1,
  memoryGb: 0.5,
  loaner: true,
  expectedS: 20,
});

async function runVariant(
  seed: number,
  variant: Variant,
): Promise<{ p50: number; p90: number; mean: number; submit: number }> {
  const platform = loadPlatform('builtin');
  platform.spot.per_hour = 0;
  platform.boot_fail = 0;
  // Long boot times would hide all other effects: the processes keep machines up that, with gangs alone, are
  // idle and returned.
  for (const t of platform.machine_types) t.boot_s = 2;
  for (const c of platform.capacity) Object.assign(c, { up: Math.min(c.count, 4) });
  const data = mkdtempSync(join(tmpdir(), 'spartray-beside-'));
  const flags = ['--condor', '--depot', '127.0.0.1:30001'];
  const onError = (what: string) => console.error(what);
  const cluster = new LocalCluster({
    platform,
    controllers: 3,
    speed: SPEED,
    data,
    port: 30_000,
    seed,
    program: 'target/main.js',
    flags,
    onError,
  });
  await cluster.start();
  const http = new HttpClient(cluster.clock, { maxSockets: 8, maxBodyBytes: 1e6 });
  const client = new SpartrayClient(cluster.clock, http, { servers: [cluster.users], depot: cluster.depot });
  if (variant === 'expanding')
    await new CondorClient(client).submit(submitFile('Memory > 1000000000'), {}, 'beside');
  if (variant === 'beside') await new CondorClient(client).submit(submitFile('true'), {}, 'beside');
  if (variant === 'native')
    for (const o of readJobFile(ARRAY, 'json')) await client.submit(o.spec, o.emulation);
  const scenario = {
    ...loadScenario('examples/morning.toml'),
    seed,
    faults: [],
    duration_s: 200,
    drain_s: 200,
  };
  scenario.classes = scenario.classes.filter((c) => c.name === 'cutoff').map((c) => ({ ...c, a_minute: 12 }));
  const result = await new LoadRun(cluster, platform, scenario).run('beside', SPEED, () => undefined);
  http.close();
  await cluster.stop();
  rmSync(data, { recursive: true, force: true });
  // Jobs of the submitted cluster are not part of the load's own jobs.
  const violations = result.violations.filter((x) => !/^wk-(condor-|beside)/.test(x.what));
  if (violations.length > 0) throw new Error(JSON.stringify(violations[0]));
  const accepted =
    cluster.state.value('condor/next') === undefined
      ? 0
      : [...cluster.state.items.keys()].filter((k) => /^(act|job)\/wk-condor-/.test(k)).length;
  const cutoff = result.classes[0]!;
  console.log(
    `seed ${seed} ${variant} (${accepted} processes became jobs): ${cutoff.done} gangs; started s mean ${cutoff.startS.mean.toFixed(2)} p50 ${cutoff.startS.p50.toFixed(2)} p90 ${cutoff.startS.p90.toFixed(2)}, submitted ms p50 ${cutoff.submitMs.p50}`,
  );
  return {
    p50: cutoff.startS.p50,
    p90: cutoff.startS.p90,
    mean: cutoff.startS.mean,
    submit: cutoff.submitMs.p50,
  };
}

const sums = new Map(VARIANTS.map((w) => [w, { mean: 0, p90: 0 }]));
for (let seed = 1; seed <= runs; seed++)
  for (const variant of seed % 2 ? VARIANTS : [...VARIANTS].reverse()) {
    const r = await runVariant(seed, variant);
    sums.get(variant)!.mean += r.mean / runs;
    sums.get(variant)!.p90 += r.p90 / runs;
  }
const ratio = (a: Variant, b: Variant) =>
  `${a} against ${b}: mean ${(sums.get(a)!.mean / sums.get(b)!.mean).toFixed(2)}, p90 ${(sums.get(a)!.p90 / sums.get(b)!.p90).toFixed(2)} times`;
console.log(`${ratio('expanding', 'alone')}; ${ratio('beside', 'native')} (simulated machines)`);
process.exit(0);
