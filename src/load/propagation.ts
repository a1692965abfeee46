import { type Clock, pause } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import type { Requester } from '../http/client.js';
import { readHealth, USER_PATHS } from '../wire/users.js';
import { histogram, type Spread, spread } from './spread.js';

/** A record of no meaning under the prefix that all controllers keep a copy of. */
const PROBE_KEY = 'c/probe';
const ASK_EVERY_MS = 25;
const ASK_MS = 1000;
const GIVE_UP_MS = 10_000;

/** How long changes took to reach the controllers, in milliseconds. */
export interface PropagationReport {
  /** From a change in the key-value store to its being known on the last of the controllers that were up then. */
  allMs: Spread;
  /** The same on each controller, by name. */
  eachMs: Record<string, Spread>;
  /** Changes that some controller did not know after ten seconds. */
  unknown: number;
}

/** Changes a record now and then, and asks every controller how far its copy of the keys is. */
export class Propagation {
  private readonly all = histogram();
  private readonly each = new Map<string, ReturnType<typeof histogram>>();
  private unknown = 0;
  private written = 0;
  private running = true;
  private readonly open = new Set<Promise<void>>();

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly cluster: LocalCluster,
    /** Controllers that are not asked, since they are down or cut off on purpose. */
    private readonly excluded: () => ReadonlySet<string>,
  ) {}

  /** Changes the record every so many seconds until it is stopped. */
  async run(everyS: number): Promise<void> {
    while (this.running) {
      const probe = this.change().finally(() => this.open.delete(probe));
      this.open.add(probe);
      await pause(this.clock, everyS * 1000);
    }
  }

  async stop(): Promise<PropagationReport> {
    this.running = false;
    await Promise.all(this.open);
    const eachMs = Object.fromEntries([...this.each].map(([node, h]) => [node, spread(h, 1)]));
    return { allMs: spread(this.all, 1), eachMs, unknown: this.unknown };
  }

  private async change(): Promise<void> {
    const body = { when: [], writes: [{ set: PROBE_KEY, value: { n: ++this.written } }] };
    const served = await this.cluster.state.serve('POST', '/txn', body);
    if (served.status !== 200) return;
    const revision = (served.body as { ledgerRev: number }).ledgerRev;
    const begun = this.clock.now();
    const asked = this.cluster.controllers.filter((c) => !this.excluded().has(c.node));
    const known = await Promise.all(asked.map((c) => this.knownAfter(c.node, c.bind, revision, begun)));
    const counted = known.filter((ms) => ms !== 'excluded');
    if (counted.some((ms) => ms === 'never')) this.unknown++;
    else if (counted.length > 0) this.all.recordValue(Math.max(1, ...counted.map(Number)));
  }

  /** Milliseconds until a controller knows a revision; those that leave meanwhile do not count. */
  private async knownAfter(
    node: string,
    addr: string,
    revision: number,
    begun: number,
  ): Promise<number | 'never' | 'excluded'> {
    for (;;) {
      const asked = this.clock.now();
      const told = await this.http
        .request(addr, 'GET', USER_PATHS.health, null, ASK_MS)
        .then((answer) => readHealth(answer.body))
        .catch(() => null);
      const ms = Math.round(this.clock.now() - begun);
      if (told !== null && told >= revision) {
        const of = this.each.get(node) ?? histogram();
        this.each.set(node, of);
        of.recordValue(Math.max(1, ms));
        return ms;
      }
      if (this.excluded().has(node)) return 'excluded';
      if (ms > GIVE_UP_MS) return 'never';
      await pause(this.clock, Math.max(0, asked + ASK_EVERY_MS - this.clock.now()));
    }
  }
}
