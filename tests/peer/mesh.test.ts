import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { encodeFrame } from '../../src/peer/frames.js';
import { PeerMesh } from '../../src/peer/mesh.js';
import { FakeClock } from '../support/clock.js';

async function freePort(): Promise<number> {
  const probe = net.createServer().listen(0, '127.0.0.1');
  await once(probe, 'listening');
  const { port } = probe.address() as net.AddressInfo;
  probe.close();
  await once(probe, 'close');
  return port;
}

// Guards against unidentified clients exhausting the peer listener: 64 silent connections once blocked all other
// controllers.
test('unidentified connections do not block a controller from connecting', async () => {
  const clock = new FakeClock();
  const [port1, port2] = [await freePort(), await freePort()];
  const createMesh = (self: string, peer: string, to: number) =>
    new PeerMesh(
      clock,
      self,
      [{ node: peer, zone: 'z', addr: `127.0.0.1:${to}` }],
      (error) => assert.fail(String(error)),
      () => undefined,
    );
  const mesh1 = createMesh('n1', 'n2', port2);
  await mesh1.listen({ host: '127.0.0.1', port: port1 }, (op, args, from) => ({ op, args, from }));
  const unidentified = [...Array(200)].map(() =>
    net.connect(port1, '127.0.0.1').on('error', () => undefined),
  );
  await Promise.all(unidentified.map((s) => once(s, 'connect')));
  const unknownName = net.connect(port1, '127.0.0.1').on('error', () => undefined);
  unknownName.write(encodeFrame({ op: 'hello', a: 'n9' }));
  await once(unknownName, 'close');
  const withoutHello = net.connect(port1, '127.0.0.1').on('error', () => undefined);
  withoutHello.write(encodeFrame({ q: 1, op: 'status', a: {} }));
  await once(withoutHello, 'close');
  const oversizedHello = net.connect(port1, '127.0.0.1').on('error', () => undefined);
  oversizedHello.write(encodeFrame({ op: 'hello', a: 'n2'.padEnd(5000) }));
  await once(oversizedHello, 'close');

  const mesh2 = createMesh('n2', 'n1', port1);
  await mesh2.listen({ host: '127.0.0.1', port: port2 }, () => null);
  let response: unknown = null;
  // The hello and a long request may arrive in mesh1 read: the hello must be handled first, since it raises the size
  // limit.
  for (let i = 0; i < 2000 && response === null; i++) {
    await new Promise((resolve) => setImmediate(resolve));
    response = await mesh2
      .request('n1', 'give', { machine: 'm-1', text: 'x'.repeat(20_000) }, 1000)
      .catch(() => null);
  }
  assert.deepEqual((response as { op: string; from: string }).op, 'give');
  assert.deepEqual((response as { op: string; from: string }).from, 'n2');
  const remaining = unidentified.filter((s) => !s.destroyed);
  assert.ok(remaining.length <= 16, `${remaining.length} unidentified connections are still open`);
  const closed = remaining.map((s) => once(s, 'close'));
  await clock.advance(3100);
  await Promise.all(closed);
  mesh1.close();
  mesh2.close();
});
