import assert from 'node:assert/strict';
import { FakeCluster, job } from './cluster.js';

export const NODES = ['n0', 'n1', 'n2'];

/**
 * Starts a cluster with a single team, whose shard owns all machines, and jobs `wk-1` to `wk-N` of three running
 * tasks each. `shard` is the number of that shard.
 */
export async function startBusyCluster(jobs: number): Promise<{ cluster: FakeCluster; shard: number }> {
  const cluster = new FakeCluster(NODES);
  cluster.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  cluster.standby = true;
  for (let i = 0; i < jobs * 3; i++) cluster.addWorker('c8', 'a');
  for (const n of NODES) cluster.startNode(n);
  await cluster.clock.advance(8000);
  for (let i = 1; i <= jobs; i++)
    assert.ok(await cluster.submit('n1', job(`wk-${i}`, { pieces: 3, cpus: 8, expectedS: 600 })));
  assert.ok(await cluster.clock.until(() => cluster.attempts === jobs * 3, 20_000));
  await cluster.clock.advance(4000);
  return { cluster: cluster, shard: cluster.shardOf('wk-1') };
}

/** Counts the attempts of a job that workers still hold; each worker first checks its lease against its own clock. */
export const countRunningAttempts = (c: FakeCluster, id: string) =>
  c.workers.flatMap((w) => {
    w.checkLease();
    return w.attempts.filter((a) => a.job === id && a.state !== 'exited');
  }).length;

export async function jobStatus(c: FakeCluster, node: string, id: string): Promise<string | number> {
  const reply = await c.call(node, 'GET', `/api/jobs/${id}`);
  return reply.status === 200 ? (reply.body as { status: string }).status : reply.status;
}
