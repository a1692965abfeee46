import { once } from 'node:events';
import net from 'node:net';
import { systemClock } from '../../src/clock/clock.js';
import { HttpClient } from '../../src/http/client.js';
import { type HttpReply, HttpServer } from '../../src/http/server.js';
import type { EncodedTexts } from './produced.js';

const HOST = '127.0.0.1';

/** Returns the bytes of the requests that the client sends, with the port replaced by a placeholder. */
async function requestBytes(): Promise<EncodedTexts> {
  const produced: EncodedTexts = {};
  let name = '';
  const server = net.createServer((socket) =>
    socket.on('data', (data) => {
      produced[name] = data.toString('utf8').replace(/^(Host: [^:]+:)\d+/m, '$1PORT');
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
    }),
  );
  server.listen(0, HOST);
  await once(server, 'listening');
  const address = `${HOST}:${(server.address() as net.AddressInfo).port}`;
  const client = new HttpClient(systemClock, { maxSockets: 1, maxBodyBytes: 1000 });
  for (const [method, path, body] of [
    ['GET', '/keys/c/own/1', null],
    ['POST', '/leases/3/touch', {}],
    ['POST', '/txn', { when: [], writes: [{ set: 'c/ü', value: 'ö' }] }],
    ['DELETE', '/leases/3', null],
    ['PUT', '/jobs/wk-1', { job: {} }],
  ] as const) {
    name = `request ${method} ${path}`;
    await client.request(address, method, path, body, 5000);
  }
  client.close();
  server.close();
  return produced;
}

const REPLIES: readonly HttpReply[] = [
  { status: 200, body: { ok: true, revision: 3 } },
  { status: 201, body: { id: 'wk-1', status: 'queued' } },
  { status: 400, body: { error: 'ü' } },
  { status: 404, body: { error: 'no such job' } },
  { status: 405, body: { error: 'method not allowed' }, headers: { Allow: 'GET, POST' } },
  { status: 421, body: { foreman: 'n1' } },
  { status: 422, body: { error: 'never' } },
  { status: 429, body: { error: 'later' }, headers: { 'Retry-After': '3' } },
  { status: 503 },
];

/** Sends bytes and returns all that the peer sends until it closes the connection. */
async function exchange(port: number, text: string): Promise<string> {
  const socket = net.connect({ host: HOST, port });
  const parts: Buffer[] = [];
  socket.on('data', (data) => parts.push(data));
  socket.write(text);
  await once(socket, 'close');
  return Buffer.concat(parts).toString('utf8');
}

/** Returns the bytes of the responses that the server sends. */
async function replyBytes(): Promise<EncodedTexts> {
  const produced: EncodedTexts = {};
  let reply = REPLIES[0]!;
  const server = new HttpServer(systemClock, () => reply, {
    maxConnections: 20,
    maxBodyBytes: 100,
    requestTimeoutMs: 5000,
    idleTimeoutMs: 5000,
    onError: () => undefined,
  });
  const port = await server.listen(HOST, 0);
  const keepAliveRequest = 'GET /kept HTTP/1.1\r\nHost: a\r\n\r\n';
  const closingRequest = 'GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';
  for (reply of REPLIES)
    produced[`reply ${reply.status}`] = await exchange(port, keepAliveRequest + closingRequest);
  const oversizedRequest = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n';
  produced['too large'] = await exchange(port, oversizedRequest);
  produced['no request'] = await exchange(port, 'what\r\n\r\n');
  server.close();
  return produced;
}

/** Returns HTTP requests and responses, byte for byte. */
export async function httpBytes(): Promise<EncodedTexts> {
  return { ...(await requestBytes()), ...(await replyBytes()) };
}
