import assert from 'node:assert/strict';
import { FakeCluster } from './cluster.js';

export const SUBMIT_FILE_HEAD = 'executable = run.sh\naccounting_group = red\n';

/** Starts controllers that serve HTCondor submit files, with workers of two types. */
export function condorCluster(nodes: string[], workers = 4): FakeCluster {
  const cluster = new FakeCluster(nodes);
  cluster.condor = true;
  cluster.teams = [{ name: 'red', cpus: 64, cpusMax: 0, gpus: 0, gpusMax: 0 }];
  for (let i = 0; i < workers; i++) cluster.addWorker(i % 2 ? 'g8' : 'c8', i % 3 ? 'a' : 'b');
  for (const n of nodes) cluster.startNode(n);
  return cluster;
}

/**
 * Retries a request to a node, also across restarts, until the response is neither a server error nor a rate limit.
 */
export async function requestWithRetry(
  cluster: FakeCluster,
  node: string,
  method: string,
  path: string,
  body: object | null = null,
) {
  for (let i = 0; i < 60; i++) {
    if (!cluster.nodes.has(node)) {
      await cluster.clock.advance(500);
      continue;
    }
    const mark = path.indexOf('?');
    const request = cluster.request(method, mark < 0 ? path : path.slice(0, mark), body);
    request.query = new URLSearchParams(mark < 0 ? '' : path.slice(mark + 1));
    const reply = await cluster.answered(cluster.nodes.get(node)!.api.handle(request));
    if (reply.status < 500 && reply.status !== 429)
      return { status: reply.status, body: JSON.parse(JSON.stringify(reply.body)) };
    await cluster.clock.advance(500);
  }
  return { status: 503, body: {} };
}

export const submission = (text: string, n = 0) => ({
  submission: `submission-${n}`,
  text: SUBMIT_FILE_HEAD + text,
  user: 'ann',
});

/** Completes running tasks every 400 ms, and counts how often each task was completed. */
export function completeRunningTasks(cluster: FakeCluster) {
  const done = new Map<string, number>();
  const step = () => {
    for (const w of cluster.workers)
      for (const a of w.attempts)
        if (a.state === 'running') {
          done.set(a.task, (done.get(a.task) ?? 0) + 1);
          w.endTask(a.task, 'done');
        }
    cluster.clock.after(400, step);
  };
  step();
  return { done };
}

/**
 * Expands a cluster of `procs` processes while nodes crash: the node that makes a durable write of the expansion
 * whose number is `first` modulo `every` is killed and restarted, at most `most` times. Alternately only the answer
 * to that write is lost, or the write itself. Returns the number of kills.
 */
export async function expandThroughCrashes(
  procs: number,
  every: number,
  first: number,
  most: number,
): Promise<number> {
  const cluster = condorCluster(['n0', 'n1'], 8);
  const { done } = completeRunningTasks(cluster);
  let steps = 0;
  let kills = 0;
  const accepted = await requestWithRetry(
    cluster,
    'n0',
    'POST',
    '/condor/clusters',
    submission(`request_cpus = 1\nqueue ${procs}`),
  );
  assert.deepEqual([accepted.status, accepted.body.cluster, accepted.body.procs], [201, 1, procs]);
  cluster.net.outcomeOf = (from, _addr, method, path, body) => {
    const text = method === 'POST' && path === '/txn' ? JSON.stringify(body) : '';
    if (!text.includes('condor/') && !text.includes('act/wk-condor')) return 'deliver';
    if (++steps % every !== first || kills >= most || !cluster.nodes.has(from)) return 'deliver';
    kills++;
    cluster.killNode(from);
    cluster.clock.after(700, () => cluster.startNode(from));
    return kills % 2 ? 'lost-answer' : 'silent';
  };
  const hasEnded = () => cluster.state.value('condor/over/00000001') !== undefined;
  assert.ok(
    await cluster.clock.until(hasEnded, 4_000_000),
    `${done.size} of ${procs} done after ${kills} kills`,
  );
  assert.ok(kills > 2, 'the test kills nodes');
  const ids = [...cluster.state.items.keys()]
    .filter((k) => k.startsWith('job/wk-condor-'))
    .map((k) => k.slice(4));
  assert.equal(ids.length, procs);
  assert.equal([...cluster.state.items.keys()].filter((k) => k.startsWith('act/wk-condor')).length, 0);
  for (const id of ids)
    assert.equal((cluster.state.value(`job/${id}`) as { final: string }).final, 'done', id);
  assert.equal(done.size, procs);
  // If a node dies after a task completes and before that is stored, the worker reports the completion again: the
  // task does not run twice.
  for (const [task, n] of done) assert.equal(n, 1, task);
  return kills;
}
