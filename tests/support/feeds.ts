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
  /** Killed, or standing still: it answers nothing and runs nothing. */
  down: boolean;
  /** What its renewals of a lease show. */
  served: boolean;
}

/** Feeds and copies of the keys of several controllers over one scripted state service, on a fake clock. */
export class FeedCluster {
  readonly clock = new FakeClock();
  readonly state = new StateService(this.clock);
  readonly net = new FakeNet(this.clock);
  readonly nodes = new Map<string, FeedNode>();
  /** Who is present, the longest first; a node may see it differently. */
  present: string[];
  readonly seenBy = new Map<string, string[]>();
  /** Pairs between which nothing passes, as `from>to`. */
  readonly cut = new Set<string>();
  /** Decides how long an answer is under way, in milliseconds. */
  answerMs: (from: string, to: string, op: string) => number = () => 0;
  /** Changes an answer on its way. */
  tamper: (answer: unknown, from: string, to: string) => unknown = (answer) => answer;
  /** Requests to the state service, by node and kind. */
  readonly requests = new Map<string, number>();
  readonly asked: { from: string; to: string; op: string }[] = [];
  private made = 0;

  constructor(
    names: string[],
    private readonly regionOf: (node: string) => string = () => '',
  ) {
    this.present = [...names];
    this.net.peers.set(STATE, (m, p, b, from) => this.state.serve(m, p, b, from));
    this.state.observed = (r) => {
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
      // As with seventeen nodes.
      requestsPerSecond: limits.rps / 17,
      presentNodes: () => this.presentTo(name),
      isStateStoreReachable: () => node.served,
    };
    const feed = new ChangeFeed(clock, store, log, options);
    const stateCache = new ClusterStateCache(clock, feed, 'c/', log, () => undefined);
    const node: FeedNode = { feed, stateCache, down: false, served: true };
    this.nodes.set(name, node);
    feed.start(this.mesh(name, node));
    void stateCache.run();
    return node;
  }

  /** Writes a record; returns its version. */
  change(key: string, value: unknown = ++this.made): number {
    return this.write([{ set: key, value }]);
  }

  drop(key: string): number {
    return this.write([{ drop: key }]);
  }

  watches(name: string): number {
    return this.requests.get(`${name} watch`) ?? 0;
  }

  /** How long it takes, at most, until all nodes that are up know a version of a record. */
  async knownWithin(key: string, version: number, ms: number, but: readonly string[] = []): Promise<boolean> {
    const lacking = () =>
      [...this.nodes].filter(
        ([name, n]) => !n.down && !but.includes(name) && n.stateCache.entries.get(key)?.version !== version,
      );
    return this.clock.until(() => lacking().length === 0, ms);
  }

  private write(writes: object[]): number {
    const served = this.state.serve('POST', '/txn', { when: [], writes }, 'operator') as {
      body: { ledgerRev: number };
    };
    return served.body.ledgerRev;
  }

  private presentTo(name: string): PresentNode[] {
    return (this.seenBy.get(name) ?? this.present).map((node, version) => ({ node, version }));
  }

  private passes(from: string, to: string): boolean {
    const target = this.nodes.get(to);
    return target !== undefined && !this.cut.has(`${from}>${to}`) && !this.cut.has(`${to}>${from}`);
  }

  private mesh(from: string, node: FeedNode): Mesh {
    return {
      request: async (to, op, args, timeoutMs) => {
        this.asked.push({ from, to, op });
        if (!this.passes(from, to)) throw new Error('not connected');
        return new Promise((resolve, reject) => {
          this.clock.after(timeoutMs, () => !node.down && reject(new Error('no answer')));
          const target = this.nodes.get(to)!;
          if (target.down || node.down) return;
          const answer = async () => {
            const given = await target.feed.serve(op, JSON.parse(JSON.stringify(args)));
            await pause(this.clock, this.answerMs(from, to, op));
            if (!target.down && !node.down) resolve(this.tamper(JSON.parse(JSON.stringify(given)), from, to));
          };
          void answer().catch(reject);
        });
      },
      notify: () => undefined,
      connected: (to) => this.passes(from, to),
      refused: () => false,
    };
  }
}
