// All controllers crash once, while many jobs wait for some jobs that are done and for one that still runs. The users
// poll every 5 s, as the pages say. The rule: once all troubles are over, no accepted job goes without an answer for
// 75 s.

import { Cluster, endOnSignals, job, Record, seconds, site, sleep, User } from '../common-2/cluster.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const STAGES = Number(process.env.STAGES ?? 110);
const WAITING = Number(process.env.WAITING ?? 260);
const OTHERS = Number(process.env.OTHERS ?? 20);
const POLL_S = 5;
const RULE_S = Number(process.env.RULE_S ?? 75);

const record = new Record(import.meta.url);
const cluster = new Cluster(site(), record);
endOnSignals(cluster, record);
const names = (letter, count) => Array.from({ length: count }, (_, i) => `wk-${letter}${String(i).padStart(5, '0')}`);
const stages = names('s', STAGES);
const waiting = names('w', WAITING);
const others = names('o', OTHERS);
/** Times of the polls of each job that were answered with 200 or 404, and of those that were not. */
const polls = new Map();
let polling = true;
let verdict = 2;

/** Polls a job about every 5 s until it is over, from its acceptance on. */
async function follow(id) {
  const user = new User(cluster);
  polls.set(id, { answered: [seconds()], failed: [] });
  await sleep(Math.random() * POLL_S * 1000);
  while (polling) {
    const { status, told } = await user.poll(id);
    polls.get(id)[status === 200 || status === 404 ? 'answered' : 'failed'].push(seconds());
    if (told === 'done' || told === 'aborted') return;
    await sleep(POLL_S * 1000 * (0.9 + 0.2 * Math.random()));
  }
}

/** Submits jobs, thirty at a time, and follows those that do not end at once. */
async function submit(ids, make, runS) {
  const queue = [...ids];
  await Promise.all(
    Array.from({ length: 30 }, async () => {
      const user = new User(cluster);
      for (let id = queue.shift(); id; id = queue.shift()) {
        const status = await user.submit(make(id), runS);
        if (status !== 201 && status !== 200) throw new Error(`${id} was not accepted: ${status}`);
        if (!stages.includes(id)) void follow(id);
      }
    }),
  );
}

const isAnswered = (id, from, to) => polls.get(id).answered.some((t) => t > from && t <= to);
const failures = (id, from, to) => polls.get(id).failed.filter((t) => t > from && t <= to).length;

/** Returns the jobs whose polls have all failed from `from` to `to`. */
const forgotten = (from, to) =>
  [...polls.keys()].filter((id) => !isAnswered(id, from, to) && failures(id, from, to) >= 10);

try {
  await cluster.start();
  record.say('controllers are healthy');
  await submit(['wk-long'], (id) => job(id, { expectedS: 200 }), 300);
  await submit(stages, (id) => job(id), 0.5);
  record.say(`${STAGES} jobs of the first stage accepted`);
  await submit(others, (id) => job(id, { expectedS: 200 }), 300);
  await submit(waiting, (id) => job(id, { waitsOn: ['wk-long', ...stages] }), 2);
  record.say(`${WAITING} jobs that wait for them accepted, and ${OTHERS} others`);
  const user = new User(cluster);
  for (const id of stages) while ((await user.poll(id)).told !== 'done') await sleep(200);
  record.say('first stage done');
  await sleep(2000);
  if (TROUBLE) {
    record.say('trouble: all controllers are killed');
    for (const c of cluster.controllers) c.process.kill('SIGKILL');
    while (cluster.controllers.some((c) => c.starts < 2)) await sleep(50);
    await cluster.allHealthy();
  }
  record.say(TROUBLE ? 'the trouble is over: all controllers are healthy again' : 'no trouble');
  const from = seconds();
  while (seconds() < from + RULE_S) {
    await sleep(Math.min(10_000, (from + RULE_S - seconds()) * 1000 + 1));
    const now = seconds();
    const quiet = (ids) => ids.filter((id) => !isAnswered(id, now - 15, now)).length;
    record.say(`without an answer for 15 s: ${quiet(waiting)} that wait, ${quiet(others)} others`);
  }
  const lost = forgotten(from, seconds());
  if (lost.length > 0)
    record.say(`forgotten: all polls for ${lost.length} accepted jobs failed for ${RULE_S} s, for example ${lost[0]}`);
  else record.say('the rule held');
  verdict = lost.length > 0 ? 1 : 0;
} catch (error) {
  record.say('could not run:', error.stack);
} finally {
  polling = false;
  await cluster.stop();
  record.write();
}
process.exit(verdict);
