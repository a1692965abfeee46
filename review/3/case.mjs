// A machine that carries 48 small tasks takes no further task of an array, however much of it is free and whatever the
// job's priority. A spot machine is taken back; a production job is then left waiting beside 20 free CPUs.
import { job, LANCHI, LANCHI_TYPES, runCase, sleep, TROUBLE } from '../common/cluster.mjs';

const options = {
  ...LANCHI,
  types: [LANCHI_TYPES.khachapuri, LANCHI_TYPES.pkhali],
  capacity: [
    { type: 'khachapuri-small', zone: 'tbilisi-east', count: 3, spot: 3, up: 0 },
    { type: 'pkhali-mid', zone: 'tbilisi-east', count: 1, spot: 1, up: 0 },
  ],
};
const LEFT_WAITING_S = 90;

await runCase(import.meta.url, options, async (c) => {
  const other = 'wk-000100';
  const sync = 'wk-000101';
  const lists = 'wk-000102';
  const morning = 'wk-000103';
  // A task on another spot machine, so that the wave takes half of them.
  await c.submit(job(other, { owner: 'platform-ops', jobClass: 'menu-intake', cpus: 2, cards: 0, memoryGb: 4, loaner: true, expectedS: 150 }), 150);
  // A service of 48 small replicas: 12 CPUs and 24 GB in all, on one ordinary machine of 32 CPUs and 128 GB.
  await c.submit(job(sync, { owner: 'kitchen-apps', jobClass: 'menu-sync', shape: 'standing', urgency: 'low', pieces: 48, cpus: 0.25, cards: 0, memoryGb: 0.5, flavors: ['pkhali-mid'], expectedS: 0 }), null);
  await c.until(() => c.running(sync) === 48 && c.running(other) === 1, 40, 'the service runs');
  const machine = c.machineOf(sync);
  // A job of 10 CPUs, on the cheap machine.
  await c.submit(job(lists, { owner: 'kitchen-apps', jobClass: 'prep-lists', cpus: 10, cards: 0, memoryGb: 20, loaner: true, expectedS: 100 }), 100);
  const taken = await c.until(() => c.running(lists) === 1 && c.machineOf(lists), 30, 'the job runs on the spot machine');
  c.record.line(`${sync} on ${machine}, where this is free: ${JSON.stringify(c.free(machine))}; ${lists} on ${taken}`);
  if (taken === machine) throw new Error('the job fits beside the service');
  if (TROUBLE) c.takeBack(taken);
  await sleep(500);
  // From here on there is no trouble. A production job of 10 CPUs and 20 GB.
  const answer = await c.submit(job(morning, { owner: 'kitchen-apps', jobClass: 'prep-lists', urgency: 'production', cpus: 10, cards: 0, memoryGb: 20, loaner: true, expectedS: 20 }), 20);
  if (answer.status !== 201) throw new Error(`not accepted: ${answer.status}`);
  const acceptedAt = Date.now();
  while (Date.now() - acceptedAt < LEFT_WAITING_S * 1000) {
    const waitedS = (Date.now() - acceptedAt) / 1000;
    if (c.machineOf(morning)) return { broken: false, why: `${morning} began ${waitedS.toFixed(1)} s after its acceptance` };
    const free = c.free(machine);
    if (free.cpus < 10 || free.memoryGb < 20) throw new Error(`no room on ${machine} any more`);
    await sleep(200);
  }
  await c.user(c.controllers[0], 'GET', `/api/jobs/${morning}`);
  return { broken: true, why: `${morning} was left waiting for ${LEFT_WAITING_S} s; all that time this was free on ${machine}: ${JSON.stringify(c.free(machine))}` };
});
