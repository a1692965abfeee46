import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentRecords } from '../../src/controller/teamassignment.js';
import { readTeamAssignment } from '../../src/schema/schema.js';

// Guards against a record above the key-value store's size limit, and against a main record that is stored before the
// rest.
test('splits an assignment into as many records as the size limit requires, with the main record last', () => {
  assert.deepEqual(assignmentRecords({}, 100), [['c/teams', {}]]);
  assert.deepEqual(assignmentRecords({ red: 0, blue: 1 }, 100), [['c/teams', { red: 0, blue: 1 }]]);
  const assignment = Object.fromEntries(Array.from({ length: 40 }, (_, i) => [`team-${i}`, i % 5]));
  const records = assignmentRecords(assignment, 100);
  assert.ok(records.length > 5);
  assert.equal(records[0]![0], `c/teams/${records.length - 1}`);
  assert.equal(records.at(-1)![0], 'c/teams');
  for (const [key, value] of records) assert.ok(Buffer.byteLength(JSON.stringify(value)) <= 100, key);
  const stored = new Map(records.map(([key, value]) => [key, { value }]));
  assert.deepEqual(readTeamAssignment(stored), assignment);
});
