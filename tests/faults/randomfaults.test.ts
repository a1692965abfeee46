import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkMeetings } from '../support/process.js';

// Pairs of troubles that are on no list; `npm run check:meetings -- --seeds N` plays more of them, `--seed S` one alone. What
// seeds have found has a small test of its own.
for (const [from, seeds] of [
  [1, 10],
  [71, 3],
  [186, 3],
] as const) {
  test(`${seeds} drawn meetings from ${from}: no rule is broken, and all that was accepted is done`, async () => {
    const { code, out } = await checkMeetings('--from', `${from}`, '--seeds', `${seeds}`);
    assert.match(out, new RegExp(`${seeds} meetings played, 0 with a broken rule`), out);
    assert.equal(code, 0);
  });
}

test('the command says what it cannot read', async () => {
  for (const args of [
    ['--seed', 'x'],
    ['--seeds', '0'],
    ['--seed', '1', '--from', '2'],
    ['--what'],
    ['--trouble', 'flood@1+1*1'],
    ['--trouble', 'crash@1+99*1'],
    ['--trouble', 'crash@1+1*2'],
    ['--lose', ''],
  ]) {
    const { code, err } = await checkMeetings(...args);
    assert.equal(code, 2, args.join(' '));
    assert.match(err, /^check:meetings: .+\nusage: /);
  }
});
