import * as v from 'valibot';
import type { Expr } from '../classad/ast.js';
import { ClassAdError, parseExpr } from '../classad/parser.js';
import { printAd } from '../classad/print.js';
import { pause } from '../clock/clock.js';
import type { ControllerContext } from '../context/context.js';
import type { ControllerNode } from '../controller/controllernode.js';
import { InvalidInputError, UnavailableError } from '../errors/errors.js';
import { badRequest, methodNotAllowed, parseBody, retryLater } from '../http/replies.js';
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

/** HTCondor options of a controller. */
export interface CondorOptions {
  /** Team of processes whose accounting group names no team. */
  team: string | null;
  /** Address to which job descriptions are uploaded for the workers; null if they are not uploaded. */
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
const CLUSTER_PATH = new RegExp(
  `^${CONDOR_PATH}(?:\\/(\\d{1,9})(?:\\/(procs|hold|release|remove|analyze))?)?$`,
);
const PEER_OP = 'condor';
const PEER_TIMEOUT_MS = 3500;
const UPLOAD_TIMEOUT_MS = 3000;
const UPLOAD_ATTEMPTS = 3;
const PAGE_SIZE = 500;
const SIZE_REQUIREMENTS = [
  'TARGET.TotalCpus >= RequestCpus',
  'TARGET.Memory >= RequestMemory',
  'TARGET.GPUs >= RequestGPUs',
].map(parseExpr);

/** Serves HTCondor submit files over HTTP, and runs the expander that turns them into jobs. */
export class CondorService {
  private readonly records: ClusterRecords;
  private readonly expander: Expander;
  private readonly procOptions: ProcOptions;

  constructor(
    private readonly context: ControllerContext,
    private readonly node: ControllerNode,
    private readonly options: CondorOptions,
  ) {
    this.records = new ClusterRecords(context.store, context.settings.stateLimits);
    this.procOptions = {
      teams: context.settings.teams.map((t) => t.name),
      team: options.team,
      neverRunsReason: (spec) => this.neverRunsReason(spec),
    };
    const log = context.log.child({ part: 'condor' });
    this.expander = new Expander(
      context,
      node,
      this.records,
      this.procOptions,
      (spec) => this.upload(spec),
      log,
    );
    node.addExtension(PEER_OP, (args) => this.serve(String(args.what), args));
  }

  start(): void {
    void this.expander.run();
  }

  async handle(request: HttpRequest): Promise<HttpReply> {
    try {
      return await this.route(request);
    } catch (error) {
      if (error instanceof SubmitError || error instanceof ClassAdError)
        return { status: 400, body: { error: error.message, line: error.line, column: error.column } };
      if (error instanceof NoSuchClusterError) return { status: 404, body: { error: 'no such cluster' } };
      if (error instanceof UnavailableError || error instanceof StateStoreError)
        return retryLater(503, 1, error.message);
      throw error;
    }
  }

  private async route(request: HttpRequest): Promise<HttpReply> {
    const match = CLUSTER_PATH.exec(request.path);
    if (!match) return { status: 404, body: { error: 'no such path' } };
    const cluster = match[1] === undefined ? null : Number(match[1]);
    const what = match[2] ?? 'show';
    if (cluster === null) {
      if (request.method === 'POST') return this.submit(request);
      return request.method === 'GET' ? this.list(request) : methodNotAllowed('GET, POST');
    }
    if (what === 'procs' || what === 'show' || what === 'analyze') {
      if (request.method !== 'GET') return methodNotAllowed('GET');
      const from = Number(request.query.get('from') ?? 0);
      if (!Number.isInteger(from) || from < 0) return badRequest('from: a process number was expected');
      return { status: 200, body: (await this.requestExpander(what, { cluster, from })) as object };
    }
    if (request.method !== 'POST') return methodNotAllowed('POST');
    const parsed = v.safeParse(actBody, parseBody(request.body) ?? {});
    if (!parsed.success)
      return badRequest(`${v.getDotPath(parsed.issues[0]) ?? 'body'}: ${parsed.issues[0].message}`);
    const { procs, constraint, reason } = parsed.output;
    if (constraint != null) parseExpr(constraint);
    const args = { cluster, act: what, procs: procs ?? null, constraint: constraint ?? null, reason };
    return { status: 200, body: (await this.requestExpander('act', args)) as object };
  }

