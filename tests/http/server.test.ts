import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { HttpClient, type HttpRequestError } from '../../src/http/client.js';
import { type Handler, HttpServer, type ServerOptions } from '../../src/http/server.js';
import { FakeClock } from '../support/clock.js';

const createServer = (clock: FakeClock, handler: Handler, change: Partial<ServerOptions> = {}) =>
  new HttpServer(clock, handler, {
    maxConnections: 5,
    maxBodyBytes: 64 * 1024,
    requestTimeoutMs: 10_000,
    idleTimeoutMs: 60_000,
    onError: (error) => assert.fail(String(error)),
    ...change,
  });
const okHandler: Handler = () => ({ status: 200, body: {} });
const connect = (port: number, localAddress = '127.0.0.1') => {
  const socket = net.connect({ port, host: '127.0.0.1', localAddress });
  return socket.on('error', () => undefined);
};
const getRequest = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

/** Sends a request and resolves with the status of the response, or 0 if the connection closes without one. */
async function send(socket: net.Socket, text: string): Promise<number> {
  socket.write(text);
  const data = await Promise.race([once(socket, 'data'), closed(socket).then(() => [''])]);
  return Number(/^HTTP\/1.1 (\d+) /.exec(String(data[0]))?.[1] ?? 0);
}

/** Resolves when a socket has closed; unlike `once`, does not reject on a connection error. */
const closed = (socket: net.Socket) => new Promise((resolve) => socket.once('close', resolve));
const nextLoopIteration = () => new Promise((resolve) => setImmediate(resolve));

// Guards against unused connections keeping users and workers out of a controller that serves more than its share.
test('near the connection limit evicts the longest idle connection for a new one', async () => {
  const clock = new FakeClock();
  const server = createServer(clock, okHandler);
  const port = await server.listen('127.0.0.1', 0);
  const open: net.Socket[] = [];
  for (let i = 0; i < 3; i++) {
    const socket = connect(port);
    open.push(socket);
    assert.equal(await send(socket, getRequest('/')), 200);
    await clock.advance(100);
  }
  assert.equal(await send(open[0]!, getRequest('/')), 200);
  const evicted = closed(open[1]!);
  for (let i = 0; i < 10; i++) {
    const newConnection = connect(port);
    open.push(newConnection);
    assert.equal(await send(newConnection, getRequest('/')), 200);
    await clock.advance(100);
  }
  await evicted;
  server.close();
  for (const s of open) s.destroy();
});

// Guards against half-open connections that block a controller: 480 of them occupied every slot for 10 s, and a
// machine that cannot connect for the duration of a lease loses all its tasks.
test('2,000 half-open connections from one address block no heartbeat and no health check', async () => {
  const clock = new FakeClock();
  const server = createServer(
    clock,
    (r) => ({ status: 200, body: {}, clientKind: r.path === '/report' ? 'worker' : 'health' }),
    {
      maxConnections: 480,
      classify: (path) => (path === '/report' ? 'worker' : 'health'),
    },
  );
  const port = await server.listen('127.0.0.1', 0);
  const workers = [...Array(400).keys()].map((i) => ({ at: `127.0.${1 + (i >> 8)}.${i & 255}` }));
  const sockets = new Map<string, net.Socket>();
  const halfOpen: net.Socket[] = [];
  const flood = () => {
    for (let i = 0; i < 250; i++) {
      const s = connect(port);
      s.write('GET /hea');
      halfOpen.push(s);
    }
  };
  let lost = 0;
  for (let round = 0; round < 8; round++) {
    flood();
    await Promise.all(
      workers.map(async ({ at }) => {
        let socket = sockets.get(at);
        if (!socket || socket.destroyed) {
          if (socket) lost++;
          socket = connect(port, at);
          sockets.set(at, socket);
        }
        assert.equal(await send(socket, getRequest('/report')), 200, `${at} in round ${round}`);
      }),
    );
    const probe = connect(port, '127.0.9.9');
    assert.equal(await send(probe, getRequest('/healthz')), 200);
    probe.destroy();
    await clock.advance(500);
  }
  assert.equal(lost, 0, 'no worker has to reconnect');
  assert.ok(server.openCount <= 480);
  server.close();
  for (const s of [...halfOpen, ...sockets.values()]) s.destroy();
});

