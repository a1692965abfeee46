/**
 * Benchmark: rate of evaluation of match expressions, its growth with the number of machines, and the cost of match
 * expressions in a plan compared with native jobs.
 *
 *     node target/check/tests/condor/matching.js
 */
import { ClassAdMatcher } from '../../src/condor/matcher.js';
import { MachineTypeCatalog } from '../../src/context/machinetypecatalog.js';
import { NameTables } from '../../src/context/nametables.js';
import type { Match, PlanJob, PlanMachine } from '../../src/plan/model.js';
import { Plan } from '../../src/plan/plan.js';

const names = new NameTables();
const catalog = new MachineTypeCatalog(names);
catalog.set(
  Array.from({ length: 12 }, (_, i) => ({
    name: `t${i}`,
    cpus: 8 * (1 + (i % 4)),
    gpus: i % 3 === 0 ? 4 : 0,
    memoryGb: 32 * (1 + (i % 4)),
    cacheGb: 100,
    fetchGbPerS: 1,
    price: 1 + i / 10,
    spotPrice: 0.3,
    bootS: 30,
    zones: ['a', 'b'],
  })),
);
for (const z of ['a', 'b']) names.zones.index(z);

const machines = (n: number): PlanMachine[] =>
  Array.from({ length: n }, (_, i) => ({
    id: `m-${i}`,
    type: i % 12,
    zone: i % 2,
    spot: i % 5 === 0,
    size: catalog.size(i % 12),
    readyAt: 0,
    until: Number.POSITIVE_INFINITY,
    quarantined: false,
    fetchGbPerS: 1,
    images: new Set([i % 7]),
    running: [{ team: 0, end: 60, need: { cpus: 1 + (i % 5), gpus: 0, memoryGb: 2 } }],
  }));
const kindText = (i: number) =>
  `(Memory >= ${16_384 + i * 64}) && (Arch == "X86_64") && (OpSys == "LINUX") && (Zone == "a" || GPUs > ${i % 3}) && !regexp("^t${i % 12}$", MachineType)`;
const machineText = (i: number) => `${kindText(i)} && LoadAvg < ${1 + (i % 5)} && Machine != "m-${i}"`;

function perSecond(
  n: number,
  requirements: number,
  text: (i: number) => string,
): { first: number; again: number } {
  const matcher = new ClassAdMatcher(names, catalog);
  const registry = machines(n);
  const compiled = Array.from({ length: requirements }, (_, i) =>
    matcher.compile({ requirements: text(i), rank: null }),
  );
  const measurePass = () => {
    const startedAt = performance.now();
    let yes = 0;
    for (const m of compiled)
      for (const x of registry) if (m.kind(x.type, x.zone, x.spot) && (!m.machine || m.machine(x))) yes++;
    return { rate: (n * requirements) / ((performance.now() - startedAt) / 1000), yes };
  };
  const first = measurePass();
  const again = measurePass();
  if (first.yes !== again.yes || first.yes === 0)
    throw new Error('the same expression gave a different result');
  return { first: first.rate, again: again.rate };
}

const inThousands = (n: number) => `${Math.round(n / 1000)}k`;
for (const [what, text] of [
  ['by kind', kindText],
  ['by machine', machineText],
] as const)
  for (const [n, r] of [
    [250, 500],
    [500, 500],
    [1000, 500],
    [1000, 125],
  ] as const) {
    const { first, again } = perSecond(n, r, text);
    console.log(
      `${what}: ${n} machines, ${r} requirements: ${inThousands(first)} questions a second at first, ${inThousands(again)} again`,
    );
  }

/** Returns the median time, in milliseconds, of a plan of 400 jobs on 1,000 machines. */
function planMs(match: (i: number) => Match | null): number {
  const registry = machines(1000);
  const times = Array.from({ length: 15 }, () => {
    const startedAt = performance.now();
    const plan = new Plan(0, registry, [{ cpus: 0, gpus: 0 }]);
    for (let i = 0; i < 400; i++) {
      const job: PlanJob = {
        id: i,
        team: 0,
        kind: 'array',
        need: { cpus: 2, gpus: 0, memoryGb: 4 },
        types: null,
        zone: null,
        match: match(i),
        oneZone: false,
        spread: false,
        spot: true,
        image: i % 7,
        imageGb: 1,
        runS: 60,
        deadline: 1000,
        total: 2,
        tasks: [0, 1],
        placedByZone: new Map(),
      };
      plan.reserve(job);
    }
    return performance.now() - startedAt;
  });
  return times.sort((a, b) => a - b)[7]!;
}
const matcher = new ClassAdMatcher(names, catalog);
const native = planMs(() => null);
const byKind = planMs((i) => matcher.compile({ requirements: kindText(i), rank: null }));
const byMachine = planMs((i) => matcher.compile({ requirements: machineText(i), rank: null }));
console.log(
  `a plan of 400 jobs on 1,000 machines: native ${native.toFixed(1)} ms, by kind ${(byKind / native).toFixed(2)} times, by machine ${(byMachine / native).toFixed(2)} times`,
);
