/**
 * Replays the submit files of examples/condor on a local cluster and the same jobs, submitted natively, on a
 * second one, and compares where and in which order they start. Not part of the tests, because it runs in real
 * time.
 *
 *     npm run check:condor [-- FILE...]
 */
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import { Ad } from '../../src/classad/ast.js';
import { evaluate } from '../../src/classad/evaluate.js';
import { parseExpr } from '../../src/classad/parser.js';
import { readItemRows } from '../../src/cli/condor.js';
import { SpartrayClient } from '../../src/client/client.js';
import { CondorClient } from '../../src/client/condor.js';
import { pause, systemClock } from '../../src/clock/clock.js';
import { parseSubmit } from '../../src/condor/language.js';
import { kindAd } from '../../src/condor/matcher.js';
import { ClusterPlan } from '../../src/condor/procs.js';
import { LocalCluster } from '../../src/emulator/local.js';
import { loadPlatform, typesOf } from '../../src/emulator/platform.js';
import { HttpClient } from '../../src/http/client.js';
import type { JobSpec } from '../../src/wire/users.js';

const SPEED = 20;
const DIR = 'examples/condor';
const JOB_TIMEOUT_S = 400;
/** Starts closer than this count as simultaneous: commands travel in answers to heartbeats, which come every 3 s. */
const SIMULTANEOUS_MS = 4000;
const MAX_CONCURRENT_CHECKS = 3;

interface Placement {
  kind: string;
  at: number;
}

/**
 * Returns a platform whose machines are all up from the start, without random events that would make runs
 * differ.
 */
function platform() {
  const p = loadPlatform('builtin');
  for (const c of p.capacity)
    Object.assign(c, { count: c.type === 'gpu' ? 1 : 2, spot: 0, up: c.type === 'gpu' ? 1 : 2 });
  p.spot.per_hour = 0;
  p.boot_fail = 0;
  return p;
}

async function runOnCluster(
  port: number,
  work: (cluster: LocalCluster, client: SpartrayClient) => Promise<string[]>,
): Promise<Map<string, Placement[]>> {
  const data = mkdtempSync(join(tmpdir(), 'spartray-check-'));
  const cluster = new LocalCluster({
    platform: platform(),
    controllers: 1,
    speed: SPEED,
    data,
    port,
    seed: 5,
    program: 'target/main.js',
    flags: ['--condor', '--depot', `127.0.0.1:${port + 1}`],
    onError: (what) => console.error(what),
  });
  const http = new HttpClient(cluster.clock, { maxSockets: 32, maxBodyBytes: 1e6 });
  try {
    await cluster.start();
    const client = new SpartrayClient(cluster.clock, http, {
      servers: [cluster.users],
      depot: cluster.depot,
    });
    const until = cluster.clock.now() + 60_000;
    while (
      [...cluster.machines.values()].some((m) => m.worker.fencingToken === 0) &&
      cluster.clock.now() < until
    )
      await pause(cluster.clock, 500);
    const ids = await work(cluster, client);
    const views = await Promise.all(ids.map((id) => client.wait(id, JOB_TIMEOUT_S)));
    ids.forEach((id, i) => {
      if (views[i]?.status !== 'done') throw new Error(`${id} is ${views[i]?.status ?? 'unknown'}`);
    });
    const placements = new Map<string, Placement[]>();
    for (const e of cluster.tasks.history) {
      if (e.kind !== 'on') continue;
      const list = placements.get(e.job) ?? [];
      list.push({ kind: `${e.type} ${e.zone} ${e.spot ? 'spot' : 'ordinary'}`, at: e.at });
      placements.set(e.job, list);
    }
    return placements;
  } finally {
    http.close();
    await cluster.stop();
    rmSync(data, { recursive: true, force: true });
  }
}

/**
 * Expresses the job without match expressions; null when machine types and a zone cannot express its
 * requirements.
 */
function toNativeSpec(spec: JobSpec): JobSpec | null {
  const { match, ...job } = spec;
  if (!match) return job;
  const requirements = parseExpr(match.requirements);
  const kinds = typesOf(platform()).flatMap((t) =>
    t.zones.flatMap((zone) =>
      [false, true].map((spot) => ({ type: t.name, zone, spot, ad: kindAd(t, zone, spot) })),
    ),
  );
  if (/Machine\b(?!Type)|LoadAvg|Name|Cached/.test(match.requirements) || match.rank !== null) return null;
  const fits = kinds.filter((k) => evaluate(requirements, { my: new Ad(), target: k.ad }) === true);
  const types = [...new Set(fits.map((k) => k.type))];
  const zones = [...new Set(fits.map((k) => k.zone))];
  const spot = fits.some((k) => k.spot);
  const covered = kinds.filter((k) => types.includes(k.type) && zones.includes(k.zone) && (spot || !k.spot));
  const zone = zones.length === 1 ? zones[0]! : null;
  const offeredZones = new Set(kinds.filter((k) => types.includes(k.type)).map((k) => k.zone)).size;
  if (covered.length !== fits.length || (zone === null && zones.length !== offeredZones)) return null;
  return { ...job, types, zone, spot: job.spot && spot };
}

