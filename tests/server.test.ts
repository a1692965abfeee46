import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { HttpServer } from '../src/http/server.js';
import { FakeClock } from './support/clock.js';

// Guards against connections that nobody uses keeping users and workers out of a controller that carries much more than
// its share.
test('near the limit the connection idle longest makes room for a new one', async () => {
  const clock = new FakeClock();
  const server = new HttpServer(clock, () => ({ status: 200, body: {} }), {
    maxConnections: 5,
    bodyBytes: 1024,
    requestMs: 1000,
    idleMs: 60_000,
    onError: (error) => assert.fail(String(error)),
  });
  const port = await server.listen('127.0.0.1', 0);
  const open: net.Socket[] = [];
  const ask = async (socket: net.Socket) => {
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    const [data] = await once(socket, 'data');
    assert.match(String(data), /^HTTP\/1.1 200 /);
  };
  for (let i = 0; i < 3; i++) {
    const socket = net.connect(port, '127.0.0.1');
    open.push(socket);
    await ask(socket);
    await clock.advance(100);
  }
  await ask(open[0]!);
  const gone = once(open[1]!, 'close');
  for (let i = 0; i < 10; i++) {
    const late = net.connect(port, '127.0.0.1');
    open.push(late);
    await ask(late);
    await clock.advance(100);
  }
  await gone;
  server.close();
  for (const s of open) s.destroy();
});
