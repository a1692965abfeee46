import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

/** The packages of `src`, lowest layer first: each may import from those before it. */
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
/** A file must stay short enough to be read at once. */
const MAX_LINES = 600;

// Guards against entangled packages: one package had contained half of all lines, and the job records had a
// circular dependency.
test('packages import only from lower layers, and no file exceeds the maximum number of lines', () => {
  assert.deepEqual(
    readdirSync('src', { withFileTypes: true })
      .filter((e) => e.isDirectory())
      .map((e) => e.name)
      .sort(),
    [...PACKAGES].sort(),
  );
  let imports = 0;
  for (const [level, packageName] of PACKAGES.entries()) {
    for (const file of readdirSync(join('src', packageName))) {
      const text = readFileSync(join('src', packageName, file), 'utf8');
      assert.ok(text.split('\n').length <= MAX_LINES, `${packageName}/${file} has too many lines`);
      for (const [, from] of text.matchAll(/from '\.\.\/([a-z]+)\//g)) {
        imports++;
        assert.ok(
          PACKAGES.indexOf(from!) < level,
          `${packageName}/${file} imports from ${from}, which is not below it`,
        );
      }
    }
  }
  assert.ok(imports > 100);
});
