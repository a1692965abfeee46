import { Random } from '../../src/emulator/random.js';
import { explore, randomWalk } from '../../src/modelcheck/explore.js';
import { type Bounds, GUARDED, PRODUCTION, standbyLeaseModel } from '../../src/modelcheck/standbylease.js';

// Checks the lease between owner and standby to a much greater depth than the tests; takes some minutes and runs as a
// separate process.
const STATES = 1_500_000;
const base: Bounds = {
  ticks: 6,
  messages: 2,
  writes: 1,
  namings: 2,
  incarnations: 1,
  ownerRestarts: true,
  reports: 0,
  task: false,
  guards: GUARDED,
};
const WALKS: { name: string; bounds: Bounds }[] = [
  { name: 'two messages, two namings', bounds: base },
  { name: 'two incarnations of the standby', bounds: { ...base, messages: 1, incarnations: 2, namings: 2 } },
  { name: 'two writes', bounds: { ...base, writes: 2, namings: 1 } },
  { name: 'with the task', bounds: { ...base, messages: 1, ticks: 4, namings: 2, reports: 2, task: true } },
];
let violations = 0;
const print = (line: string) => process.stdout.write(`${line}\n`);
for (const { name, bounds } of WALKS) {
  const result = explore(standbyLeaseModel(PRODUCTION, bounds), STATES);
  print(`${name}: ${result.states} states${result.truncated ? ', truncated at the limit' : ', exhaustive'}`);
  if (!result.violation) continue;
  violations++;
  print(`  ${result.violation.message}: ${result.violation.steps.join('; ')}`);
}
const deepModel = standbyLeaseModel(PRODUCTION, {
  ...base,
  ticks: 60,
  messages: 5,
  writes: 4,
  namings: 9,
  incarnations: 6,
  ownerRestarts: false,
  reports: 20,
  task: true,
});
const SEEDS = 20_000;
for (let seed = 1; seed <= SEEDS; seed++) {
  const random = new Random(seed);
  const violation = randomWalk(deepModel, () => random.next(), 400);
  if (!violation) continue;
  violations++;
  print(`seed ${seed}: ${violation.message}: ${violation.steps.join('; ')}`);
}
print(`${SEEDS} random walks of 400 steps, ${violations} violations in total`);
process.exitCode = violations > 0 ? 1 : 0;
