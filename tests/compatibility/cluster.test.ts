/**
 * Compares the member names of all messages and stored records in scripted clusters with those that version 0.2.0
 * wrote. Many types are written without a mapping, so that a renamed member would show only on the wire or in
 * storage.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { CHANGE_FEED_OPS } from '../../src/changefeed/messages.js';
import { PEER_OPS } from '../../src/controller/peeroperations.js';
import { RATES_OP } from '../../src/controller/rateallocator.js';
import { KEYS } from '../../src/schema/schema.js';
import { STANDBY_OPS } from '../../src/standby/messages.js';
import { CLOUD_PATHS } from '../../src/wire/cloud.js';
import { CONDOR_PATH } from '../../src/wire/condor.js';
import { STATE_PATHS } from '../../src/wire/state.js';
import { USER_PATHS } from '../../src/wire/users.js';
import { WORKER_PATHS } from '../../src/wire/workers.js';
import { Capture, pathKind, storedKind } from '../support/capture.js';
import { playClusters } from '../support/captured.js';

type Kinds = Record<string, string[]>;

const fixture = (name: string): Kinds =>
  JSON.parse(readFileSync(`tests/fixtures/compatibility/${name}.json`, 'utf8'));

let playing: Promise<Capture> | null = null;

/** Returns the messages and records captured in the scripted clusters, which run once for all tests. */
function captured(): Promise<Capture> {
  const capture = new Capture();
  playing ??= playClusters(capture).then(() => capture);
  return playing;
}

function assertSame(observed: Kinds, expected: Kinds): void {
  assert.deepEqual(Object.keys(observed), Object.keys(expected), 'the captured kinds');
  for (const kind of Object.keys(expected)) assert.deepEqual(observed[kind], expected[kind], kind);
}

/** Notifications, which get no response. */
const NOTIFICATIONS: ReadonlySet<string> = new Set([
  PEER_OPS.shardStatus,
  PEER_OPS.unregisteredMachine,
  PEER_OPS.ownerAnnouncement,
  PEER_OPS.redirected,
  PEER_OPS.dependencyEnded,
]);

// Guards against a member of a type that is renamed in the code and thereby on the wire or in storage, unnoticed by
// the compiler.
test('every stored record has the members that earlier versions read', async () => {
  const expected = fixture('stored-shapes');
  assertSame((await captured()).stored.sorted, expected);
});

test('every key of the layout has a fixture', () => {
  const kinds = Object.keys(fixture('stored-shapes'));
  for (const key of Object.values(KEYS)) {
    const storedKey =
      typeof key === 'string' ? key : (key as (...parts: unknown[]) => string)('ID', 'TAG', 7);
    if (storedKey.endsWith('/'))
      assert.ok(
        kinds.some((kind) => kind.startsWith(storedKey)),
        storedKey,
      );
    else assert.ok(kinds.includes(storedKind(storedKey)), `no fixture for ${storedKey}`);
  }
  assert.ok(kinds.includes(storedKind(KEYS.completionChunk('ID', 'at8'))));
});

test('every message between controllers has the members that earlier versions read', async () => {
  assertSame((await captured()).peers.sorted, fixture('peers-shapes'));
});

test('every operation between controllers has a fixture of its request and its response', () => {
  const kinds = new Set(Object.keys(fixture('peers-shapes')));
  const operations = [
    ...Object.values(PEER_OPS),
    ...Object.values(CHANGE_FEED_OPS),
    ...Object.values(STANDBY_OPS),
    RATES_OP,
  ];
  for (const op of operations) {
    if (NOTIFICATIONS.has(op)) assert.ok(kinds.has(`${op} told`), `no fixture for ${op}`);
    else for (const part of ['asked', 'answered']) assert.ok(kinds.has(`${op} ${part}`), `${op} ${part}`);
  }
});

test('every HTTP request and response has the members that the receiver reads', async () => {
  assertSame((await captured()).http.sorted, fixture('http-shapes'));
});

test('every path has a fixture', () => {
  const kinds = Object.keys(fixture('http-shapes')).map((kind) => kind.split(' ')[1]!);
  const state = Object.values(STATE_PATHS).map((path) =>
    typeof path === 'string' ? path : (path as (...parts: unknown[]) => string)(7, 'KEY', 8),
  );
  const cancel = `${USER_PATHS.jobs}/ID/${USER_PATHS.cancel}`;
  const users = [USER_PATHS.jobs, USER_PATHS.health, cancel, CONDOR_PATH];
  const others = [...Object.values(WORKER_PATHS), ...Object.values(CLOUD_PATHS), ...state];
  assert.equal(users.length, Object.keys(USER_PATHS).length + 1, 'a user path is missing in this test');
  for (const path of [...users, ...others]) {
    const route = pathKind(path).split('?')[0]!;
    assert.ok(
      kinds.some((kind) => kind.split('?')[0] === route),
      `no fixture for ${path}`,
    );
  }
});
