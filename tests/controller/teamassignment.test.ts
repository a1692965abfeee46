import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assignmentRecords } from '../../src/controller/teamassignment.js';
import { readTeamAssignment } from '../../src/schema/schema.js';

// Guards against a record larger than the state service takes, and against a first record that is there before the rest.
test('an assignment is stored in as many records as the limit asks for, the first of them last', () => {
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
