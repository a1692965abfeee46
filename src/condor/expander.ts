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
import { Cluster, jobId, jobsUnder } from './cluster.js';
import { ClusterPlan, type ProcOptions } from './procs.js';
import { type ClusterRecords, EXPANDER, type Exception, type Loaded } from './records.js';

const TICK_MS = 500;
const LIST_MS = 2000;
const LOOK_MS = 1500;
const PERIODIC_MS = 20_000;
/** Processes that may have become jobs before that is stored: what a new expander goes through again. */
const WINDOW = 64;
/** Of the key-value store's rate of changes, what becoming a job may take beside all else. */
const WRITE_RATE_SHARE = 0.3;
/** While a change would wait longer than this, others need the key-value store more. */
const BUSY_MS = 150;
/** Unfinished jobs of one cluster at once, unless its owner asks for fewer: the rest waits as a line in its record. */
const MAX_UNFINISHED_JOBS = 500;
const AT_ONCE = 4;
const CHECKED_PER_TURN = 500;

/** What a user may do to processes. */
export type Act = 'hold' | 'release' | 'remove';

/** Turns processes into jobs, one node for all clusters; and keeps what was held, released and removed. */
export class Expander {
  readonly clusters = new Map<number, Cluster>();
  private term: number | null = null;
  private lookedAt = Number.NEGATIVE_INFINITY;
  private notBefore = 0;
  private budget = 0;
  private turn = 0;
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
          this.log.error({ err: error }, 'expanding failed');
        this.notBefore = this.clock.now() + 1000;
      }
    }
  }

  /** Whether this node expands now. */
  get active(): boolean {
    if (this.term === null) return false;
    const e = this.node.membership.stateCache.entries.get(EXPANDER);
    return (
      this.node.membership.holdsLease &&
      e !== undefined &&
      e.version === this.term &&
      this.node.membership.isHeldHere(e.value)
    );
  }

  private get now(): number {
    return this.clock.wall() / 1000;
  }

  private drop(): void {
    this.term = null;
    this.clusters.clear();
    this.lookedAt = Number.NEGATIVE_INFINITY;
  }

  private async tick(): Promise<void> {
    if (this.term !== null && !this.active) this.drop();
    if (this.term === null) {
      const { stateCache } = this.node.membership;
      if (!stateCache.isLoaded || stateCache.entries.has(EXPANDER) || !this.node.allSupportMatching) return;
      this.term = await this.node.membership.claim(EXPANDER);
      if (this.term === null) return;
      this.log.info({ term: this.term }, 'expands clusters');
    }
    if (this.clock.now() < this.notBefore) return;
    if (this.clock.now() - this.lookedAt > LOOK_MS) await this.look();
    const rate = this.context.settings.stateLimits.writeRps * WRITE_RATE_SHARE;
    this.budget = Math.min(rate * 2, this.budget + (rate * TICK_MS) / 1000);
    const order = [...this.clusters.values()].sort(
      (a, b) => Number(b.priority - a.priority) || a.number - b.number,
    );
    for (const c of order) await this.attend(c);
    await this.expand(order);
  }

  /** Takes in clusters that are new. */
  async look(): Promise<void> {
    const term = this.term;
    const all = await this.records.all();
    for (const l of all) {
      if (l.record.state === 'over' || this.clusters.has(l.number)) continue;
      const c = await this.load(l);
      if (this.term !== term || !c) continue;
      this.clusters.set(l.number, c);
      this.log.info({ cluster: l.number, procs: l.record.total, from: c.cursor }, 'cluster taken up');
    }
    this.lookedAt = this.clock.now();
  }

  private async load(l: Loaded): Promise<Cluster | null> {
    const plan = new ClusterPlan(await this.records.submission(l.record), this.options);
    const { exceptions, versions } = await this.records.exceptions(l.number);
    return new Cluster(l.number, l.record, l.version, plan, exceptions, versions);
  }

  // --- becoming jobs

  private async expand(order: Cluster[]): Promise<void> {
    if (this.context.store.writeDelayMs > BUSY_MS) return;
    const open = order.filter((c) => c.record.state === 'active' && this.allowance(c) > 0);
    const top = open.filter((c) => c.priority === open[0]!.priority);
    while (this.budget >= 1 && top.length > 0 && this.active) {
      // Clusters of one priority take turns, so that a large one keeps no small one waiting.
      const c = top[this.turn++ % top.length]!;
      const took = await this.grow(c, Math.min(AT_ONCE, this.allowance(c), Math.floor(this.budget)));
      this.budget -= took;
      if (took === 0 || this.allowance(c) <= 0) top.splice(top.indexOf(c), 1);
      if (this.clock.now() < this.notBefore) return;
    }
  }

  /** How many more processes may become jobs now. */
  private allowance(c: Cluster): number {
    if (c.cursor >= c.record.total && c.waiting.size === 0) return 0;
    const unlisted = Math.max(0, c.cursor - c.listedCursor);
    const room = this.limitOf(c) - c.jobs.size - unlisted;
    const most = this.asked(c, 'JobMaterializeMaxIdle');
    if (most === null) return room;
    let idle = unlisted;
    for (const j of c.jobs.values()) if (j.running === 0) idle++;
    return Math.min(room, most - idle);
  }

  private limitOf(c: Cluster): number {
    return Math.min(MAX_UNFINISHED_JOBS, this.asked(c, 'JobMaterializeLimit') ?? MAX_UNFINISHED_JOBS);
  }

  /** A limit that the cluster's owner asks for; null for none. */
  private asked(c: Cluster, name: string): number | null {
    const limit = evaluate({ node: 'name', scope: 'my', name }, { my: c.proc(0).ad });
    return typeof limit === 'bigint' && limit > 0n ? Number(limit) : null;
  }

  /** It is not being removed, and what is known of it here is what counts. */
  private grows(c: Cluster): boolean {
    return c.record.state === 'active' && this.clusters.get(c.number) === c;
  }

  /** Makes jobs of the next processes; returns how many steps that took. */
  private async grow(c: Cluster, most: number): Promise<number> {
    // Its owner may have removed it while others had their turn.
    if (!this.grows(c)) return 0;
    if (c.waiting.size > 0) {
      const again = [...c.waiting].slice(0, most);
      await Promise.all(again.map((n) => this.submit(c, n).then(() => c.waiting.delete(n))));
      return again.length;
    }
    if (c.cursor >= c.record.upTo && !(await this.widen(c))) return 0;
    const procs = [];
    for (let n = c.cursor; n < c.record.upTo && procs.length < most; n++) procs.push(n);
    // All of a step or none of it: the cursor passes only what is surely a job.
    await Promise.all(procs.filter((n) => c.wanted(n)).map((n) => this.submit(c, n)));
    c.cursor += procs.length;
    return procs.length;
  }

  /** Stores which processes may become jobs next, before any of them does. */
  private async widen(c: Cluster): Promise<boolean> {
    const upTo = Math.min(c.record.total, c.cursor + WINDOW);
    return this.put(c, { from: c.cursor, upTo }, true);
  }

  private put(c: Cluster, change: Partial<Cluster['record']>, growing = false): Promise<boolean> {
    return c.mutex.runExclusive(async () => {
      if (this.term === null || this.clusters.get(c.number) !== c || (growing && !this.grows(c)))
        return false;
      const record = { ...c.record, ...change };
      let version: number | null = null;
      try {
        version = await (record.state === 'over'
          ? this.records.end(this.term, c, record)
          : this.records.put(this.term, c, record));
      } finally {
        if (version === null) this.forget(c);
      }
      if (version === null) return false;
      c.record = record;
      c.version = version;
      return true;
    });
  }

  /** Another term has begun, or a write may have been applied without an answer: what is stored is read anew. */
  private forget(c: Cluster): void {
    if (this.clusters.get(c.number) === c) this.clusters.delete(c.number);
    this.lookedAt = Number.NEGATIVE_INFINITY;
  }

  private async submit(c: Cluster, n: number): Promise<void> {
    const spec = c.spec(n);
    await this.upload(spec);
    // From here on until the answer another node may have taken over: it submits the same id, which is accepted once.
    if (!this.active || !this.grows(c)) throw new UnavailableError('no longer expanded here');
    let answer = await this.node.submit(spec);
    // The cluster was accepted as a whole: a deadline that cannot be met any more is kept as well as can be.
    if (answer.kind === 'refused') answer = await this.node.submit({ ...spec, deadlineS: null });
    if (answer.kind === 'refused' || answer.kind === 'busy') {
      this.notBefore = Math.max(this.notBefore, this.clock.now() + answer.retryS * 1000);
      throw new UnavailableError('not taken now');
    }
    if (answer.kind === 'never') throw new UnavailableError(`${answer.needs} was never accepted`);
  }

  // --- what has become of them

  private async attend(c: Cluster): Promise<void> {
    await this.cancelSome(c);
    const cursor = c.cursor;
    if (this.clock.now() - c.listedAt >= LIST_MS) {
      const jobs = await this.list(c.number);
      c.jobs = new Map(jobs.map((j) => [j.id, j]));
      c.listedCursor = cursor;
      c.listedAt = this.clock.now();
      if (c.unswept) {
        c.unswept = false;
        this.cancelAll(c);
      }
      if (c.cancelling.size === 0 && c.waiting.size === 0) await this.close(c);
    }
    if (this.clock.now() - c.checkedAt >= PERIODIC_MS) {
      c.checkedAt = this.clock.now();
      await this.periodic(c);
    }
  }

  private async list(n: number): Promise<ListedJob[]> {
    const all: ListedJob[] = [];
    for (let after = ''; ; ) {
      const { jobs, more } = await this.node.list(jobsUnder(n), after);
      all.push(...jobs);
      const last = jobs.at(-1);
      if (!more || !last) return all;
      after = last.id;
    }
  }

  private async cancelSome(c: Cluster): Promise<void> {
    while (c.cancelling.size > 0 && this.active && this.clock.now() >= this.notBefore) {
      await Promise.all([...c.cancelling].slice(0, AT_ONCE).map((id) => this.cancel(c, id)));
    }
  }

  /**
   * Cancels a job for good. One that is not known may yet be submitted by whoever expanded before, late: it is submitted
   * here first, so that its end is stored and whatever comes late finds it over.
   */
  private async cancel(c: Cluster, id: string): Promise<void> {
    if ((await this.node.cancel(id)) === null) {
      const proc = Number(/^wk-condor-\d+-(\d+)/.exec(id)![1]);
      await this.node.submit({ ...c.proc(proc).spec, deadlineS: null, id });
      if ((await this.node.cancel(id)) === null) throw new UnavailableError('not cancelled yet');
    }
    c.cancelling.delete(id);
  }

  /** A cluster all of whose processes have ended is over; one that is being removed, when all its jobs are cancelled. */
  private async close(c: Cluster): Promise<void> {
    if (c.jobs.size > 0) return;
    if (c.record.state !== 'removing') {
      if (c.cursor < c.record.total) return;
      for (let n = 0; n < c.record.total; n++)
        if (c.state(n) !== 'completed' && c.state(n) !== 'removed') return;
    }
    const { removed } = c.counts;
    if (!(await this.put(c, { state: 'over', removed }))) return;
    this.clusters.delete(c.number);
    this.log.info({ cluster: c.number, procs: c.record.total, removed }, 'cluster over');
    if (this.term !== null)
      await this.records.sweep(this.term, { number: c.number, record: c.record, version: c.version });
  }

  private async periodic(c: Cluster): Promise<void> {
    const { ad } = c.proc(0);
    const acts: [string, Act, ProcState[]][] = [
      ['PeriodicRemove', 'remove', ['idle', 'running', 'held']],
      ['PeriodicHold', 'hold', ['idle', 'running']],
      ['PeriodicRelease', 'release', ['held']],
    ];
    for (const [attribute, act, states] of acts) {
      if (!ad.has(attribute)) continue;
      const procs = await this.which(c, (n) => states.includes(c.state(n)) && c.says(n, attribute, this.now));
      const reason = evaluate({ node: 'name', scope: 'my', name: `${attribute}Reason` }, { my: ad });
      const why = typeof reason === 'string' ? reason : `${attribute} is true`;
      if (procs.length > 0) await this.act(c, act, procs, why);
    }
  }

  /** Processes for which something holds, looked at a part at a time so that other work comes in between. */
  async which(c: Cluster, holds: (n: number) => boolean): Promise<number[]> {
    const procs: number[] = [];
    for (let n = 0; n < c.record.total; n++) {
      if (holds(n)) procs.push(n);
      if (n % CHECKED_PER_TURN === CHECKED_PER_TURN - 1) await pause(this.clock, 0);
    }
    return procs;
  }

  /** Processes that a constraint picks; all of them when there is none. */
  matching(c: Cluster, constraint: Expr | null): Promise<number[]> {
    return this.which(c, (n) => {
      if (constraint === null) return true;
      return evaluate(constraint, { my: c.adOf(n, this.now), now: this.now }) === true;
    });
  }

  /**
   * Holds, releases or removes processes. Resolves with how many, once that is durable: from then on no task of one that
   * is held or removed starts anew, and what runs is stopped as fast as a cancelled job is.
   */
  act(c: Cluster, act: Act, procs: readonly number[], why: string): Promise<number> {
    return c.mutex.runExclusive(() => this.change(c, act, procs, why));
  }

  private async change(c: Cluster, act: Act, procs: readonly number[], why: string): Promise<number> {
    if (!this.active || this.term === null || this.clusters.get(c.number) !== c)
      throw new UnavailableError('no longer the expander');
    const changed: [number, Exception][] = [];
    for (const n of procs) {
      const state = c.state(n);
      const start = c.exceptions.get(n)?.start ?? 0;
      if (state === 'completed' || state === 'removed') continue;
      if (act === 'remove') changed.push([n, { start, state: 'removed', why }]);
      if (act === 'hold' && state !== 'held') changed.push([n, { start: start + 1, state: 'held', why }]);
      if (act === 'release' && state === 'held') changed.push([n, { start, state: 'idle', why }]);
    }
    const before = changed.map(([n]) => [n, c.exceptions.get(n)] as const);
    for (const [n, x] of changed) c.exceptions.set(n, x);
    let stored = false;
    try {
      const chunks = c.chunkNumbers(changed.map(([n]) => n));
      stored = await this.records.putExceptions(this.term, c.number, c.exceptions, chunks, c.chunks);
    } finally {
      if (!stored) {
        for (const [n, x] of before) {
          if (x) c.exceptions.set(n, x);
          else c.exceptions.delete(n);
        }
        this.forget(c);
      }
    }
    if (!stored) throw new UnavailableError('not stored');
    for (const [n, x] of changed) {
      c.cancelBefore(n, x);
      if (x.state === 'idle' && n < c.cursor) c.waiting.add(n);
      else c.waiting.delete(n);
    }
    return changed.length;
  }

  /** Removes a whole cluster: one change, whatever its size; its jobs are cancelled from then on. */
  async removeAll(c: Cluster): Promise<number> {
    const { idle, running, held } = c.counts;
    if (!(await this.put(c, { state: 'removing' }))) throw new UnavailableError('not stored');
    this.cancelAll(c);
    return idle + running + held;
  }

  private cancelAll(c: Cluster): void {
    c.waiting.clear();
    // What was listed as ended needs nothing; the last window may have become jobs unseen.
    for (const id of c.jobs.keys()) c.cancelling.add(id);
    for (let n = Math.max(0, Math.min(c.listedCursor, c.record.from)); n < c.record.upTo; n++)
      c.cancelling.add(jobId(c.number, n, c.exceptions.get(n)?.start ?? 0));
  }
}