  /** Parses and checks the submission first, then stores the cluster durably, and answers after that. */
  private async submit(request: HttpRequest): Promise<HttpReply> {
    const parsed = v.safeParse(submitBody, parseBody(request.body));
    if (!parsed.success)
      return badRequest(`${v.getDotPath(parsed.issues[0]) ?? 'body'}: ${parsed.issues[0].message}`);
    if (!this.node.allSupportMatching)
      throw new UnavailableError('not all controllers serve HTCondor submit files');
    const { submission, text, rows, user } = parsed.output;
    const contents = { text, rows, user, at: Math.floor(this.context.clock.wall() / 1000) };
    const plan = new ClusterPlan(contents, this.procOptions);
    plan.check();
    const batch = plan.proc(0, 0).ad.get('JobBatchName');
    const name =
      batch?.node === 'literal' && typeof batch.value === 'string' ? batch.value.slice(0, 100) : null;
    const cluster = await this.records.create(submission, contents, plan.total, name);
    this.context.log.info({ cluster, procs: plan.total, user }, 'cluster accepted');
    return { status: 201, body: { cluster, procs: plan.total, warnings: plan.warnings } };
  }

  private async list(request: HttpRequest): Promise<HttpReply> {
    const over = request.query.get('over') === '1';
    return { status: 200, body: (await this.requestExpander('list', { over })) as object };
  }

  // --- requests that the expander answers

  private async requestExpander(what: string, args: Record<string, unknown>): Promise<unknown> {
    if (this.expander.active) return this.serve(what, args);
    const entry = this.node.membership.stateCache.entries.get(EXPANDER);
    const holder = entry && v.safeParse(v.object({ node: v.string() }), entry.value);
    if (!holder?.success || holder.output.node === this.context.settings.node)
      throw new UnavailableError('nobody expands clusters at present');
    try {
      return await this.node.requestNode(holder.output.node, PEER_OP, { what, ...args }, PEER_TIMEOUT_MS);
    } catch (error) {
      if (error instanceof PeerRejectedError && error.message === NO_SUCH_CLUSTER)
        throw new NoSuchClusterError();
      throw new UnavailableError(error instanceof Error ? error.message : 'no answer');
    }
  }

  private async serve(what: string, args: Record<string, unknown>): Promise<unknown> {
    if (!this.expander.active) throw new UnavailableError('not the expander');
    if (what === 'list') return this.summaries(args.over === true);
    const cluster = await this.findCluster(Number(args.cluster));
    if (what === 'show') return this.summary(cluster);
    if (what === 'analyze') return this.analyzeProc(cluster, Number(args.from));
    if (what === 'procs') return this.procPage(cluster, Number(args.from));
    return { changed: await this.applyAction(cluster, args) };
  }

  private async findCluster(n: number): Promise<Cluster> {
    if (!this.expander.clusters.has(n)) await this.expander.discoverClusters();
    const cluster = this.expander.clusters.get(n);
    if (!cluster) throw new NoSuchClusterError();
    return cluster;
  }

  private summary(cluster: Cluster): ClusterView {
    const { user, batch, at, total, state } = cluster.record;
    return {
      cluster: cluster.number,
      user,
      batch,
      at,
      procs: total,
      jobs: cluster.cursor,
      state,
      ...cluster.counts,
    };
  }

