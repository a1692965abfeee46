import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const VERDICT = fileURLToPath(new URL('../../../../.ci/verdict.mjs', import.meta.url));

function verdict(known: string | null, tap: string[], code: number): { status: number | null; out: string } {
  const dir = mkdtempSync(join(tmpdir(), 'verdict-'));
  try {
    const [listed, output] = [join(dir, 'known'), join(dir, 'tap')];
    if (known !== null) writeFileSync(listed, known);
    writeFileSync(output, tap.join('\n'));
    const run = spawnSync(process.execPath, [VERDICT, listed, output, String(code)], { encoding: 'utf8' });
    return { status: run.status, out: run.stdout };
  } finally {
    rmSync(dir, { recursive: true });
  }
}

test('CI passes over just the tests that are known to be red, and no others', () => {
  const green = ['ok 1 - a', 'ok 2 - b \\# 2'];
  const red = ['ok 1 - a', 'not ok 2 - b \\# 2'];
  const line = 'b # 2 | it is late | 33';
  assert.equal(verdict(null, green, 0).status, 0);
  assert.equal(verdict('\n', green, 0).status, 0);
  assert.equal(verdict(null, red, 1).status, 1);
  const passed = verdict(`${line}\n`, red, 1);
  assert.equal(passed.status, 0, passed.out);
  assert.match(passed.out, /known red: b # 2: it is late \(33\)/);
  for (const [why, known, tap, code] of [
    ['it passes', line, green, 0],
    ['no such test', 'c | x | 1', green, 0],
    ['not "test', 'b # 2', red, 1],
    ['named twice', `${line}\n${line}`, red, 1],
    ['failed: a', line, ['not ok 1 - a', 'not ok 2 - b \\# 2'], 1],
    ['4 tests are named', ['1', '2', '3', '4'].map((n) => `${n} | x | 1`).join('\n'), red, 1],
    ['none of them failed', '', green, 1],
    ['ended with 0', line, red, 0],
    ['no test has passed', '', [], 0],
    ['no such test', line, ['ok 1 - a', 'not ok 2 - b \\# 2 # SKIP'], 1],
  ] as const) {
    const v = verdict(known, [...tap], code);
    assert.equal(v.status, 1, why);
    assert.ok(v.out.includes(why), `${why}: ${v.out}`);
  }
});
