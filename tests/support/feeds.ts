import pino from 'pino';
import { ChangeFeed } from '../../src/changefeed/changefeed.js';
import type { PresentNode } from '../../src/changefeed/sourceorder.js';
import { pause } from '../../src/clock/clock.js';
import { ClusterStateCache } from '../../src/controller/clusterstatecache.js';
import { StateService } from '../../src/emulator/state.js';
import type { Mesh } from '../../src/peer/mesh.js';
import { StateStore } from '../../src/state/statestore.js';
import { FakeClock } from './clock.js';
import { FakeNet } from './net.js';

const STATE = 'state';

interface FeedNode {
  feed: ChangeFeed;
  stateCache: ClusterStateCache;
  /** Whether the node is killed or paused, and therefore answers no request and runs no callback. */
  down: boolean;
  /** Whether the node's lease renewals show that the key-value store is reachable. */
  stateStoreReachable: boolean;
}

/** Change feeds and cluster state caches of several controllers, with one emulated key-value store, on a fake clock. */
export class FeedCluster {
  readonly clock = new FakeClock();
  readonly state = new StateService(this.clock);
  readonly net = new FakeNet(this.clock);
  readonly nodes = new Map<string, FeedNode>();
  /** The nodes that are present, in the order of joining; `presenceSeenBy` overrides it for single nodes. */
  present: string[];
  readonly presenceSeenBy = new Map<string, string[]>();
  /** Partitioned pairs of nodes, as `from>to`; a pair is partitioned in both directions. */
  readonly cut = new Set<string>();
  /** Returns the latency of an answer, in milliseconds. */
  answerMs: (from: string, to: string, op: string) => number = () => 0;
  /** Alters an answer in transit. */
  alterAnswer: (answer: unknown, from: string, to: string) => unknown = (answer) => answer;
  /** The number of requests to the key-value store, by node and kind. */
  readonly requests = new Map<string, number>();
  readonly sentRequests: { from: string; to: string; op: string }[] = [];
  private valueCount = 0;

  constructor(
    names: string[],
    private readonly regionOf: (node: string) => string = () => '',
  ) {
    this.present = [...names];
    this.net.peers.set(STATE, (m, p, b, from) => this.state.serve(m, p, b, from));
    this.state.onRequest = (r) => {
      const key = `${r.from} ${r.kind}`;
      this.requests.set(key, (this.requests.get(key) ?? 0) + 1);
    };
    for (const name of names) this.start(name);
  }

  start(name: string): FeedNode {
    const log = pino({ level: 'silent' });
    const limits = { rps: 200, writeRps: 80, nodes: 1 };
    const clock = {
      now: () => this.clock.now(),
      wall: () => this.clock.wall(),
      after: (ms: number, run: () => void) =>
        this.clock.after(ms, () => {
          if (!node.down) run();
        }),
    };
    const store = new StateStore(clock, this.net.requester(name), STATE, limits);
    const options = {
      node: name,
      prefix: 'c/',
      regionOf: this.regionOf,
      // The share of each node in a cluster of seventeen.
      requestsPerSecond: limits.rps / 17,
      presentNodes: () => this.presentNodesFor(name),
      isStateStoreReachable: () => node.stateStoreReachable,
    };
    const feed = new ChangeFeed(clock, store, log, options);
    const stateCache = new ClusterStateCache(clock, feed, 'c/', log, () => undefined);
    const node: FeedNode = { feed, stateCache, down: false, stateStoreReachable: true };
    this.nodes.set(name, node);
    feed.start(this.mesh(name, node));
    void stateCache.run();
    return node;
  }

  /** Writes a record and returns its version. */
  writeRecord(key: string, value: unknown = ++this.valueCount): number {
    return this.write([{ set: key, value }]);
  }

  deleteRecord(key: string): number {
    return this.write([{ drop: key }]);
  }

  watchCount(name: string): number {
    return this.requests.get(`${name} watch`) ?? 0;
  }

  /** Returns whether within `ms` all nodes that are up, except `but`, have this version of a record. */
  async isKnownWithin(
    key: string,
    version: number,
    ms: number,
    but: readonly string[] = [],
  ): Promise<boolean> {
    const nodesLacking = () =>
      [...this.nodes].filter(
        ([name, n]) => !n.down && !but.includes(name) && n.stateCache.entries.get(key)?.version !== version,
      );
    return this.clock.until(() => nodesLacking().length === 0, ms);
  }

  private write(writes: object[]): number {
    const served = this.state.serve('POST', '/txn', { when: [], writes }, 'operator') as {
      body: { ledgerRev: number };
    };
    return served.body.ledgerRev;
  }

  private presentNodesFor(name: string): PresentNode[] {
    return (this.presenceSeenBy.get(name) ?? this.present).map((node, version) => ({ node, version }));
  }

  private isConnected(from: string, to: string): boolean {
    const target = this.nodes.get(to);
    return target !== undefined && !this.cut.has(`${from}>${to}`) && !this.cut.has(`${to}>${from}`);
  }

  private mesh(from: string, node: FeedNode): Mesh {
    return {
      request: async (to, op, args, timeoutMs) => {
        this.sentRequests.push({ from, to, op });
        if (!this.isConnected(from, to)) throw new Error('not connected');
        return new Promise((resolve, reject) => {
          this.clock.after(timeoutMs, () => !node.down && reject(new Error('no answer')));
          const target = this.nodes.get(to)!;
          if (target.down || node.down) return;
          const answer = async () => {
            const served = await target.feed.serve(op, JSON.parse(JSON.stringify(args)));
            await pause(this.clock, this.answerMs(from, to, op));
            if (!target.down && !node.down)
              resolve(this.alterAnswer(JSON.parse(JSON.stringify(served)), from, to));
          };
          void answer().catch(reject);
        });
      },
      notify: () => undefined,
      connected: (to) => this.isConnected(from, to),
      refused: () => false,
    };
  }
}
