import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { HttpClient, type HttpRequestError } from '../../src/http/client.js';
import { type Handler, HttpServer, type ServerOptions } from '../../src/http/server.js';
import { FakeClock } from '../support/clock.js';

const clocked = (clock: FakeClock, handler: Handler, change: Partial<ServerOptions> = {}) =>
  new HttpServer(clock, handler, {
    maxConnections: 5,
    bodyBytes: 64 * 1024,
    requestMs: 10_000,
    idleMs: 60_000,
    onError: (error) => assert.fail(String(error)),
    ...change,
  });
const fine: Handler = () => ({ status: 200, body: {} });
const connect = (port: number, localAddress = '127.0.0.1') => {
  const socket = net.connect({ port, host: '127.0.0.1', localAddress });
  return socket.on('error', () => undefined);
};
const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

/** Sends a request and resolves with the answer's status, or 0 when the connection ends without one. */
async function ask(socket: net.Socket, text: string): Promise<number> {
  socket.write(text);
  const data = await Promise.race([once(socket, 'data'), closed(socket).then(() => [''])]);
  return Number(/^HTTP\/1.1 (\d+) /.exec(String(data[0]))?.[1] ?? 0);
}

/** Unlike `once`, no failure of the connection counts. */
const closed = (socket: net.Socket) => new Promise((resolve) => socket.once('close', resolve));
const turn = () => new Promise((resolve) => setImmediate(resolve));

// Guards against connections that nobody uses keeping users and workers out of a controller that carries much more than
// its share.
test('near the limit the connection idle longest makes room for a new one', async () => {
  const clock = new FakeClock();
  const server = clocked(clock, fine);
  const port = await server.listen('127.0.0.1', 0);
  const open: net.Socket[] = [];
  for (let i = 0; i < 3; i++) {
    const socket = connect(port);
    open.push(socket);
    assert.equal(await ask(socket, get('/')), 200);
    await clock.advance(100);
  }
  assert.equal(await ask(open[0]!, get('/')), 200);
  const gone = closed(open[1]!);
  for (let i = 0; i < 10; i++) {
    const late = connect(port);
    open.push(late);
    assert.equal(await ask(late, get('/')), 200);
    await clock.advance(100);
  }
  await gone;
  server.close();
  for (const s of open) s.destroy();
});

// Guards against half-open connections that shut a controller: 480 of them took every place for 10 s, and machines that
// are kept out for a lease lose all their tasks.
test('2,000 half-open connections from one address keep out no report and no health check', async () => {
  const clock = new FakeClock();
  const server = clocked(
    clock,
    (r) => ({ status: 200, body: {}, from: r.path === '/report' ? 'worker' : 'health' }),
    {
      maxConnections: 480,
      classify: (path) => (path === '/report' ? 'worker' : 'health'),
    },
  );
  const port = await server.listen('127.0.0.1', 0);
  const workers = [...Array(400).keys()].map((i) => ({ at: `127.0.${1 + (i >> 8)}.${i & 255}` }));
  const sockets = new Map<string, net.Socket>();
  const strangers: net.Socket[] = [];
  const flood = () => {
    for (let i = 0; i < 250; i++) {
      const s = connect(port);
      s.write('GET /hea');
      strangers.push(s);
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
        assert.equal(await ask(socket, get('/report')), 200, `${at} in round ${round}`);
      }),
    );
    const probe = connect(port, '127.0.9.9');
    assert.equal(await ask(probe, get('/healthz')), 200);
    probe.destroy();
    await clock.advance(500);
  }
  assert.equal(lost, 0, 'no worker has to connect again');
  assert.ok(server.open <= 480);
  server.close();
  for (const s of [...strangers, ...sockets.values()]) s.destroy();
});

