import { once } from 'node:events';
import net from 'node:net';
import { systemClock } from '../../src/clock/clock.js';
import { encodeFrame } from '../../src/peer/frames.js';
import { PeerMesh } from '../../src/peer/mesh.js';
import type { EncodedTexts } from './produced.js';

const HOST = '127.0.0.1';

async function listening(server: net.Server): Promise<number> {
  server.listen(0, HOST);
  await once(server, 'listening');
  return (server.address() as net.AddressInfo).port;
}

async function freePort(): Promise<number> {
  const probe = net.createServer();
  const port = await listening(probe);
  probe.close();
  await once(probe, 'close');
  return port;
}

/**
 * Collects the bytes of a connection; the returned function waits until `bytes` of them arrived or the socket
 * closed.
 */
function bytesOf(socket: net.Socket): (bytes: number) => Promise<string> {
  let read = Buffer.alloc(0);
  socket.on('data', (data) => {
    read = Buffer.concat([read, data]);
  });
  return async (bytes) => {
    while (read.length < bytes && !socket.destroyed)
      await Promise.race([once(socket, 'data'), once(socket, 'close')]);
    return read.toString('hex');
  };
}

const HELLO = encodeFrame({ op: 'hello', a: 'n1' });

/**
 * Returns the bytes that a node sends to a peer, from the first byte of the connection on, and its answers to a
 * peer.
 */
export async function meshFrames(): Promise<EncodedTexts> {
  const server = net.createServer();
  const [peerPort, ownPort] = [await listening(server), await freePort()];
  const fail = (error: unknown) => Promise.reject(error);
  const peer = { node: 'n1', zone: 'b', addr: `${HOST}:${peerPort}` };
  const mesh = new PeerMesh(systemClock, 'n0', [peer], fail, fail);
  const accepted = once(server, 'connection');
  await mesh.listen({ host: HOST, port: ownPort }, (op, args, from) => {
    if (op === 'cancel') throw new Error('the shard has moved');
    return { op, args, from };
  });
  const [connection] = (await accepted) as [net.Socket];
  const received = bytesOf(connection);
  await received(HELLO.length);
  const response = mesh.request('n1', 'status', { shard: 1, id: 'wk-1' }, 5000);
  mesh.notify('n1', 'sent', { machine: 'm-1' });
  const requestFrame = encodeFrame({ q: 1, op: 'status', a: { shard: 1, id: 'wk-1' } });
  const notificationFrame = encodeFrame({ op: 'sent', a: { machine: 'm-1' } });
  const sent = await received(HELLO.length + requestFrame.length + notificationFrame.length);
  connection.write(encodeFrame({ r: 1, a: { status: 'queued' } }));
  const answer = JSON.stringify(await response);

  const client = net.connect({ host: HOST, port: ownPort });
  const receivedReplies = bytesOf(client);
  client.write(HELLO);
  client.write(encodeFrame({ q: 3, op: 'status', a: { id: 'wk-1' } }));
  const first = encodeFrame({ r: 3, a: { op: 'status', args: { id: 'wk-1' }, from: 'n1' } });
  await receivedReplies(first.length);
  client.write(encodeFrame({ q: 4, op: 'cancel', a: {} }));
  const second = encodeFrame({ r: 4, e: 'the shard has moved' });
  const replies = await receivedReplies(first.length + second.length);
  client.destroy();
  connection.destroy();
  mesh.close();
  server.close();
  return { sent, answer, replies };
}
