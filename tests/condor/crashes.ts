/**
 * Expands 5,000 processes while whoever expands, or owns what they become, is killed at durable steps, on a fake clock.
 * Not part of the tests for its length.
 *
 *     node target/check/tests/condor/crashes.js [PROCESSES]
 */
import { expandThroughCrashes } from '../support/condor.js';

const procs = Number(process.argv[2] ?? 5000);
for (const [every, first] of [
  [211, 1],
  [211, 100],
] as const) {
  const startedAt = performance.now();
  const kills = await expandThroughCrashes(procs, every, first, 60);
  console.log(
    `${procs} processes, ${kills} kills: each a job once, each done once; ${Math.round((performance.now() - startedAt) / 1000)} s`,
  );
}
process.exit(0);