test('a request that trickles ends its connection; one that moves, or a process that stood still, does not', async () => {
  const clock = new FakeClock();
  let still = 0;
  const server = clocked(
    Object.assign(Object.create(clock), { now: () => clock.now() + still }) as FakeClock,
    fine,
  );
  const port = await server.listen('127.0.0.1', 0);
  const post = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n';
  const trickle = connect(port);
  const steady = connect(port);
  trickle.write(post.slice(0, 20));
  steady.write(post);
  await Promise.all([once(trickle, 'connect'), once(steady, 'connect')]);
  for (let i = 0; i < 20; i++) await turn();
  // The process stands still: nobody is to failures for what it did not read.
  still += 30_000;
  await clock.advance(1000);
  const ended = closed(trickle);
  for (let i = 0; i < 6; i++) {
    trickle.write('x');
    steady.write('y'.repeat(600));
    for (let j = 0; j < 20; j++) await turn();
    await clock.advance(1000);
    if (i === 2) assert.ok(!trickle.destroyed);
  }
  await ended;
  assert.equal(await ask(steady, 'y'.repeat(400)), 200);
  server.close();
  steady.destroy();
});

test('answers that nobody reads end their connection before they fill the memory', async () => {
  const clock = new FakeClock();
  const server = clocked(clock, () => ({ status: 200, body: { text: 'x'.repeat(60_000) } }));
  const port = await server.listen('127.0.0.1', 0);
  const deaf = connect(port);
  deaf.pause();
  const ended = closed(deaf);
  for (let i = 0; i < 3000 && !deaf.destroyed; i++) {
    deaf.write(get('/'));
    await turn();
    if (i % 50 === 49) await clock.advance(1000);
  }
  await ended;
  server.close();
});

test('a client that waits to be told to go on is told; what HTTP/1.1 demands is demanded', async () => {
  const clock = new FakeClock();
  const server = clocked(clock, (r) => ({ status: 200, body: { got: r.body.length } }));
  const port = await server.listen('127.0.0.1', 0);
  const careful = connect(port);
  const head = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n';
  assert.equal(await ask(careful, head), 100);
  assert.equal(await ask(careful, 'abc'), 200);
  assert.equal(await ask(careful, `${head}abc`), 200, 'not told when the body comes unasked');
  assert.equal(await ask(connect(port), 'GET / HTTP/1.1\r\n\r\n'), 400);
  assert.equal(await ask(connect(port), 'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n'), 400);
  assert.equal(await ask(connect(port), 'GET / HTTP/1.1\r\nHost: a\r\nExpect: cake\r\n\r\n'), 417);
  assert.equal(await ask(connect(port), 'GET / HTTP/1.0\r\n\r\n'), 200);
  const both = connect(port);
  both.write(`${get('/')}rubbish\r\n\r\n`);
  let text = '';
  both.on('data', (data) => {
    text += data;
  });
  await closed(both);
  assert.match(text, /^HTTP\/1.1 200 [\s\S]*HTTP\/1.1 400 /, 'what came before is answered first');
  server.close();
  careful.destroy();
});

// Guards against one slow address taking the sockets that others need, and against answers that fill the memory.
test('a client opens a few connections to one address, and fails on answers that are too long', async () => {
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
  const at = (s: net.Server) => `127.0.0.1:${(s.address() as net.AddressInfo).port}`;
  const client = new HttpClient(clock, {
    maxSockets: 8,
    maxSocketsTo: () => 2,
    bodyBytes: 10_000,
    maxHeldBytes: 20_000,
  });
  const failures: string[] = [];
  const asked = (addr: string) =>
    client.request(addr, 'GET', '/', null, 1000).catch((error: HttpRequestError) => {
      failures.push(`${error.message} ${error.sent}`);
    });
  const waits = [asked(at(slow)), asked(at(slow))];
  await asked(at(slow));
  assert.deepEqual(failures.splice(0), ['no socket free false']);
  const big = [1, 2].map(() => asked(at(long)));
  const strict = new HttpClient(clock, { maxSockets: 8, bodyBytes: 8999 });
  await assert.rejects(strict.request(at(long), 'GET', '/', null, 1000), /body too large/);
  const tight = new HttpClient(clock, { maxSockets: 8, bodyBytes: 10_000, maxHeldBytes: 7000 });
  await assert.rejects(tight.request(at(long), 'GET', '/', null, 1000), /too much at once/);
  await clock.advance(1100);
  await Promise.all([...waits, ...big]);
  assert.equal(failures.filter((f) => /timeout true/.test(f)).length, 4);
  for (const c of [client, strict, tight]) c.close();
  slow.close();
  long.close();
});
