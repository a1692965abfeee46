import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_CLOCK_DRIFT } from '../../src/clock/clock.js';
import type { Log } from '../../src/config/log.js';
import { LeaseKeeper } from '../../src/controller/leasekeeper.js';
import { Presence } from '../../src/controller/presence.js';
import { type StateStore, StateStoreError } from '../../src/state/statestore.js';
import { FakeClock } from '../support/clock.js';

const LEASE_MS = 8000;
const IDENTITY = { node: 'n0', incarnation: 'n0-x', protocolVersion: 2, standbyCapable: false };

type Renewal = 'renewed' | 'ended' | 'no answer';

/**
 * Returns a node's lease on a fake key-value store, which grants leases 1, 2, … and answers renewals by `renewal`.
 */
async function joined() {
  const clock = new FakeClock();
  const calls: string[] = [];
  const service = { renewal: 'renewed' as Renewal, presences: [] as unknown[], refused: false, leases: 0 };
  const recordCall = (name: string) => calls.push(`${clock.now() - startedAt} ${name}`);
  const store = {
    get: async () => null,
    compareAndSwap: async (_conditions: unknown, [write]: { value: unknown }[]) => {
      if (service.refused) return { ok: false, revision: 1, failed: [] };
      service.presences.push(write!.value);
      return { ok: true, revision: 1 };
    },
    grant: async () => {
      recordCall('grant');
      return ++service.leases;
    },
    renew: async (lease: number, timeoutMs: number) => {
      recordCall(`renew ${lease} within ${timeoutMs}`);
      if (service.renewal === 'no answer') throw new Error('no answer');
      return service.renewal === 'renewed';
    },
    revoke: async (lease: number) => recordCall(`revoke ${lease}`),
  } as unknown as StateStore;
  const silentLog = { info: () => undefined, debug: () => undefined } as unknown as Log;
  const startedAt = clock.now();
  const lease = new LeaseKeeper({
    clock,
    store,
    log: silentLog,
    identity: IDENTITY,
    presence: new Presence(store, IDENTITY),
    leaseMs: LEASE_MS,
    onLeaseLost: () => recordCall('lost'),
  });
  await lease.start();
  return { clock, lease, service, calls };
}

// Guards against late renewals, by which the lease of a healthy node would expire.
test('renews every quarter of the lease, sooner after a failure, and joins again when it has ended', async () => {
  const { clock, lease, service, calls } = await joined();
  await clock.advance(4000);
  assert.deepEqual(calls.splice(0), ['0 grant', '2000 renew 1 within 1500', '4000 renew 1 within 1500']);
  service.renewal = 'no answer';
  await clock.advance(2400);
  assert.deepEqual(calls.splice(0), ['6000 renew 1 within 1500', '6400 renew 1 within 1500']);
  assert.equal(lease.renewalFailingMs, 400);
  assert.equal(lease.renewedAgoMs, 2400);
  service.renewal = 'ended';
  await clock.advance(400);
  assert.deepEqual(calls.splice(0), ['6800 renew 1 within 1500', '6800 lost', '6800 grant']);
  assert.equal(lease.leaseId, 2);
  assert.equal(lease.renewalFailingMs, 0);
  await lease.leave();
  await clock.advance(60_000);
  assert.deepEqual(calls, ['6800 revoke 2'], 'no renewal after leaving');
});

// Guards against a node that acts after its lease has expired.
test('holds a lease only while it is guaranteed valid, and no key of an earlier lease or run', async () => {
  const { clock, lease, service } = await joined();
  service.renewal = 'no answer';
  const lastsMs = LEASE_MS * (1 - 2 * MAX_CLOCK_DRIFT) - 150;
  await clock.advance(lastsMs - 1);
  assert.equal(lease.holdsLeaseId(1), true);
  assert.equal(lease.holdsLeaseId(2), false);
  await clock.advance(1);
  assert.equal(lease.holdsLease, false);
  const key = { node: 'n0', run: 'n0-x', lease: 1 };
  assert.equal(lease.isHeldHere(key), true);
  assert.equal(lease.isHeldHere({ ...key, lease: 2 }), false);
  assert.equal(lease.isHeldHere({ ...key, run: 'n0-y' }), false);
  assert.equal(lease.isHeldHere({}), false);
});

test('publishes the cordoned state at once, and retries a failed write with the next renewal', async () => {
  const { clock, lease, service } = await joined();
  const cordoned = () => service.presences.splice(0).map((p) => (p as { aside?: boolean }).aside);
  assert.deepEqual(cordoned(), [undefined]);
  await lease.publishCordoned(true);
  assert.deepEqual(cordoned(), [true]);
  await clock.advance(2000);
  assert.deepEqual(cordoned(), [], 'already stored');
  service.refused = true;
  await assert.rejects(lease.publishCordoned(false), StateStoreError);
  service.refused = false;
  await clock.advance(2000);
  assert.deepEqual(cordoned(), [undefined], 'with the next renewal');
});
