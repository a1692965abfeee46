import * as v from 'valibot';
import type { Expr } from '../classad/ast.js';
import { ClassAdError, parseExpr } from '../classad/parser.js';
import { printAd } from '../classad/print.js';
import { pause } from '../clock/clock.js';
import type { ControllerContext } from '../context/context.js';
import type { ControllerNode } from '../controller/controllernode.js';
import { InvalidInputError, UnavailableError } from '../errors/errors.js';
import { bad, later, parseBody, wrongMethod } from '../http/replies.js';
import type { HttpReply, HttpRequest } from '../http/server.js';
import { PeerRejectedError } from '../peer/mesh.js';
import { StateStoreError } from '../state/statestore.js';
import { type AnalysisView, type ClusterView, CONDOR_PATH, type ProcView } from '../wire/condor.js';
import { type JobSpec, writeJob } from '../wire/users.js';
import { type Analysis, analyze, type Offer } from './analyze.js';
import { type Cluster, jobId } from './cluster.js';
import { Expander } from './expander.js';
import { SubmitError } from './macros.js';
import { kindAd } from './matcher.js';
import { ClusterPlan, type ProcOptions } from './procs.js';
import { ClusterRecords, EXPANDER } from './records.js';

/** The options of a controller that concern HTCondor. */
export interface CondorOptions {
  /** The team of processes whose accounting group names none. */
  team: string | null;
  /** Where descriptions are uploaded for the workers; null where nothing is. */
  depot: string | null;
}

const submitBody = v.object({
  submission: v.pipe(v.string(), v.regex(/^[A-Za-z0-9-]{8,64}$/)),
  text: v.string(),
  rows: v.optional(v.record(v.string(), v.array(v.pipe(v.string(), v.maxLength(4096)))), {}),
  user: v.pipe(v.string(), v.regex(/^[A-Za-z0-9._-]{1,64}$/)),
});
const actBody = v.object({
  procs: v.nullish(v.pipe(v.array(v.pipe(v.number(), v.integer(), v.minValue(0))), v.maxLength(10_000))),
  constraint: v.nullish(v.string()),
  reason: v.optional(v.pipe(v.string(), v.maxLength(400)), 'as its owner asked'),
});
const PATH = new RegExp(`^${CONDOR_PATH}(?:\\/(\\d{1,9})(?:\\/(procs|hold|release|remove|analyze))?)?$`);
const OP = 'condor';
const PEER_TIMEOUT_MS = 3500;
const UPLOAD_TIMEOUT_MS = 3000;
const UPLOAD_TRIES = 3;
const PAGE = 500;
const SIZES = [
  'TARGET.TotalCpus >= RequestCpus',
  'TARGET.Memory >= RequestMemory',
  'TARGET.GPUs >= RequestGPUs',
].map(parseExpr);

/** HTCondor's submit files over HTTP, and the part of a node that turns them into jobs. */
export class CondorService {
  private readonly records: ClusterRecords;
  private readonly expander: Expander;
  private readonly procs: ProcOptions;

  constructor(
    private readonly context: ControllerContext,
    private readonly node: ControllerNode,
    private readonly options: CondorOptions,
  ) {
    this.records = new ClusterRecords(context.store, context.settings.stateLimits);
    this.procs = {
      teams: context.settings.teams.map((t) => t.name),
      team: options.team,
      never: (spec) => this.never(spec),
    };
    const log = context.log.child({ part: 'condor' });
    this.expander = new Expander(context, node, this.records, this.procs, (spec) => this.upload(spec), log);
    node.addExtension(OP, (args) => this.serve(String(args.what), args));
  }

  start(): void {
    void this.expander.run();
  }

  async handle(r: HttpRequest): Promise<HttpReply> {
    try {
      return await this.route(r);
    } catch (error) {
      if (error instanceof SubmitError || error instanceof ClassAdError)
        return { status: 400, body: { error: error.message, line: error.line, column: error.column } };
      if (error instanceof NoCluster) return { status: 404, body: { error: 'no such cluster' } };
      if (error instanceof UnavailableError || error instanceof StateStoreError)
        return later(503, 1, error.message);
      throw error;
    }
  }

