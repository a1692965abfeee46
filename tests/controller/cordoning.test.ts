import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countHeartbeats } from '../../src/controller/cordoning.js';

// Guards against counting permanently lost machines as machines that cannot reach this node.
test('counts machines with a heartbeat within their lease, and those on time as current', () => {
  const at = (lastHeartbeatAt: number | null, leaseExpired = false) => ({ lastHeartbeatAt, leaseExpired });
  const limits = { recentMs: 1000, currentMs: 200 };
  assert.deepEqual(countHeartbeats([], 5000, limits), { recent: 0, current: 0 });
  const machines = [at(null), at(5000, true), at(3999), at(4000), at(4800), at(4801), at(5000)];
  assert.deepEqual(countHeartbeats(machines, 5000, limits), { recent: 4, current: 2 });
});
