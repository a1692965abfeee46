import { type Clock, pause } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import type { Requester } from '../http/client.js';
import { readHealth, USER_PATHS } from '../wire/users.js';
import { type Distribution, histogram, summarize } from './spread.js';

/** Key of a meaningless record under the prefix that is replicated to all controllers. */
const PROBE_KEY = 'c/probe';
const POLL_INTERVAL_MS = 25;
const REQUEST_TIMEOUT_MS = 1000;
const PROPAGATION_TIMEOUT_MS = 10_000;

/** Propagation times of changes to the controllers, in milliseconds. */
export interface PropagationReport {
  /** Time from a change in the key-value store until all controllers that were up then know it. */
  allMs: Distribution;
  /** Time from a change until each controller knows it, by controller name. */
  eachMs: Record<string, Distribution>;
  /** Number of changes that some controller did not know after ten seconds. */
  unknown: number;
}

/** Changes a record periodically, and polls every controller for the revision of its cache. */
export class Propagation {
  private readonly slowestTimes = histogram();
  private readonly timesByNode = new Map<string, ReturnType<typeof histogram>>();
  private timedOut = 0;
  private writeCount = 0;
  private isRunning = true;
  private readonly pendingProbes = new Set<Promise<void>>();

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly cluster: LocalCluster,
    /** Returns the controllers that are not polled, because they are down or partitioned on purpose. */
    private readonly excluded: () => ReadonlySet<string>,
  ) {}

  /** Changes the record every `everyS` seconds until it is stopped. */
  async run(everyS: number): Promise<void> {
    while (this.isRunning) {
      const probe = this.probeOnce().finally(() => this.pendingProbes.delete(probe));
      this.pendingProbes.add(probe);
      await pause(this.clock, everyS * 1000);
    }
  }

  async stop(): Promise<PropagationReport> {
    this.isRunning = false;
    await Promise.all(this.pendingProbes);
    const eachMs = Object.fromEntries([...this.timesByNode].map(([node, h]) => [node, summarize(h, 1)]));
    return { allMs: summarize(this.slowestTimes, 1), eachMs, unknown: this.timedOut };
  }

  private async probeOnce(): Promise<void> {
    const body = { when: [], writes: [{ set: PROBE_KEY, value: { n: ++this.writeCount } }] };
    const response = await this.cluster.state.serve('POST', '/txn', body);
    if (response.status !== 200) return;
    const revision = (response.body as { ledgerRev: number }).ledgerRev;
    const writtenAt = this.clock.now();
    const probedControllers = this.cluster.controllers.filter((c) => !this.excluded().has(c.node));
    const results = await Promise.all(
      probedControllers.map((c) => this.measureDelay(c.node, c.bind, revision, writtenAt)),
    );
    const countedResults = results.filter((ms) => ms !== 'excluded');
    if (countedResults.some((ms) => ms === 'never')) this.timedOut++;
    else if (countedResults.length > 0)
      this.slowestTimes.recordValue(Math.max(1, ...countedResults.map(Number)));
  }

  /**
   * Returns the milliseconds until a controller knows a revision. Controllers excluded in the meantime do not
   * count.
   */
  private async measureDelay(
    node: string,
    addr: string,
    revision: number,
    writtenAt: number,
  ): Promise<number | 'never' | 'excluded'> {
    for (;;) {
      const requestedAt = this.clock.now();
      const knownRevision = await this.http
        .request(addr, 'GET', USER_PATHS.health, null, REQUEST_TIMEOUT_MS)
        .then((answer) => readHealth(answer.body))
        .catch(() => null);
      const elapsedMs = Math.round(this.clock.now() - writtenAt);
      if (knownRevision !== null && knownRevision >= revision) {
        const nodeTimes = this.timesByNode.get(node) ?? histogram();
        this.timesByNode.set(node, nodeTimes);
        nodeTimes.recordValue(Math.max(1, elapsedMs));
        return elapsedMs;
      }
      if (this.excluded().has(node)) return 'excluded';
      if (elapsedMs > PROPAGATION_TIMEOUT_MS) return 'never';
      await pause(this.clock, Math.max(0, requestedAt + POLL_INTERVAL_MS - this.clock.now()));
    }
  }
}
