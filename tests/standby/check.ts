import { Random } from '../../src/emulator/random.js';
import { explore, randomWalk } from '../../src/modelcheck/explore.js';
import { type Bounds, GUARDED, PRODUCTION, standbyLeaseModel } from '../../src/modelcheck/standbylease.js';

// Walks the promise between owner and standby much further than the tests do; some minutes, in a process of its own.
const STATES = 1_500_000;
const base: Bounds = {
  ticks: 6,
  messages: 2,
  writes: 1,
  namings: 2,
  runs: 1,
  returns: true,
  reports: 0,
  task: false,
  guards: GUARDED,
};
const WALKS: { what: string; bounds: Bounds }[] = [
  { what: 'two messages, two namings', bounds: base },
  { what: 'two runs of the standby', bounds: { ...base, messages: 1, runs: 2, namings: 2 } },
  { what: 'two writes', bounds: { ...base, writes: 2, namings: 1 } },
  { what: 'with the task', bounds: { ...base, messages: 1, ticks: 4, namings: 2, reports: 2, task: true } },
];
let bad = 0;
const print = (line: string) => process.stdout.write(`${line}\n`);
for (const { what, bounds } of WALKS) {
  const found = explore(standbyLeaseModel(PRODUCTION, bounds), STATES);
  print(`${what}: ${found.states} states${found.truncated ? ', cut at the bound' : ', all of them'}`);
  if (!found.violation) continue;
  bad++;
  print(`  ${found.violation.what}: ${found.violation.steps.join('; ')}`);
}
const far = standbyLeaseModel(PRODUCTION, {
  ...base,
  ticks: 60,
  messages: 5,
  writes: 4,
  namings: 9,
  runs: 6,
  returns: false,
  reports: 20,
  task: true,
});
const SEEDS = 20_000;
for (let seed = 1; seed <= SEEDS; seed++) {
  const random = new Random(seed);
  const wrong = randomWalk(far, () => random.next(), 400);
  if (!wrong) continue;
  bad++;
  print(`seed ${seed}: ${wrong.what}: ${wrong.steps.join('; ')}`);
}
print(`${SEEDS} random walks of 400 steps, ${bad} things wrong`);
process.exitCode = bad > 0 ? 1 : 0;
