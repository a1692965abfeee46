import type { Expr } from '../classad/ast.js';
import { evaluate } from '../classad/evaluate.js';
import { type Clock, pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import type { ControllerNode } from '../controller/controllernode.js';
import { UnavailableError } from '../errors/errors.js';
import { StateStoreError } from '../state/statestore.js';
import type { ProcState } from '../wire/condor.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import { Cluster, jobId, jobIdPrefix } from './cluster.js';
import { ClusterPlan, type ProcOptions } from './procs.js';
import { type ClusterRecords, EXPANDER, type Exception, type StoredCluster } from './records.js';

const TICK_MS = 500;
const LIST_INTERVAL_MS = 2000;
const DISCOVERY_INTERVAL_MS = 1500;
const PERIODIC_INTERVAL_MS = 20_000;
/** Number of processes that may become jobs before the progress is stored; a new expander submits these again. */
const EXPANSION_WINDOW = 64;
/** Share of the key-value store's write rate that turning processes into jobs may use, besides all other writes. */
const WRITE_RATE_SHARE = 0.3;
/**
 * Expansion pauses while a write to the key-value store would wait longer than this: other work needs the store
 * more.
 */
const BUSY_WRITE_DELAY_MS = 150;
/**
 * Maximum number of unfinished jobs of one cluster at a time, unless its owner sets a lower limit. The
 * remaining processes wait as a range of process numbers in the record of the cluster.
 */
const MAX_UNFINISHED_JOBS = 500;
const MAX_CONCURRENT_REQUESTS = 4;
const PROCS_PER_SLICE = 500;

/** Actions of users on processes. */
export type ProcAction = 'hold' | 'release' | 'remove';

/** Turns processes into jobs, on one node for all clusters, and stores which were held, released or removed. */
export class Expander {
  readonly clusters = new Map<number, Cluster>();
  private term: number | null = null;
  private lastDiscoveryAt = Number.NEGATIVE_INFINITY;
  private backoffUntil = 0;
  private writeBudget = 0;
  private roundRobinCounter = 0;
  private readonly clock: Clock;

  constructor(
    private readonly context: ControllerContext,
    private readonly node: ControllerNode,
    private readonly records: ClusterRecords,
    private readonly options: ProcOptions,
    private readonly upload: (spec: JobSpec) => Promise<void>,
    private readonly log: Log,
  ) {
    this.clock = context.clock;
  }

  async run(): Promise<never> {
    for (;;) {
      await pause(this.clock, TICK_MS);
      try {
        await this.tick();
      } catch (error) {
        if (!(error instanceof StateStoreError || error instanceof UnavailableError))
          this.log.error({ err: error }, 'expanding clusters failed: retrying in 1 s');
        this.backoffUntil = this.clock.now() + 1000;
      }
    }
  }

  /**
   * Whether this node is the expander now: it holds its lease, and the expander's key is still its own under
   * `term`.
   */
  get active(): boolean {
    if (this.term === null) return false;
    const entry = this.node.membership.stateCache.entries.get(EXPANDER);
    return (
      this.node.membership.holdsLease &&
      entry !== undefined &&
      entry.version === this.term &&
      this.node.membership.isHeldHere(entry.value)
    );
  }

  private get wallSeconds(): number {
    return this.clock.wall() / 1000;
  }

  private resetTerm(): void {
    this.term = null;
    this.clusters.clear();
    this.lastDiscoveryAt = Number.NEGATIVE_INFINITY;
  }

  private async tick(): Promise<void> {
    if (this.term !== null && !this.active) this.resetTerm();
    if (this.term === null) {
      const { stateCache } = this.node.membership;
      if (!stateCache.isLoaded || stateCache.entries.has(EXPANDER) || !this.node.allSupportMatching) return;
      this.term = await this.node.membership.claim(EXPANDER);
      if (this.term === null) return;
      this.log.info({ term: this.term }, 'this node now expands clusters');
    }
    if (this.clock.now() < this.backoffUntil) return;
    if (this.clock.now() - this.lastDiscoveryAt > DISCOVERY_INTERVAL_MS) await this.discoverClusters();
    const rate = this.context.settings.stateLimits.writeRps * WRITE_RATE_SHARE;
    this.writeBudget = Math.min(rate * 2, this.writeBudget + (rate * TICK_MS) / 1000);
    const byPriority = [...this.clusters.values()].sort(
      (a, b) => Number(b.priority - a.priority) || a.number - b.number,
    );
    for (const cluster of byPriority) await this.maintain(cluster);
    await this.expand(byPriority);
  }

  /** Loads clusters that are not in memory yet. */
  async discoverClusters(): Promise<void> {
    const term = this.term;
    const all = await this.records.listClusters();
    for (const stored of all) {
      if (stored.record.state === 'over' || this.clusters.has(stored.number)) continue;
      const cluster = await this.loadCluster(stored);
      if (this.term !== term || !cluster) continue;
      this.clusters.set(stored.number, cluster);
      this.log.info(
        { cluster: stored.number, procs: stored.record.total, from: cluster.cursor },
        'cluster loaded for expansion',
      );
    }
    this.lastDiscoveryAt = this.clock.now();
  }

  private async loadCluster(stored: StoredCluster): Promise<Cluster | null> {
    const plan = new ClusterPlan(await this.records.submission(stored.record), this.options);
    const { exceptions, versions } = await this.records.exceptions(stored.number);
    return new Cluster(stored.number, stored.record, stored.version, plan, exceptions, versions);
  }

  // --- submitting processes as jobs

  private async expand(byPriority: Cluster[]): Promise<void> {
    if (this.context.store.writeDelayMs > BUSY_WRITE_DELAY_MS) return;
    const expandable = byPriority.filter(
      (cluster) => cluster.record.state === 'active' && this.allowance(cluster) > 0,
    );
    const candidates = expandable.filter((cluster) => cluster.priority === expandable[0]!.priority);
    while (this.writeBudget >= 1 && candidates.length > 0 && this.active) {
      // Clusters of the same priority take turns, so that a large cluster does not delay a small one.
      const cluster = candidates[this.roundRobinCounter++ % candidates.length]!;
      const steps = await this.submitNext(
        cluster,
        Math.min(MAX_CONCURRENT_REQUESTS, this.allowance(cluster), Math.floor(this.writeBudget)),
      );
      this.writeBudget -= steps;
      if (steps === 0 || this.allowance(cluster) <= 0) candidates.splice(candidates.indexOf(cluster), 1);
      if (this.clock.now() < this.backoffUntil) return;
    }
  }

  /** Returns how many more processes of a cluster may become jobs now. */
  private allowance(cluster: Cluster): number {
    if (cluster.cursor >= cluster.record.total && cluster.pendingRestarts.size === 0) return 0;
    const unlisted = Math.max(0, cluster.cursor - cluster.listedCursor);
    const headroom = this.limitOf(cluster) - cluster.jobs.size - unlisted;
    const maxIdle = this.ownerLimit(cluster, 'JobMaterializeMaxIdle');
    if (maxIdle === null) return headroom;
    let idle = unlisted;
    for (const j of cluster.jobs.values()) if (j.running === 0) idle++;
    return Math.min(headroom, maxIdle - idle);
  }

  private limitOf(cluster: Cluster): number {
    return Math.min(
      MAX_UNFINISHED_JOBS,
      this.ownerLimit(cluster, 'JobMaterializeLimit') ?? MAX_UNFINISHED_JOBS,
    );
  }

  /** Returns a limit that the owner of the cluster has set; null for none. */
  private ownerLimit(cluster: Cluster, name: string): number | null {
    const limit = evaluate({ node: 'name', scope: 'my', name }, { my: cluster.proc(0).ad });
    return typeof limit === 'bigint' && limit > 0n ? Number(limit) : null;
  }

  /**
   * Returns whether a cluster is active (not being removed) and this copy of its state is still the current
   * one.
   */
  private isExpandable(cluster: Cluster): boolean {
    return cluster.record.state === 'active' && this.clusters.get(cluster.number) === cluster;
  }

  /** Submits the next processes, restarts first; returns the number of processes handled, at most `maxSteps`. */
  private async submitNext(cluster: Cluster, maxSteps: number): Promise<number> {
    // The owner may have removed the cluster while other clusters had their turn.
    if (!this.isExpandable(cluster)) return 0;
    if (cluster.pendingRestarts.size > 0) {
      const restarts = [...cluster.pendingRestarts].slice(0, maxSteps);
      await Promise.all(
        restarts.map((n) => this.submit(cluster, n).then(() => cluster.pendingRestarts.delete(n))),
      );
      return restarts.length;
    }
    if (cluster.cursor >= cluster.record.upTo && !(await this.extendWindow(cluster))) return 0;
    const procs = [];
    for (let n = cluster.cursor; n < cluster.record.upTo && procs.length < maxSteps; n++) procs.push(n);
    // The cursor advances only when the whole step has succeeded, so that it never passes a process whose
    // submission has failed or whose outcome is unknown.
    await Promise.all(procs.filter((n) => cluster.shouldBecomeJob(n)).map((n) => this.submit(cluster, n)));
    cluster.cursor += procs.length;
    return procs.length;
  }

  /** Stores which processes may become jobs next, before any of them becomes one. */
  private async extendWindow(cluster: Cluster): Promise<boolean> {
    const upTo = Math.min(cluster.record.total, cluster.cursor + EXPANSION_WINDOW);
    return this.storeRecord(cluster, { from: cluster.cursor, upTo }, true);
  }

  private storeRecord(
    cluster: Cluster,
    change: Partial<Cluster['record']>,
    forExpansion = false,
  ): Promise<boolean> {
    return cluster.mutex.runExclusive(async () => {
      if (
        this.term === null ||
        this.clusters.get(cluster.number) !== cluster ||
        (forExpansion && !this.isExpandable(cluster))
      )
        return false;
      const record = { ...cluster.record, ...change };
      let version: number | null = null;
      try {
        version = await (record.state === 'over'
          ? this.records.moveToEnded(this.term, cluster, record)
          : this.records.put(this.term, cluster, record));
      } finally {
        if (version === null) this.invalidate(cluster);
      }
      if (version === null) return false;
      cluster.record = record;
      cluster.version = version;
      return true;
    });
  }

  /**
   * Discards the state of a cluster in memory, so that the stored records are read again: another term has
   * begun, or a write without an answer may have been applied.
   */
  private invalidate(cluster: Cluster): void {
    if (this.clusters.get(cluster.number) === cluster) this.clusters.delete(cluster.number);
    this.lastDiscoveryAt = Number.NEGATIVE_INFINITY;
  }

  private async submit(cluster: Cluster, n: number): Promise<void> {
    const spec = cluster.spec(n);
    await this.upload(spec);
    // Until the answer arrives, another node may take over as expander. It submits the same id, which is
    // accepted only once.
    if (!this.active || !this.isExpandable(cluster)) throw new UnavailableError('no longer expanded here');
    let answer = await this.node.submit(spec);
    // The cluster was accepted as a whole, so a job whose deadline can no longer be met is submitted without a
    // deadline.
    if (answer.kind === 'refused') answer = await this.node.submit({ ...spec, deadlineS: null });
    if (answer.kind === 'refused' || answer.kind === 'busy') {
      this.backoffUntil = Math.max(this.backoffUntil, this.clock.now() + answer.retryS * 1000);
      throw new UnavailableError('not taken now');
    }
    if (answer.kind === 'never') throw new UnavailableError(`${answer.needs} was never accepted`);
  }

  // --- tracking, cancelling and changing processes

  private async maintain(cluster: Cluster): Promise<void> {
    await this.cancelPending(cluster);
    const cursor = cluster.cursor;
    if (this.clock.now() - cluster.listedAt >= LIST_INTERVAL_MS) {
      const jobs = await this.listJobs(cluster.number);
      cluster.jobs = new Map(jobs.map((j) => [j.id, j]));
      cluster.listedCursor = cursor;
      cluster.listedAt = this.clock.now();
      if (cluster.cancellationSweepDue) {
        cluster.cancellationSweepDue = false;
        this.cancelAll(cluster);
      }
      if (cluster.pendingCancellations.size === 0 && cluster.pendingRestarts.size === 0)
        await this.endIfFinished(cluster);
    }
    if (this.clock.now() - cluster.checkedAt >= PERIODIC_INTERVAL_MS) {
      cluster.checkedAt = this.clock.now();
      await this.applyPeriodicExpressions(cluster);
    }
  }

  private async listJobs(n: number): Promise<ListedJob[]> {
    const all: ListedJob[] = [];
    for (let after = ''; ; ) {
      const { jobs, more } = await this.node.list(jobIdPrefix(n), after);
      all.push(...jobs);
      const last = jobs.at(-1);
      if (!more || !last) return all;
      after = last.id;
    }
  }

  private async cancelPending(cluster: Cluster): Promise<void> {
    while (cluster.pendingCancellations.size > 0 && this.active && this.clock.now() >= this.backoffUntil) {
      await Promise.all(
        [...cluster.pendingCancellations]
          .slice(0, MAX_CONCURRENT_REQUESTS)
          .map((id) => this.cancel(cluster, id)),
      );
    }
  }

  /**
   * Cancels a job permanently. A job that is not known may still be submitted late by the previous expander.
   * The job is therefore submitted here first, so that its end is stored and a late submission finds that the
   * job has ended.
   */
  private async cancel(cluster: Cluster, id: string): Promise<void> {
    if ((await this.node.cancel(id)) === null) {
      const proc = Number(/^wk-condor-\d+-(\d+)/.exec(id)![1]);
      await this.node.submit({ ...cluster.proc(proc).spec, deadlineS: null, id });
      if ((await this.node.cancel(id)) === null) throw new UnavailableError('not cancelled yet');
    }
    cluster.pendingCancellations.delete(id);
  }

  /**
   * Ends a cluster once all its processes have ended or, if it is being removed, once all its jobs are
   * cancelled.
   */
  private async endIfFinished(cluster: Cluster): Promise<void> {
    if (cluster.jobs.size > 0) return;
    if (cluster.record.state !== 'removing') {
      if (cluster.cursor < cluster.record.total) return;
      for (let n = 0; n < cluster.record.total; n++)
        if (cluster.state(n) !== 'completed' && cluster.state(n) !== 'removed') return;
    }
    const { removed } = cluster.counts;
    if (!(await this.storeRecord(cluster, { state: 'over', removed }))) return;
    this.clusters.delete(cluster.number);
    this.log.info({ cluster: cluster.number, procs: cluster.record.total, removed }, 'cluster ended');
    if (this.term !== null)
      await this.records.deleteObsolete(this.term, {
        number: cluster.number,
        record: cluster.record,
        version: cluster.version,
      });
  }

  private async applyPeriodicExpressions(cluster: Cluster): Promise<void> {
    const { ad } = cluster.proc(0);
    const periodicActions: [string, ProcAction, ProcState[]][] = [
      ['PeriodicRemove', 'remove', ['idle', 'running', 'held']],
      ['PeriodicHold', 'hold', ['idle', 'running']],
      ['PeriodicRelease', 'release', ['held']],
    ];
    for (const [attribute, action, states] of periodicActions) {
      if (!ad.has(attribute)) continue;
      const procs = await this.filterProcs(
        cluster,
        (n) => states.includes(cluster.state(n)) && cluster.attributeIsTrue(n, attribute, this.wallSeconds),
      );
      const reason = evaluate({ node: 'name', scope: 'my', name: `${attribute}Reason` }, { my: ad });
      const why = typeof reason === 'string' ? reason : `${attribute} is true`;
      if (procs.length > 0) await this.applyAction(cluster, action, procs, why);
    }
  }

  /** Returns the processes that satisfy a predicate; checks them in slices so that other work can run in between. */
  async filterProcs(cluster: Cluster, predicate: (n: number) => boolean): Promise<number[]> {
    const procs: number[] = [];
    for (let n = 0; n < cluster.record.total; n++) {
      if (predicate(n)) procs.push(n);
      if (n % PROCS_PER_SLICE === PROCS_PER_SLICE - 1) await pause(this.clock, 0);
    }
    return procs;
  }

  /** Returns the processes that satisfy a constraint, or every process if there is no constraint. */
  procsMatching(cluster: Cluster, constraint: Expr | null): Promise<number[]> {
    return this.filterProcs(cluster, (n) => {
      if (constraint === null) return true;
      return evaluate(constraint, { my: cluster.adOf(n, this.wallSeconds), now: this.wallSeconds }) === true;
    });
  }

  /**
   * Holds, releases or removes processes. Resolves with the number of changed processes once the change is
   * durable. From then on no task of a held or removed process starts again, and running tasks are stopped as
   * fast as those of a cancelled job.
   */
  applyAction(cluster: Cluster, action: ProcAction, procs: readonly number[], why: string): Promise<number> {
    return cluster.mutex.runExclusive(() => this.storeAction(cluster, action, procs, why));
  }

  private async storeAction(
    cluster: Cluster,
    action: ProcAction,
    procs: readonly number[],
    why: string,
  ): Promise<number> {
    if (!this.active || this.term === null || this.clusters.get(cluster.number) !== cluster)
      throw new UnavailableError('no longer the expander');
    const changed: [number, Exception][] = [];
    for (const n of procs) {
      const state = cluster.state(n);
      const start = cluster.exceptions.get(n)?.start ?? 0;
      if (state === 'completed' || state === 'removed') continue;
      if (action === 'remove') changed.push([n, { start, state: 'removed', why }]);
      if (action === 'hold' && state !== 'held') changed.push([n, { start: start + 1, state: 'held', why }]);
      if (action === 'release' && state === 'held') changed.push([n, { start, state: 'idle', why }]);
    }
    const previous = changed.map(([n]) => [n, cluster.exceptions.get(n)] as const);
    for (const [n, exception] of changed) cluster.exceptions.set(n, exception);
    let stored = false;
    try {
      const chunks = cluster.chunkNumbers(changed.map(([n]) => n));
      stored = await this.records.putExceptions(
        this.term,
        cluster.number,
        cluster.exceptions,
        chunks,
        cluster.chunkVersions,
      );
    } finally {
      if (!stored) {
        for (const [n, exception] of previous) {
          if (exception) cluster.exceptions.set(n, exception);
          else cluster.exceptions.delete(n);
        }
        this.invalidate(cluster);
      }
    }
    if (!stored) throw new UnavailableError('not stored');
    for (const [n, exception] of changed) {
      cluster.cancelSupersededStarts(n, exception);
      if (exception.state === 'idle' && n < cluster.cursor) cluster.pendingRestarts.add(n);
      else cluster.pendingRestarts.delete(n);
    }
    return changed.length;
  }

  /** Removes a whole cluster with one write, whatever its size; its jobs are cancelled from then on. */
  async removeCluster(cluster: Cluster): Promise<number> {
    const { idle, running, held } = cluster.counts;
    if (!(await this.storeRecord(cluster, { state: 'removing' }))) throw new UnavailableError('not stored');
    this.cancelAll(cluster);
    return idle + running + held;
  }

  private cancelAll(cluster: Cluster): void {
    cluster.pendingRestarts.clear();
    // Jobs that the listing showed to have ended need no cancelling; those of the last window may not have been
    // listed.
    for (const id of cluster.jobs.keys()) cluster.pendingCancellations.add(id);
    for (
      let n = Math.max(0, Math.min(cluster.listedCursor, cluster.record.from));
      n < cluster.record.upTo;
      n++
    )
      cluster.pendingCancellations.add(jobId(cluster.number, n, cluster.exceptions.get(n)?.start ?? 0));
  }
}
