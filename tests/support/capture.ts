import { ControllerNode } from '../../src/controller/controllernode.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../../src/peer/frames.js';
import type { Mesh } from '../../src/peer/mesh.js';
import { type FakeCluster, STATE } from './cluster.js';
import type { Peer } from './net.js';
import { Shapes } from './shapes.js';

/** Patterns that map the keys in the key-value store to their kinds; the first match applies. */
const STORED_KINDS: readonly [kind: string, key: RegExp][] = [
  ['c/lead', /^c\/lead$/],
  ['c/node/NAME', /^c\/node\/[^/]+$/],
  ['c/own/SHARD', /^c\/own\/[^/]+$/],
  ['c/stand/SHARD', /^c\/stand\/[^/]+$/],
  ['c/m/ID', /^c\/m\/[^/]+$/],
  ['c/mail/NAME', /^c\/mail\/[^/]+$/],
  ['c/teams', /^c\/teams$/],
  ['c/teams/N', /^c\/teams\/[^/]+$/],
  ['c/speaks/NAME', /^c\/speaks\/[^/]+$/],
  ['c/types', /^c\/types$/],
  ['c/condor', /^c\/condor$/],
  ['job/ID', /^job\/[^/]+$/],
  ['act/ID', /^act\/[^/]+$/],
  ['act/ID/atN', /^act\/[^/]+\/at\d+$/],
  ['act/ID/N', /^act\/[^/]+\/[^/]+$/],
  ['part/ID/TAG/N', /^part\/[^/]+\/[^/]+\/[^/]+$/],
  ['condor/next', /^condor\/next$/],
  ['condor/c/N', /^condor\/c\/\d{8}$/],
  ['condor/over/N', /^condor\/over\/\d{8}$/],
  ['condor/s/ID', /^condor\/s\/[^/]+$/],
  ['condor/p/ID/N', /^condor\/p\/[^/]+\/\d{8}$/],
  ['condor/x/N/N', /^condor\/x\/\d{8}\/\d{8}$/],
];

/** Returns the kind of a stored key; a key that matches no pattern is reported as an unknown kind. */
export function storedKind(key: string): string {
  return STORED_KINDS.find(([, pattern]) => pattern.test(key))?.[0] ?? `unknown kind: ${key}`;
}

/** Replaces the identifiers in a path by placeholders, and keeps only the parameter names of its query. */
export function pathKind(path: string): string {
  const [route, query] = path.split('?');
  const kind = route!
    .replace(/^\/keys\/.+$/, '/keys/KEY')
    .replace(/^\/jobs\/[^/]+$/, '/jobs/ID')
    .replace(/^\/api\/jobs\/[^/]+/, '/api/jobs/ID')
    .replace(/\/\d+/g, '/N');
  return query === undefined ? kind : `${kind}?${[...new URLSearchParams(query).keys()].join('&')}`;
}

/** Encodes a peer message and decodes it again, as the receiving controller would read it. */
function decodeEncoded(message: PeerMessage): { a?: unknown } {
  const [read] = [...new FrameReader().feed(encodeFrame(message))];
  return read as { a?: unknown };
}

interface StoredWrite {
  set?: string;
  value?: unknown;
}

/** Records the shapes of all HTTP messages, stored values and peer messages of scripted clusters. */
export class Capture {
  readonly http = new Shapes();
  readonly stored = new Shapes();
  readonly peers = new Shapes();

  /** Attaches to a cluster and records from then on. Call it before any node of the cluster is started. */
  attach(cluster: FakeCluster): void {
    const { peers } = cluster.net;
    const set = peers.set.bind(peers);
    peers.set = (address, peer) => set(address, this.wrapPeer(address, peer));
    for (const [address, peer] of [...peers]) peers.set(address, peer);
    const startNode = cluster.startNode.bind(cluster);
    cluster.startNode = (name) => {
      const running = this.withCapturedMesh(() => startNode(name));
      const handle = running.api.handle.bind(running.api);
      running.api.handle = async (request) => {
        const reply = await handle(request);
        const kind = `${request.method} ${pathKind(request.path)}`;
        const body = request.body.toString('utf8');
        this.http.add(`${kind} query`, [...request.query.keys()]);
        if (body !== '' && reply.status < 400) this.http.add(`${kind} request`, JSON.parse(body));
        this.http.add(`${kind} ${reply.status}`, toJson(reply.body));
        if (reply.headers) this.http.add(`${kind} ${reply.status} headers`, reply.headers);
        return reply;
      };
      return running;
    };
  }

  private wrapPeer(address: string, peer: Peer): Peer {
    return async (method, path, body, from) => {
      const kind = `${method} ${pathKind(path)}`;
      if (body !== null) this.http.add(`${kind} request`, body);
      if (address === STATE) this.recordWrites(body);
      const served = await peer(method, path, body, from);
      this.http.add(`${kind} ${served.status}`, toJson(served.body));
      return served;
    };
  }

  private recordWrites(body: unknown): void {
    const { writes } = (body ?? {}) as { writes?: StoredWrite[] };
    for (const write of writes ?? [])
      if (write.set !== undefined) this.stored.add(storedKind(write.set), write.value);
  }

  /** Runs `start` while `ControllerNode.start` is patched, so that nodes started by it get a recording mesh. */
  private withCapturedMesh<T>(start: () => T): T {
    const { start: originalStart } = ControllerNode.prototype;
    const wrapMesh = (mesh: Mesh) => this.wrapMesh(mesh);
    ControllerNode.prototype.start = function (mesh) {
      return originalStart.call(this, wrapMesh(mesh));
    };
    try {
      return start();
    } finally {
      ControllerNode.prototype.start = originalStart;
    }
  }

  wrapMesh(mesh: Mesh): Mesh {
    return {
      connected: (node) => mesh.connected(node),
      refused: (node) => mesh.refused(node),
      notify: (node, op, args) => {
        this.peers.add(`${op} told`, decodeEncoded({ op, a: args }).a);
        mesh.notify(node, op, args);
      },
      request: async (node, op, args, timeoutMs) => {
        this.peers.add(`${op} asked`, decodeEncoded({ q: 1, op, a: args }).a);
        const answer = await mesh.request(node, op, args, timeoutMs);
        this.peers.add(`${op} answered`, decodeEncoded({ r: 1, a: answer }).a);
        return answer;
      },
    };
  }
}

function toJson(body: unknown): unknown {
  return body === undefined ? undefined : JSON.parse(JSON.stringify(body));
}
