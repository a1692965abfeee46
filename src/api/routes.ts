/** The HTTP interface for users and workers: which path does what, and the replies. */

import type { ControllerContext } from '../context/context.js';
import type { ControllerNode } from '../controller/controllernode.js';
import { UnavailableError } from '../errors/errors.js';
import type { ClientKind } from '../http/connectionadmission.js';
import { bad, later, parseBody, wrongMethod } from '../http/replies.js';
import type { HttpReply, HttpRequest } from '../http/server.js';
import { fitCount } from '../plan/capacityprofile.js';
import { StateStoreError } from '../state/statestore.js';
import {
  isJobId,
  type JobSpec,
  readJob,
  USER_PATHS,
  writeAccepted,
  writeHealth,
  writeJobList,
  writeStatus,
} from '../wire/users.js';
import { readHeartbeat, WORKER_PATHS, writeRedirect } from '../wire/workers.js';

const JOB_PATH = /^\/api\/jobs\/([^/]+)(?:\/([^/]+))?$/;

/** The kind of client that a request seems to come from, by its path, before anything of it has been checked. */
export function classifyRequest(path: string): ClientKind {
  if (path === WORKER_PATHS.heartbeat) return 'worker';
  return path === USER_PATHS.health ? 'health' : 'user';
}

/** Serves the requests of users and workers. */
export class Api {
  /** Handlers of optional parts, by the prefix of the path. */
  readonly mounts = new Map<string, (r: HttpRequest) => Promise<HttpReply>>();

  constructor(
    private readonly context: ControllerContext,
    private readonly node: ControllerNode,
  ) {}

  /** Replies to one request; 503 when it cannot be served now. */
  async handle(request: HttpRequest): Promise<HttpReply> {
    try {
      return await this.route(request);
    } catch (error) {
      if (error instanceof UnavailableError || error instanceof StateStoreError) {
        this.context.log.debug({ path: request.path, err: error }, 'request failed: unavailable');
        return later(503, 1, error.message);
      }
      throw error;
    }
  }

  private async route(r: HttpRequest): Promise<HttpReply> {
    if (r.path === USER_PATHS.health) return r.method === 'GET' ? this.health() : wrongMethod('GET');
    if (r.path === WORKER_PATHS.heartbeat)
      return r.method === 'POST' ? this.heartbeat(r) : wrongMethod('POST');
    if (r.path === USER_PATHS.jobs) {
      if (r.method === 'GET') return this.list(r);
      return r.method === 'POST' ? this.submit(r) : wrongMethod('GET, POST');
    }
    for (const [under, answer] of this.mounts) if (r.path.startsWith(under)) return answer(r);
    return this.routeJob(r);
  }

  private async routeJob(r: HttpRequest): Promise<HttpReply> {
    const job = JOB_PATH.exec(r.path);
    if (!job) return { status: 404, body: { error: 'no such path' } };
    const id = decode(job[1]!);
    if (job[2] === undefined) return r.method === 'GET' ? this.status(id) : wrongMethod('GET');
    if (job[2] !== USER_PATHS.cancel) return { status: 404, body: { error: 'no such path' } };
    return r.method === 'POST' ? this.cancel(id) : wrongMethod('POST');
  }

  private health(): HttpReply {
    const reply = this.node.healthy
      ? { status: 200, body: writeHealth(this.node.membership.stateCache.revision) }
      : later(503, 1, 'starting');
    return { ...reply, from: 'health' };
  }

  private heartbeat(r: HttpRequest): HttpReply {
    const report = readHeartbeat(parseBody(r.body));
    if (!report) {
      this.context.log.info('malformed heartbeat received');
      return { status: 400, body: { error: 'not a report' } };
    }
    const answer = this.node.onHeartbeat(report);
    // A client that names a machine of no shard is not identified as a worker.
    if (answer.kind === 'orders') return { status: 200, body: answer.body, from: 'worker' };
    if (answer.kind === 'redirect') return { status: 421, body: writeRedirect(answer.node), from: 'worker' };
    return { status: 503, body: { error: 'not now' }, ...(answer.known && { from: 'worker' }) };
  }

  private async submit(r: HttpRequest): Promise<HttpReply> {
    const body = parseBody(r.body);
    if (typeof body !== 'object' || body === null || Array.isArray(body)) return bad('not a JSON object');
    const spec = readJob(body);
    if (typeof spec === 'string') return bad(spec);
    if (!this.context.catalog.known) return later(503, 1, 'machine types are not known yet');
    const reason = this.whyNeverRuns(spec);
    if (reason !== null) {
      // A job that was accepted once is not rejected later, whatever the machine types are now.
      const entry = await this.node.locate(spec.id);
      if (!entry) return { status: 422, body: { error: reason } };
    }
    const answer = await this.node.submit(spec);
    if (answer.kind === 'refused') return later(429, answer.retryS, 'no plan meets the deadline');
    if (answer.kind === 'never')
      return { status: 422, body: { error: `${answer.needs} was never accepted` } };
    if (answer.kind === 'busy') return later(503, answer.retryS, 'too many new jobs at once');
    if (answer.kind === 'accepted')
      return { status: 201, body: writeAccepted(spec.id, answer.cancelled ? 'cancelled' : 'queued') };
    return { status: 200, body: writeAccepted(spec.id, answer.status) };
  }

  /** Why a job can never run here; null when it can. */
  private whyNeverRuns(spec: JobSpec): string | null {
    const { teams } = this.context.settings;
    const team = teams.find((t) => t.name === spec.team);
    if (teams.length > 0 && !team) return `unknown team ${spec.team}`;
    const fits = this.context.catalog
      .all()
      .some(
        ([, t]) =>
          (!spec.types || spec.types.includes(t.name)) &&
          (spec.zone === null || t.zones.includes(spec.zone)) &&
          fitCount(t, spec, 1) > 0,
      );
    if (!fits) return 'a task fits no allowed machine type';
    if (!team) return null;
    const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
    if (team.cpusMax > 0 && atOnce * spec.cpus > team.cpusMax + 1e-6)
      return 'more CPUs than the team may use';
    if (team.gpusMax > 0 && atOnce * spec.gpus > team.gpusMax + 1e-6)
      return 'more GPUs than the team may use';
    return null;
  }

  private async status(id: string): Promise<HttpReply> {
    const answer = isJobId(id) ? await this.node.status(id) : null;
    if (!answer) return { status: 404, body: { error: 'no such job' } };
    return { status: 200, body: writeStatus(id, answer.status, answer.done, answer.running) };
  }

  private async list(r: HttpRequest): Promise<HttpReply> {
    const { jobs, more } = await this.node.list(r.query.get('under') ?? '', r.query.get('after') ?? '');
    return { status: 200, body: writeJobList(jobs, more) };
  }

  private async cancel(id: string): Promise<HttpReply> {
    const answer = isJobId(id) ? await this.node.cancel(id) : null;
    if (!answer) return { status: 404, body: { error: 'no such job' } };
    return { status: 200, body: writeAccepted(id, answer) };
  }
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return '';
  }
}
