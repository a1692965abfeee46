import { once } from 'node:events';
import net from 'node:net';
import { systemClock } from '../../src/clock/clock.js';
import { encodeFrame } from '../../src/peer/frames.js';
import { PeerMesh } from '../../src/peer/mesh.js';
import type { Produced } from './produced.js';

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

/** All bytes that come on a connection, with a wait until there are so many or no more come. */
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

/** What a node sends another one on a connection, from the first byte on, and what it answers. */
export async function meshFrames(): Promise<Produced> {
  const server = net.createServer();
  const [theirs, ours] = [await listening(server), await freePort()];
  const fail = (error: unknown) => Promise.reject(error);
  const peer = { node: 'n1', zone: 'b', addr: `${HOST}:${theirs}` };
  const mesh = new PeerMesh(systemClock, 'n0', [peer], fail, fail);
  const accepted = once(server, 'connection');
  await mesh.listen({ host: HOST, port: ours }, (op, args, from) => {
    if (op === 'cancel') throw new Error('the shard has moved');
    return { op, args, from };
  });
  const [connection] = (await accepted) as [net.Socket];
  const received = bytesOf(connection);
  await received(HELLO.length);
  const question = mesh.request('n1', 'status', { shard: 1, id: 'wk-1' }, 5000);
  mesh.notify('n1', 'sent', { machine: 'm-1' });
  const asked = encodeFrame({ q: 1, op: 'status', a: { shard: 1, id: 'wk-1' } });
  const told = encodeFrame({ op: 'sent', a: { machine: 'm-1' } });
  const sent = await received(HELLO.length + asked.length + told.length);
  connection.write(encodeFrame({ r: 1, a: { status: 'queued' } }));
  const answer = JSON.stringify(await question);

  const client = net.connect({ host: HOST, port: ours });
  const replied = bytesOf(client);
  client.write(HELLO);
  client.write(encodeFrame({ q: 3, op: 'status', a: { id: 'wk-1' } }));
  const first = encodeFrame({ r: 3, a: { op: 'status', args: { id: 'wk-1' }, from: 'n1' } });
  await replied(first.length);
  client.write(encodeFrame({ q: 4, op: 'cancel', a: {} }));
  const second = encodeFrame({ r: 4, e: 'the shard has moved' });
  const replies = await replied(first.length + second.length);
  client.destroy();
  connection.destroy();
  mesh.close();
  server.close();
  return { sent, answer, replies };
}