  private async route(r: HttpRequest): Promise<HttpReply> {
    const m = PATH.exec(r.path);
    if (!m) return { status: 404, body: { error: 'no such path' } };
    const cluster = m[1] === undefined ? null : Number(m[1]);
    const what = m[2] ?? 'show';
    if (cluster === null) {
      if (r.method === 'POST') return this.submit(r);
      return r.method === 'GET' ? this.list(r) : wrongMethod('GET, POST');
    }
    if (what === 'procs' || what === 'show' || what === 'analyze') {
      if (r.method !== 'GET') return wrongMethod('GET');
      const from = Number(r.query.get('from') ?? 0);
      if (!Number.isInteger(from) || from < 0) return bad('from: a process number was expected');
      return { status: 200, body: (await this.request(what, { cluster, from })) as object };
    }
    if (r.method !== 'POST') return wrongMethod('POST');
    const parsed = v.safeParse(actBody, parseBody(r.body) ?? {});
    if (!parsed.success)
      return bad(`${v.getDotPath(parsed.issues[0]) ?? 'body'}: ${parsed.issues[0].message}`);
    const { procs, constraint, reason } = parsed.output;
    if (constraint != null) parseExpr(constraint);
    const args = { cluster, act: what, procs: procs ?? null, constraint: constraint ?? null, reason };
    return { status: 200, body: (await this.request('act', args)) as object };
  }

  /** Everything is checked first; then one durable record, and the answer. */
  private async submit(r: HttpRequest): Promise<HttpReply> {
    const parsed = v.safeParse(submitBody, parseBody(r.body));
    if (!parsed.success)
      return bad(`${v.getDotPath(parsed.issues[0]) ?? 'body'}: ${parsed.issues[0].message}`);
    if (!this.node.allSupportMatching)
      throw new UnavailableError('not all controllers serve HTCondor submit files');
    const { submission, text, rows, user } = parsed.output;
    const s = { text, rows, user, at: Math.floor(this.context.clock.wall() / 1000) };
    const plan = new ClusterPlan(s, this.procs);
    plan.check();
    const batch = plan.proc(0, 0).ad.get('JobBatchName');
    const name =
      batch?.node === 'literal' && typeof batch.value === 'string' ? batch.value.slice(0, 100) : null;
    const cluster = await this.records.create(submission, s, plan.total, name);
    this.context.log.info({ cluster, procs: plan.total, user }, 'cluster accepted');
    return { status: 201, body: { cluster, procs: plan.total, warnings: plan.warnings } };
  }

  private async list(r: HttpRequest): Promise<HttpReply> {
    const over = r.query.get('over') === '1';
    return { status: 200, body: (await this.request('list', { over })) as object };
  }

  // --- what the expander answers

  private async request(what: string, args: Record<string, unknown>): Promise<unknown> {
    if (this.expander.active) return this.serve(what, args);
    const e = this.node.membership.stateCache.entries.get(EXPANDER);
    const holder = e && v.safeParse(v.object({ node: v.string() }), e.value);
    if (!holder?.success || holder.output.node === this.context.settings.node)
      throw new UnavailableError('nobody expands clusters at present');
    try {
      return await this.node.requestNode(holder.output.node, OP, { what, ...args }, PEER_TIMEOUT_MS);
    } catch (error) {
      if (error instanceof PeerRejectedError && error.message === NO_CLUSTER) throw new NoCluster();
      throw new UnavailableError(error instanceof Error ? error.message : 'no answer');
    }
  }

  private async serve(what: string, a: Record<string, unknown>): Promise<unknown> {
    if (!this.expander.active) throw new UnavailableError('not the expander');
    if (what === 'list') return this.summaries(a.over === true);
    const c = await this.cluster(Number(a.cluster));
    if (what === 'show') return this.summary(c);
    if (what === 'analyze') return this.analyzeProc(c, Number(a.from));
    if (what === 'procs') return this.page(c, Number(a.from));
    return { changed: await this.act(c, a) };
  }

  private async cluster(n: number): Promise<Cluster> {
    if (!this.expander.clusters.has(n)) await this.expander.look();
    const c = this.expander.clusters.get(n);
    if (!c) throw new NoCluster();
    return c;
  }

  private summary(c: Cluster): ClusterView {
    const { user, batch, at, total, state } = c.record;
    return { cluster: c.number, user, batch, at, procs: total, jobs: c.cursor, state, ...c.counts };
  }

  private async summaries(over: boolean): Promise<object> {
    await this.expander.look();
    const clusters = [...this.expander.clusters.values()].map((c) => this.summary(c));
    if (over) {
      for (const { number, record } of await this.records.all(true)) {
        const { user, batch, at, total, removed } = record;
        const ended = { idle: 0, running: 0, held: 0, removed, completed: total - removed };
        clusters.push({
          cluster: number,
          user,
          batch,
          at,
          procs: total,
          jobs: total,
          state: 'over',
          ...ended,
        });
      }
    }
    return { clusters };
  }

