import assert from 'node:assert/strict';
import { FakeCluster, job } from './cluster.js';

export const NODES = ['n0', 'n1', 'n2'];

/** A cluster whose machines all belong to the shard of the only team, with jobs `wk-1` to `wk-N` of three tasks that run. */
export async function busy(jobs: number): Promise<{ c: FakeCluster; k: number }> {
  const c = new FakeCluster(NODES);
  c.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  c.standby = true;
  for (let i = 0; i < jobs * 3; i++) c.addWorker('c8', 'a');
  for (const n of NODES) c.startNode(n);
  await c.clock.advance(8000);
  for (let i = 1; i <= jobs; i++)
    assert.ok(await c.submit('n1', job(`wk-${i}`, { pieces: 3, cpus: 8, expectedS: 600 })));
  assert.ok(await c.clock.until(() => c.attempts === jobs * 3, 20_000));
  await c.clock.advance(4000);
  return { c, k: c.shardOf('wk-1') };
}

/** Attempts of a job on machines, by what those have; leases end by their own clocks. */
export const running = (c: FakeCluster, id: string) =>
  c.workers.flatMap((w) => {
    w.checkLease();
    return w.attempts.filter((a) => a.job === id && a.state !== 'exited');
  }).length;

export async function status(c: FakeCluster, node: string, id: string): Promise<string | number> {
  const reply = await c.call(node, 'GET', `/api/jobs/${id}`);
  return reply.status === 200 ? (reply.body as { status: string }).status : reply.status;
}