/** Returns the processes grouped by start time, in order; simultaneous starts are one group. */
function order(ids: string[], placements: Map<string, Placement[]>): number[][] {
  const at = ids.map((id, i) => ({ i, at: placements.get(id)?.[0]?.at ?? Number.POSITIVE_INFINITY }));
  at.sort((a, b) => a.at - b.at);
  const groups: number[][] = [];
  let first = Number.NEGATIVE_INFINITY;
  for (const x of at) {
    if (x.at - first > SIMULTANEOUS_MS) {
      groups.push([]);
      first = x.at;
    }
    groups.at(-1)!.push(x.i);
  }
  return groups;
}

/**
 * Returns whether no two processes start clearly in one order in one run and clearly in the opposite order in
 * the other.
 */
function sameOrder(a: number[][], b: number[][]): boolean {
  const rank = new Map(b.flatMap((g, r) => g.map((i) => [i, r] as const)));
  for (const [r, group] of a.entries())
    for (const later of a.slice(r + 2).flat())
      for (const i of group) if (rank.get(later)! < rank.get(i)! - 1) return false;
  return true;
}

async function check(file: string, port: number): Promise<string[]> {
  const text = readFileSync(join(DIR, file), 'utf8');
  const rows = readItemRows(parseSubmit(text), DIR);
  const plan = new ClusterPlan(
    { text, rows, user: 'check', at: 0 },
    { teams: ['red', 'blue', 'guests'], team: null, neverRunsReason: () => null },
  );
  const procs = Array.from({ length: plan.total }, (_, n) => plan.proc(1, n).spec);
  const ids = procs.map((_, n) => `wk-condor-1-${n}`);
  const condor = await runOnCluster(port, async (_, client) => {
    const made = await new CondorClient(client).submit(text, rows, 'check');
    if (made.procs !== plan.total || made.cluster !== 1)
      throw new Error(`cluster ${made.cluster} of ${made.procs}`);
    // The processes become jobs one after the other.
    while ((await Promise.all(ids.map((id) => client.status(id)))).includes(null))
      await pause(systemClock, 50);
    return ids;
  });
  const native = procs.map(toNativeSpec);
  if (native.includes(null)) {
    const match = plan.proc(1, 0).spec.match!;
    const requirements = parseExpr(match.requirements);
    for (const p of [...condor.values()].flat()) {
      const [type, zone, spot] = p.kind.split(' ');
      const ad = kindAd(typesOf(platform()).find((t) => t.name === type)!, zone!, spot === 'spot');
      if (evaluate(requirements, { my: new Ad(), target: ad }) === false)
        return [`DIFFERENT: ${p.kind} does not match`];
    }
    const kinds = [...new Set([...condor.values()].flat().map((p) => p.kind))].sort().join(', ');
    return [
      `cannot be expressed natively: ${match.requirements}${match.rank === null ? '' : ` rank ${match.rank}`}; started on ${kinds}`,
    ];
  }
  const nativePlacements = await runOnCluster(port, async (_, client) => {
    for (const [n, spec] of native.entries()) await client.submit({ ...spec!, id: ids[n]! });
    return ids;
  });
  const differences: string[] = [];
  const kinds = (placements: Map<string, Placement[]>) =>
    ids.flatMap((id) => placements.get(id)?.map((p) => p.kind) ?? []).sort();
  const [condorKinds, nativeKinds] = [kinds(condor), kinds(nativePlacements)];
  if (condorKinds.join() !== nativeKinds.join())
    differences.push(`DIFFERENT places: ${condorKinds.join(', ')} against ${nativeKinds.join(', ')}`);
  const [condorOrder, nativeOrder] = [order(ids, condor), order(ids, nativePlacements)];
  if (!sameOrder(condorOrder, nativeOrder))
    differences.push(
      `DIFFERENT order: ${JSON.stringify(condorOrder)} against ${JSON.stringify(nativeOrder)}`,
    );
  return differences;
}

const files =
  process.argv.slice(2).length > 0
    ? process.argv.slice(2).map((f) => basename(f))
    : readdirSync(DIR)
        .filter((f) => f.endsWith('.sub'))
        .sort();
let failedFiles = 0;
const queue = [...files];
await Promise.all(
  Array.from({ length: MAX_CONCURRENT_CHECKS }, async (_, lane) => {
    for (let file = queue.shift(); file; file = queue.shift()) {
      const findings = await check(file, 20_000 + lane * 3000).catch((error) => [
        `DIFFERENT: ${error instanceof Error ? error.message : error}`,
      ]);
      if (findings.some((s) => s.startsWith('DIFFERENT'))) failedFiles++;
      console.log(`${file}: ${findings.length === 0 ? 'equal' : findings.join('; ')}`);
    }
  }),
);
console.log(`${files.length} files, ${failedFiles} with differences`);
process.exit(failedFiles === 0 ? 0 : 1);