  private async summaries(over: boolean): Promise<object> {
    await this.expander.discoverClusters();
    const clusters = [...this.expander.clusters.values()].map((c) => this.summary(c));
    if (over) {
      for (const { number, record } of await this.records.listClusters(true)) {
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

  private procPage(cluster: Cluster, from: number): object {
    const procs: ProcView[] = [];
    const offers = this.offers();
    const to = Math.min(cluster.record.total, from + PAGE_SIZE);
    for (let n = from; n < to; n++) procs.push(this.procView(cluster, n, offers));
    return { procs, more: to < cluster.record.total };
  }

  private procView(cluster: Cluster, n: number, offers: readonly Offer[]): ProcView {
    const { ad, spec } = cluster.proc(n);
    const state = cluster.state(n);
    const exception = cluster.exceptions.get(n);
    const cmd = ad.get('Cmd') ?? ad.get('ContainerImage') ?? ad.get('DockerImage');
    const prio = ad.get('JobPrio');
    return {
      cluster: cluster.number,
      proc: n,
      user: cluster.record.user,
      state,
      job: jobId(cluster.number, n, exception?.start ?? 0),
      cmd: cmd?.node === 'literal' && typeof cmd.value === 'string' ? cmd.value : '',
      priority: prio?.node === 'literal' && typeof prio.value === 'bigint' ? Number(prio.value) : 0,
      memoryMb: Math.round(spec.memoryGb * 1024),
      at: cluster.record.at,
      reason:
        state === 'held' || state === 'removed'
          ? (exception?.why ?? null)
          : state === 'idle'
            ? this.analysisOf(cluster, n, offers).reason
            : null,
    };
  }

  private analysisOf(c: Cluster, n: number, offers: readonly Offer[]): Analysis {
    const { ad } = c.proc(n);
    return analyze(ad.get('Requirements')!, ad, offers, SIZE_REQUIREMENTS);
  }

  private analyzeProc(cluster: Cluster, n: number): AnalysisView {
    if (n >= cluster.record.total) throw new NoSuchClusterError();
    const { ad } = cluster.proc(n);
    return {
      cluster: cluster.number,
      proc: n,
      state: cluster.state(n),
      ...this.analysisOf(cluster, n, this.offers()),
      ad: printAd(ad),
    };
  }

  private offers(): Offer[] {
    return [...this.context.catalog.kinds()].map(({ machineType, zone, spot }) => ({
      type: machineType.name,
      zone,
      spot,
      ad: kindAd(machineType, zone, spot),
    }));
  }

  private async applyAction(cluster: Cluster, args: Record<string, unknown>): Promise<number> {
    const action = args.act === 'hold' ? 'hold' : args.act === 'release' ? 'release' : 'remove';
    const constraint: Expr | null = typeof args.constraint === 'string' ? parseExpr(args.constraint) : null;
    if (action === 'remove' && args.procs === null && !constraint)
      return this.expander.removeCluster(cluster);
    const listed = Array.isArray(args.procs) ? new Set(args.procs.map(Number)) : null;
    const matching = await this.expander.procsMatching(cluster, constraint);
    const procs = matching.filter((n) => !listed || listed.has(n));
    return this.expander.applyAction(cluster, action, procs, String(args.reason));
  }

  // --- checks and uploads of jobs

  private neverRunsReason(spec: JobSpec): string | null {
    const team = this.context.settings.teams.find((t) => t.name === spec.team);
    if (!team) return null;
    const tasks = spec.kind === 'gang' ? spec.tasks : 1;
    const exceeds = (need: number, limit: number) => limit > 0 && tasks * need > limit + 1e-6;
    if (exceeds(spec.cpus, team.cpusMax))
      return `request_cpus: ${tasks * spec.cpus} is more than team ${team.name} may use, ${team.cpusMax}`;
    if (exceeds(spec.gpus, team.gpusMax))
      return `request_gpus: ${tasks * spec.gpus} is more than team ${team.name} may use, ${team.gpusMax}`;
    return null;
  }

  /**
   * Uploads a job's description before the job is submitted, because workers fetch the description of what they
   * run.
   */
  private async upload(spec: JobSpec): Promise<void> {
    const { depot } = this.options;
    if (depot === null) return;
    for (let i = 0; i < UPLOAD_ATTEMPTS; i++) {
      try {
        const response = await this.context.http.request(
          depot,
          'PUT',
          `/jobs/${spec.id}`,
          { job: writeJob(spec) },
          UPLOAD_TIMEOUT_MS,
        );
        if (response.status === 200) return;
      } catch (error) {
        this.context.log.debug({ job: spec.id, err: error }, 'job description could not be uploaded');
      }
      await pause(this.context.clock, 300);
    }
    throw new UnavailableError('the description cannot be uploaded');
  }
}

const NO_SUCH_CLUSTER = 'no such cluster';
class NoSuchClusterError extends InvalidInputError {
  constructor() {
    super(NO_SUCH_CLUSTER);
  }
}
