/**
 * Expands 5,000 processes on a fake clock, while the expander, or the owner of the jobs, is killed at durable
 * steps. Not part of the tests, because it takes long.
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
