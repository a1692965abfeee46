/** The HTTP API for users and workers: routing of requests, and the replies. */

import type { ControllerContext } from '../context/context.js';
import type { ControllerNode } from '../controller/controllernode.js';
import { UnavailableError } from '../errors/errors.js';
import type { ClientKind } from '../http/connectionadmission.js';
import { badRequest, methodNotAllowed, parseBody, retryLater } from '../http/replies.js';
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

/** Guesses the kind of client from the path of a request, before the request is validated. */
export function classifyRequest(path: string): ClientKind {
  if (path === WORKER_PATHS.heartbeat) return 'worker';
  return path === USER_PATHS.health ? 'health' : 'user';
}

/** Handles the requests of users and workers. */
export class Api {
  /** Handlers of optional components by path prefix. */
  readonly handlersByPrefix = new Map<string, (request: HttpRequest) => Promise<HttpReply>>();

  constructor(
    private readonly context: ControllerContext,
    private readonly node: ControllerNode,
  ) {}

  /** Handles a request; replies with status 503 if it cannot be served at present. */
  async handle(request: HttpRequest): Promise<HttpReply> {
    try {
      return await this.route(request);
    } catch (error) {
      if (error instanceof UnavailableError || error instanceof StateStoreError) {
        this.context.log.debug({ path: request.path, err: error }, 'request failed: unavailable');
        return retryLater(503, 1, error.message);
      }
      throw error;
    }
  }

  private async route(request: HttpRequest): Promise<HttpReply> {
    if (request.path === USER_PATHS.health)
      return request.method === 'GET' ? this.health() : methodNotAllowed('GET');
    if (request.path === WORKER_PATHS.heartbeat)
      return request.method === 'POST' ? this.heartbeat(request) : methodNotAllowed('POST');
    if (request.path === USER_PATHS.jobs) {
      if (request.method === 'GET') return this.list(request);
      return request.method === 'POST' ? this.submit(request) : methodNotAllowed('GET, POST');
    }
    for (const [prefix, handler] of this.handlersByPrefix)
      if (request.path.startsWith(prefix)) return handler(request);
    return this.routeJob(request);
  }

  private async routeJob(request: HttpRequest): Promise<HttpReply> {
    const job = JOB_PATH.exec(request.path);
    if (!job) return { status: 404, body: { error: 'no such path' } };
    const id = decode(job[1]!);
    if (job[2] === undefined) return request.method === 'GET' ? this.status(id) : methodNotAllowed('GET');
    if (job[2] !== USER_PATHS.cancel) return { status: 404, body: { error: 'no such path' } };
    return request.method === 'POST' ? this.cancel(id) : methodNotAllowed('POST');
  }

  private health(): HttpReply {
    const reply = this.node.healthy
      ? { status: 200, body: writeHealth(this.node.membership.stateCache.revision) }
      : retryLater(503, 1, 'starting');
    return { ...reply, clientKind: 'health' };
  }

  private heartbeat(request: HttpRequest): HttpReply {
    const heartbeat = readHeartbeat(parseBody(request.body));
    if (!heartbeat) {
      this.context.log.info('malformed heartbeat received');
      return { status: 400, body: { error: 'not a report' } };
    }
    const result = this.node.onHeartbeat(heartbeat);
    // A client is not identified as a worker if its machine belongs to no shard.
    if (result.kind === 'orders') return { status: 200, body: result.body, clientKind: 'worker' };
    if (result.kind === 'redirect')
      return { status: 421, body: writeRedirect(result.node), clientKind: 'worker' };
    return { status: 503, body: { error: 'not now' }, ...(result.known && { clientKind: 'worker' }) };
  }

  private async submit(request: HttpRequest): Promise<HttpReply> {
    const body = parseBody(request.body);
    if (typeof body !== 'object' || body === null || Array.isArray(body))
      return badRequest('not a JSON object');
    const spec = readJob(body);
    if (typeof spec === 'string') return badRequest(spec);
    if (!this.context.catalog.hasTypes) return retryLater(503, 1, 'machine types are not known yet');
    const reason = this.findRejectionReason(spec);
    if (reason !== null) {
      // An accepted job is not rejected when it is submitted again, even if no machine type fits it any more.
      const entry = await this.node.locate(spec.id);
      if (!entry) return { status: 422, body: { error: reason } };
    }
    const result = await this.node.submit(spec);
    if (result.kind === 'refused') return retryLater(429, result.retryS, 'no plan meets the deadline');
    if (result.kind === 'never')
      return { status: 422, body: { error: `${result.needs} was never accepted` } };
    if (result.kind === 'busy') return retryLater(503, result.retryS, 'too many new jobs at once');
    if (result.kind === 'accepted')
      return { status: 201, body: writeAccepted(spec.id, result.cancelled ? 'cancelled' : 'queued') };
    return { status: 200, body: writeAccepted(spec.id, result.status) };
  }

  /** Returns the reason why a job can never run on this cluster, or null if it can. */
  private findRejectionReason(spec: JobSpec): string | null {
    const { teams } = this.context.settings;
    const team = teams.find((t) => t.name === spec.team);
    if (teams.length > 0 && !team) return `unknown team ${spec.team}`;
    const fits = this.context.catalog
      .offeredTypes()
      .some(
        ([, t]) =>
          (!spec.types || spec.types.includes(t.name)) &&
          (spec.zone === null || t.zones.includes(spec.zone)) &&
          fitCount(t, spec, 1) > 0,
      );
    if (!fits) return 'a task fits no allowed machine type';
    if (!team) return null;
    const concurrentTasks = spec.kind === 'array' ? 1 : spec.tasks;
    if (team.cpusMax > 0 && concurrentTasks * spec.cpus > team.cpusMax + 1e-6)
      return 'more CPUs than the team may use';
    if (team.gpusMax > 0 && concurrentTasks * spec.gpus > team.gpusMax + 1e-6)
      return 'more GPUs than the team may use';
    return null;
  }

  private async status(id: string): Promise<HttpReply> {
    const status = isJobId(id) ? await this.node.status(id) : null;
    if (!status) return { status: 404, body: { error: 'no such job' } };
    return { status: 200, body: writeStatus(id, status.status, status.done, status.running) };
  }

  private async list(request: HttpRequest): Promise<HttpReply> {
    const { jobs, more } = await this.node.list(
      request.query.get('under') ?? '',
      request.query.get('after') ?? '',
    );
    return { status: 200, body: writeJobList(jobs, more) };
  }

  private async cancel(id: string): Promise<HttpReply> {
    const status = isJobId(id) ? await this.node.cancel(id) : null;
    if (!status) return { status: 404, body: { error: 'no such job' } };
    return { status: 200, body: writeAccepted(id, status) };
  }
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return '';
  }
}
