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

// Guards against strangers at the peer address: 64 connections that say nothing once kept every other controller out.
test('connections that do not say who they are keep no controller out', async () => {
  const clock = new FakeClock();
  const [a, b] = [await freePort(), await freePort()];
  const made = (self: string, peer: string, to: number) =>
    new PeerMesh(
      clock,
      self,
      [{ node: peer, zone: 'z', addr: `127.0.0.1:${to}` }],
      (error) => assert.fail(String(error)),
      () => undefined,
    );
  const one = made('n1', 'n2', b);
  await one.listen({ host: '127.0.0.1', port: a }, (op, args, from) => ({ op, args, from }));
  const strangers = [...Array(200)].map(() => net.connect(a, '127.0.0.1').on('error', () => undefined));
  await Promise.all(strangers.map((s) => once(s, 'connect')));
  const liar = net.connect(a, '127.0.0.1').on('error', () => undefined);
  liar.write(encodeFrame({ op: 'hello', a: 'n9' }));
  await once(liar, 'close');
  const rude = net.connect(a, '127.0.0.1').on('error', () => undefined);
  rude.write(encodeFrame({ q: 1, op: 'status', a: {} }));
  await once(rude, 'close');
  const long = net.connect(a, '127.0.0.1').on('error', () => undefined);
  long.write(encodeFrame({ op: 'hello', a: 'n2'.padEnd(5000) }));
  await once(long, 'close');

  const two = made('n2', 'n1', a);
  await two.listen({ host: '127.0.0.1', port: b }, () => null);
  let got: unknown = null;
  // The name and a long question come in one piece: the name has to be taken first.
  for (let i = 0; i < 2000 && got === null; i++) {
    await new Promise((resolve) => setImmediate(resolve));
    got = await two
      .request('n1', 'give', { machine: 'm-1', text: 'x'.repeat(20_000) }, 1000)
      .catch(() => null);
  }
  assert.deepEqual((got as { op: string; from: string }).op, 'give');
  assert.deepEqual((got as { op: string; from: string }).from, 'n2');
  const left = strangers.filter((s) => !s.destroyed);
  assert.ok(left.length <= 16, `${left.length} strangers are still there`);
  const ended = left.map((s) => once(s, 'close'));
  await clock.advance(3100);
  await Promise.all(ended);
  one.close();
  two.close();
});
