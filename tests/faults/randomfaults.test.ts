import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runFaultScenarios } from '../support/process.js';

// Random combinations of faults. `npm run check:meetings -- --seeds N` runs more of them, and `--seed S` a single
// one. Each fault that a seed has found also has a small test of its own.
for (const [from, seeds] of [
  [1, 10],
  [71, 3],
  [186, 3],
] as const) {
  test(`no rule is broken and all accepted jobs end in ${seeds} random fault scenarios from seed ${from}`, async () => {
    const { code, out } = await runFaultScenarios('--from', `${from}`, '--seeds', `${seeds}`);
    assert.match(out, new RegExp(`${seeds} meetings played, 0 with a broken rule`), out);
    assert.equal(code, 0);
  });
}

test('the command rejects invalid arguments with its usage', async () => {
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
    const { code, err } = await runFaultScenarios(...args);
    assert.equal(code, 2, args.join(' '));
    assert.match(err, /^check:meetings: .+\nusage: /);
  }
});