  private page(c: Cluster, from: number): object {
    const procs: ProcView[] = [];
    const offers = this.offers();
    const to = Math.min(c.record.total, from + PAGE);
    for (let n = from; n < to; n++) procs.push(this.view(c, n, offers));
    return { procs, more: to < c.record.total };
  }

  private view(c: Cluster, n: number, offers: readonly Offer[]): ProcView {
    const { ad, spec } = c.proc(n);
    const state = c.state(n);
    const x = c.exceptions.get(n);
    const cmd = ad.get('Cmd') ?? ad.get('ContainerImage') ?? ad.get('DockerImage');
    const prio = ad.get('JobPrio');
    return {
      cluster: c.number,
      proc: n,
      user: c.record.user,
      state,
      job: jobId(c.number, n, x?.start ?? 0),
      cmd: cmd?.node === 'literal' && typeof cmd.value === 'string' ? cmd.value : '',
      priority: prio?.node === 'literal' && typeof prio.value === 'bigint' ? Number(prio.value) : 0,
      memoryMb: Math.round(spec.memoryGb * 1024),
      at: c.record.at,
      reason:
        state === 'held' || state === 'removed'
          ? (x?.why ?? null)
          : state === 'idle'
            ? this.analyzed(c, n, offers).reason
            : null,
    };
  }

  private analyzed(c: Cluster, n: number, offers: readonly Offer[]): Analysis {
    const { ad } = c.proc(n);
    return analyze(ad.get('Requirements')!, ad, offers, SIZES);
  }

  private analyzeProc(c: Cluster, n: number): AnalysisView {
    if (n >= c.record.total) throw new NoCluster();
    const { ad } = c.proc(n);
    return {
      cluster: c.number,
      proc: n,
      state: c.state(n),
      ...this.analyzed(c, n, this.offers()),
      ad: printAd(ad),
    };
  }

  private offers(): Offer[] {
    return [...this.context.catalog.kinds()].map(({ of, zone, spot }) => ({
      type: of.name,
      zone,
      spot,
      ad: kindAd(of, zone, spot),
    }));
  }

  private async act(c: Cluster, a: Record<string, unknown>): Promise<number> {
    const act = a.act === 'hold' ? 'hold' : a.act === 'release' ? 'release' : 'remove';
    const constraint: Expr | null = typeof a.constraint === 'string' ? parseExpr(a.constraint) : null;
    if (act === 'remove' && a.procs === null && !constraint) return this.expander.removeAll(c);
    const listed = Array.isArray(a.procs) ? new Set(a.procs.map(Number)) : null;
    const matching = await this.expander.matching(c, constraint);
    const procs = matching.filter((n) => !listed || listed.has(n));
    return this.expander.act(c, act, procs, String(a.reason));
  }

  // --- processes as jobs

  private never(spec: JobSpec): string | null {
    const team = this.context.settings.teams.find((t) => t.name === spec.team);
    if (!team) return null;
    const n = spec.kind === 'gang' ? spec.tasks : 1;
    const over = (need: number, most: number) => most > 0 && n * need > most + 1e-6;
    if (over(spec.cpus, team.cpusMax))
      return `request_cpus: ${n * spec.cpus} is more than team ${team.name} may use, ${team.cpusMax}`;
    if (over(spec.gpus, team.gpusMax))
      return `request_gpus: ${n * spec.gpus} is more than team ${team.name} may use, ${team.gpusMax}`;
    return null;
  }

  /** Workers fetch the description of what they run, and whoever makes a job uploads it first. */
  private async upload(spec: JobSpec): Promise<void> {
    const { depot } = this.options;
    if (depot === null) return;
    for (let i = 0; i < UPLOAD_TRIES; i++) {
      try {
        const r = await this.context.http.request(
          depot,
          'PUT',
          `/jobs/${spec.id}`,
          { job: writeJob(spec) },
          UPLOAD_TIMEOUT_MS,
        );
        if (r.status === 200) return;
      } catch (error) {
        this.context.log.debug({ job: spec.id, err: error }, 'description not uploaded');
      }
      await pause(this.context.clock, 300);
    }
    throw new UnavailableError('the description cannot be uploaded');
  }
}

const NO_CLUSTER = 'no such cluster';
class NoCluster extends InvalidInputError {
  constructor() {
    super(NO_CLUSTER);
  }
}