test('closes a connection whose request trickles in, but not one that progresses or was delayed by a stall', async () => {
  const clock = new FakeClock();
  let stalledMs = 0;
  const server = createServer(
    Object.assign(Object.create(clock), { now: () => clock.now() + stalledMs }) as FakeClock,
    okHandler,
  );
  const port = await server.listen('127.0.0.1', 0);
  const post = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n';
  const slow = connect(port);
  const steady = connect(port);
  slow.write(post.slice(0, 20));
  steady.write(post);
  await Promise.all([once(slow, 'connect'), once(steady, 'connect')]);
  for (let i = 0; i < 20; i++) await nextLoopIteration();
  // The process stalls: no connection may be closed because of data that the process itself did not read.
  stalledMs += 30_000;
  await clock.advance(1000);
  const ended = closed(slow);
  for (let i = 0; i < 6; i++) {
    slow.write('x');
    steady.write('y'.repeat(600));
    for (let j = 0; j < 20; j++) await nextLoopIteration();
    await clock.advance(1000);
    if (i === 2) assert.ok(!slow.destroyed);
  }
  await ended;
  assert.equal(await send(steady, 'y'.repeat(400)), 200);
  server.close();
  steady.destroy();
});

test('closes a connection whose client does not read its replies before they exhaust the memory', async () => {
  const clock = new FakeClock();
  const server = createServer(clock, () => ({ status: 200, body: { text: 'x'.repeat(60_000) } }));
  const port = await server.listen('127.0.0.1', 0);
  const unread = connect(port);
  unread.pause();
  const ended = closed(unread);
  for (let i = 0; i < 3000 && !unread.destroyed; i++) {
    unread.write(getRequest('/'));
    await nextLoopIteration();
    if (i % 50 === 49) await clock.advance(1000);
  }
  await ended;
  server.close();
});

test('answers Expect: 100-continue and enforces the Host and Expect rules of HTTP/1.1', async () => {
  const clock = new FakeClock();
  const server = createServer(clock, (r) => ({ status: 200, body: { got: r.body.length } }));
  const port = await server.listen('127.0.0.1', 0);
  const expecting = connect(port);
  const head = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n';
  assert.equal(await send(expecting, head), 100);
  assert.equal(await send(expecting, 'abc'), 200);
  assert.equal(
    await send(expecting, `${head}abc`),
    200,
    'no interim response if the body was sent with the head',
  );
  assert.equal(await send(connect(port), 'GET / HTTP/1.1\r\n\r\n'), 400);
  assert.equal(await send(connect(port), 'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n'), 400);
  assert.equal(await send(connect(port), 'GET / HTTP/1.1\r\nHost: a\r\nExpect: cake\r\n\r\n'), 417);
  assert.equal(await send(connect(port), 'GET / HTTP/1.0\r\n\r\n'), 200);
  const pipelined = connect(port);
  pipelined.write(`${getRequest('/')}rubbish\r\n\r\n`);
  let text = '';
  pipelined.on('data', (data) => {
    text += data;
  });
  await closed(pipelined);
  assert.match(
    text,
    /^HTTP\/1.1 200 [\s\S]*HTTP\/1.1 400 /,
    'the valid request is answered before the malformed one',
  );
  server.close();
  expecting.destroy();
});

// Guards against a slow server occupying the sockets needed for others, and against responses that exhaust the memory.
test('the client limits connections per address and rejects responses that are too large', async () => {
  const clock = new FakeClock();
  const slow = net.createServer((s) => s.on('error', () => undefined)).listen(0, '127.0.0.1');
  const long = net
    .createServer((s) => {
      s.on('error', () => undefined);
      s.on('data', () => {
        s.write('HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n');
        s.write('x'.repeat(8000));
      });
    })
    .listen(0, '127.0.0.1');
  await Promise.all([once(slow, 'listening'), once(long, 'listening')]);
  const addressOf = (s: net.Server) => `127.0.0.1:${(s.address() as net.AddressInfo).port}`;
  const client = new HttpClient(clock, {
    maxSockets: 8,
    maxSocketsPerAddress: () => 2,
    maxBodyBytes: 10_000,
    maxHeldBytes: 20_000,
  });
  const failures: string[] = [];
  const request = (addr: string) =>
    client.request(addr, 'GET', '/', null, 1000).catch((error: HttpRequestError) => {
      failures.push(`${error.message} ${error.sent}`);
    });
  const pending = [request(addressOf(slow)), request(addressOf(slow))];
  await request(addressOf(slow));
  assert.deepEqual(failures.splice(0), ['no socket free false']);
  const largeResponses = [1, 2].map(() => request(addressOf(long)));
  const strict = new HttpClient(clock, { maxSockets: 8, maxBodyBytes: 8999 });
  await assert.rejects(strict.request(addressOf(long), 'GET', '/', null, 1000), /body too large/);
  const tight = new HttpClient(clock, { maxSockets: 8, maxBodyBytes: 10_000, maxHeldBytes: 7000 });
  await assert.rejects(tight.request(addressOf(long), 'GET', '/', null, 1000), /too much at once/);
  await clock.advance(1100);
  await Promise.all([...pending, ...largeResponses]);
  assert.equal(failures.filter((f) => /timeout true/.test(f)).length, 4);
  for (const c of [client, strict, tight]) c.close();
  slow.close();
  long.close();
});
