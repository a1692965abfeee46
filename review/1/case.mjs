// One machine of a gang is taken back. The machine that replaces it needs some 34 s to fetch the image, and the other
// machine, which has the image, waits 30 s (gang_wait_s). Each time the wait is over, the controllers stop the tasks that
// fetch, so that the fetch is given up, and begin the same again: the gang never runs.
import { job, ROWERY, ROWERY_TYPES, runCase, sleep, TROUBLE } from '../common/cluster.mjs';

const options = {
  ...ROWERY,
  types: [ROWERY_TYPES.wisla],
  capacity: [{ type: 'wisla-node', zone: 'krakow-podgorze', count: 1, spot: 2, up: 0 }],
  // The named rate "give or take a third": the cheap machines are a third faster, the ordinary one is a third slower.
  fetchTimes: (_machine, { spot }) => (spot ? 1 / 1.33 : 1.5),
};
const LEFT_WAITING_S = 90;

await runCase(import.meta.url, options, async (c) => {
  const gang = 'wk-000101';
  const fields = { owner: 'depot-crew', jobClass: 'dawn-rebalance', shape: 'ensemble', urgency: 'urgent', pieces: 4, cpus: 15, cards: 0, memoryGb: 51 };
  const answer = await c.submit(job(gang, { ...fields, bundle: 'img-09', pullGb: 9, oneZone: true, loaner: true, expectedS: 60, saveEveryS: 20, savingS: 2 }), 50);
  if (answer.status !== 201) throw new Error(`not accepted: ${answer.status}`);
  await c.until(() => c.running(gang) === 4, 45, 'the gang runs');
  const spots = [...c.machines.values()].filter((m) => m.worker.identity.spot).map((m) => m.worker.id);
  if (spots.length !== 2) throw new Error(`${spots.length} spot machines`);
  const runBefore = c.tasks.history.length;
  await sleep(500);
  if (TROUBLE) c.takeBack(spots[1]);
  const overAt = Date.now();
  let ranAgain = false;
  while (Date.now() - overAt < LEFT_WAITING_S * 1000) {
    if (!TROUBLE && c.tasks.history.some((e) => e.cause === 'done')) return { broken: false, why: 'the gang ran to its end' };
    ranAgain = Date.now() - overAt > 2 * ROWERY.workers.gang_peer_s * 1000 && c.running(gang) === 4;
    if (TROUBLE && ranAgain) return { broken: false, why: `the gang ran again ${((Date.now() - overAt) / 1000).toFixed(1)} s after the loss` };
    await sleep(200);
  }
  if (!TROUBLE) throw new Error('the gang did not end');
  const events = c.tasks.history.slice(runBefore);
  const tries = new Set(events.map((e) => e.attempt)).size;
  const incomplete = events.filter((e) => e.cause === 'alone').length;
  await c.user(c.controllers[0], 'GET', `/api/jobs/${gang}`);
  return {
    broken: true,
    why: `the gang has not run again for ${LEFT_WAITING_S} s, although two machines with room for it are up (${[...c.machines.keys()].join(', ')}); ${incomplete} tasks ended as incomplete, in ${tries} tries`,
  };
});
