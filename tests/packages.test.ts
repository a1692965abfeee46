import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

/** The packages of `src`, the lowest first: each may use those before it. */
const PACKAGES = [
  'errors',
  'clock',
  'config',
  'interning',
  'wire',
  'classad',
  'http',
  'peer',
  'client',
  'emulator',
  'load',
  'state',
  'cloud',
  'plan',
  'context',
  'schema',
  'changefeed',
  'workers',
  'jobs',
  'autoscaler',
  'standby',
  'scheduler',
  'controller',
  'api',
  'condor',
  'tls',
  'federation',
  'modelcheck',
  'program',
  'cli',
];
const LINES_MOST = 600;

// Guards against packages growing into each other: one held half of all lines, and the records of jobs used what used them.
test('packages import only from those below them, and no file grows beyond what one reads at once', () => {
  assert.deepEqual(
    readdirSync('src', { withFileTypes: true })
      .filter((e) => e.isDirectory())
      .map((e) => e.name)
      .sort(),
    [...PACKAGES].sort(),
  );
  let imports = 0;
  for (const [level, room] of PACKAGES.entries()) {
    for (const file of readdirSync(join('src', room))) {
      const text = readFileSync(join('src', room, file), 'utf8');
      assert.ok(text.split('\n').length <= LINES_MOST, `${room}/${file} has too many lines`);
      for (const [, from] of text.matchAll(/from '\.\.\/([a-z]+)\//g)) {
        imports++;
        assert.ok(
          PACKAGES.indexOf(from!) < level,
          `${room}/${file} imports from ${from}, which is not below it`,
        );
      }
    }
  }
  assert.ok(imports > 100);
});
