// A `run` that was carried out is repeated by the network some seconds later, after its task was stopped, cleared and
// started on another machine.

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment, job, pause, runCase } from '../harness-2/harness.mjs';

const trouble = process.env.TROUBLE !== '0';
const LOW = 'wk-000001';
const URGENT = 'wk-000002';
const FIRST = 'wk-000003';
/** Latest repetition after the original, in seconds: direct commands may be 2 to 16 s late. */
const MAX_LATE_S = 16;

let original = null;
const deployment = new Deployment({
  caseFolder: dirname(fileURLToPath(import.meta.url)),
  teams: [{ name: 'school-canteens', cpus: 40, cpusMax: 400 }],
  types: {
    'khachapuri-small': { cpus: 8, memoryGb: 16, price: 0.43, bootS: 50 },
    'pkhali-mid': { cpus: 32, memoryGb: 128, price: 1.91, bootS: 40 },
  },
  machines: [{ type: 'khachapuri-small' }, { type: 'pkhali-mid' }],
  onCommand: (machine, body, deliver) => {
    if (!original && body.orders.some((o) => o.verb === 'run' && o.piece === `${LOW}/0`))
      original = { machine, body, at: Date.now(), deliver };
    return deliver();
  },
});

await runCase(deployment, async (d) => {
  const on = () => {
    const places = new Map();
    for (const e of d.tasks.history)
      if (e.job === LOW) e.kind === 'on' ? places.set(e.machine, e.attempt) : places.delete(e.machine);
    return places;
  };
  const isOn = (id, machine) => {
    let result = false;
    for (const e of d.tasks.history) if (e.job === id && e.machine === machine) result = e.kind === 'on';
    return result;
  };
  const [small, mid] = [...d.machines.keys()];
  // Ordinary work fills the larger machine for a while, so that the low one starts on the smaller.
  await pause(8000);
  await d.submit(job(FIRST, { cpus: 32, memoryGb: 100, flavors: ['pkhali-mid'], expectedS: 6 }), 6);
  await d.until(20, 'the first job runs', () => isOn(FIRST, mid));
  await d.submit(job(LOW, { urgency: 'low', cpus: 8, memoryGb: 16, flavors: ['khachapuri-small', 'pkhali-mid'], expectedS: 60 }), 60);
  await d.until(20, 'the low job runs on the smaller machine', () => isOn(LOW, small));
  // Urgent work takes the smaller machine; the low job goes on on the larger one when that is free.
  await pause(3000);
  await d.submit(job(URGENT, { urgency: 'urgent', cpus: 8, memoryGb: 16, flavors: ['khachapuri-small'], expectedS: 6 }), 6);
  await d.until(20, 'the urgent job runs', () => isOn(URGENT, small));
  await d.until(30, 'the low job runs on the larger machine', () => isOn(LOW, mid));
  await d.until(20, 'the urgent job has ended', () => !isOn(URGENT, small));
  const lateS = (Date.now() - original.at) / 1000;
  if (lateS > MAX_LATE_S) throw new Error(`the repetition would be ${lateS.toFixed(1)} s late`);
  if (trouble) {
    d.note(`network: repeats to ${original.machine.id}, ${lateS.toFixed(2)} s late: ${JSON.stringify(original.body)}`);
    const answer = original.deliver();
    d.note(`worker ${original.machine.id} answers ${answer.status}`);
  }
  // The rule: while a task is on one machine, it starts on another.
  const places = new Set();
  const check = () => {
    places.clear();
    for (const e of d.tasks.history) {
      if (e.job !== LOW) continue;
      if (e.kind === 'off') places.delete(e.machine);
      else if ([...places].some((m) => m !== e.machine)) return `ran_twice: ${LOW}/0 starts on ${e.machine} while on ${[...places]}`;
      else places.add(e.machine);
    }
    return null;
  };
  for (let i = 0; i < 40; i++) {
    if (check()) break;
    await pause(250);
  }
  await pause(3000);
  d.note(`at the end ${LOW}/0 is on ${[...on().keys()]}`);
  return check();
});
