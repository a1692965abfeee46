import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runFaultScenarios } from '../support/process.js';

// Combinations of faults that operators have reported, while users submit and cancel jobs and poll all nodes
// closely. The lease of a worker is 20 s here, and a cancellation may take 45 s. docs/meetings.md lists the
// safeguard against each combination.
for (const [scenario, ...faults] of [
  [
    'no rule is broken when workers reach no controller for longer than their lease while commands reach them',
    'mute@15+30*0.7',
    'called off at once@20+1*0.7',
  ],
  [
    'no rule is broken when heartbeats are held back until a new leader has acted',
    'reports for the next leader@10+30*1',
    'crash@22+6*1',
    'crash@40+6*1',
  ],
  [
    'no rule is broken when commands and their responses are delayed for seconds and the machines resume',
    'late orders@12+30*0.8',
    'hang@18+14*0.6',
    'called off at once@24+1*0.5',
  ],
  [
    'no rule is broken when all controllers are down for longer than a lease',
    'crash of all@20+27*1',
    'called off at the end@8+40*0.4',
  ],
  [
    'no rule is broken when a zone with workers and a controller is cut off for longer than a lease',
    'zone cut@14+34*1',
    'called off at once@18+1*0.6',
  ],
  [
    'no rule is broken when leaders change ten times in two minutes, also in an outage',
    'ten leaders@8+120*1',
    'state out@40+25*1',
    'called off at once@50+1*0.6',
  ],
  [
    'no rule is broken when jobs bound to one zone, also arrays, lose machines',
    'machine dies@18+1*1',
    'machine dies@30+1*0.8',
    'notice@24+12*0.6',
  ],
  [
    'no rule is broken when work of all priorities exceeds the capacity over slow links',
    'slow links@6+60*1',
    'burst@12+1*1',
    'burst@30+1*0.6',
  ],
  [
    'no rule is broken when the key-value store refuses the owner alone as jobs are cancelled, a second before an outage longer than a cancellation may take',
    'called off at once@25+1*1',
    'state refuses owner@25+20*1',
    'state out@26+57*1',
  ],
  [
    'no rule is broken when jobs are cancelled while the key-value store is slow and loses answers',
    'slow state@12+20*1',
    'lost answers@14+20*0.5',
    'called off at once@20+1*0.8',
  ],
] as const) {
  test(scenario, async () => {
    const args = faults.flatMap((fault) => ['--trouble', fault]);
    const { code, out } = await runFaultScenarios('--from', '500', '--seeds', '3', ...args);
    assert.match(out, /3 meetings played, 0 with a broken rule/, out);
    assert.equal(code, 0);
  });
}
