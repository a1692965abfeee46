/** Creates the components of a controller process and connects them; none of them is listening yet. */

import { randomUUID } from 'node:crypto';
import { Api, classifyRequest } from '../api/routes.js';
import { type Clock, fastClock } from '../clock/clock.js';
import { Cloud } from '../cloud/cloud.js';
import type { Log } from '../config/log.js';
import { allocateSockets, type Settings } from '../config/settings.js';
import type { ControllerContext } from '../context/context.js';
import { MachineTypeCatalog } from '../context/machinetypecatalog.js';
import { NameTables } from '../context/nametables.js';
import { ControllerNode } from '../controller/controllernode.js';
import { HttpClient } from '../http/client.js';
import { HttpServer } from '../http/server.js';
import { PeerMesh } from '../peer/mesh.js';
import { StateStore } from '../state/statestore.js';
import type { ControllerOptions } from './commandline.js';

/**
 * Maximum number of connections to a worker; a few suffice because most commands to a worker are sent sequentially.
 */
const SOCKETS_PER_WORKER = 4;
/** Maximum size of a response of the key-value store or the cloud. */
const MAX_SERVICE_RESPONSE_BYTES = 32 * 1024 * 1024;
/** Maximum size of a response of a worker or of any other service. */
const MAX_WORKER_RESPONSE_BYTES = 1024 * 1024;
/** Maximum size of the body of a request of a user or worker. */
const MAX_REQUEST_BYTES = 64 * 1024;
const REQUEST_TIMEOUT_MS = 10_000;
const IDLE_TIMEOUT_MS = 90_000;

/** The components of a controller process that the program starts and stops. */
export interface Controller {
  readonly clock: Clock;
  readonly node: ControllerNode;
  /** Connections to the other controllers. */
  readonly mesh: PeerMesh;
  /** HTTP server for users and workers. */
  readonly server: HttpServer;
}

/** Creates all components of a controller; loads optional ones only if the options enable them. */
export async function composeController(
  settings: Settings,
  options: ControllerOptions,
  log: Log,
): Promise<Controller> {
  const clock = fastClock(options.clockSpeed);
  const context = composeContext(settings, clock, log);
  const condor = options.condor ? await loadCondor() : null;
  if (condor) context.matchCompiler = new condor.ClassAdMatcher(context.names, context.catalog);
  const standbys = options.standby
    ? (await import('../controller/standbycoordinator.js')).StandbyCoordinator
    : null;
  const node = new ControllerNode(context, standbys);
  const api = new Api(context, node);
  if (condor) {
    const service = new condor.CondorService(context, node, {
      team: options.condorTeam ?? null,
      depot: options.depot ?? null,
    });
    api.handlersByPrefix.set('/condor/', (request) => service.handle(request));
    service.start();
  }
  const onError = (error: unknown) =>
    log.error({ err: error }, 'unexpected error in the peer or HTTP server');
  const mesh = new PeerMesh(clock, settings.node, settings.peers, onError, (why) =>
    log.debug({ why }, 'connection to the peer address closed: the client is not a known controller'),
  );
  const server = new HttpServer(clock, (request) => api.handle(request), {
    maxConnections: allocateSockets(settings.limits.maxSockets).incoming,
    classify: classifyRequest,
    maxBodyBytes: MAX_REQUEST_BYTES,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    onError,
    onOverload: (counts, open) =>
      log.warn(
        { ...counts, open },
        'connection slots short: connections refused or evicted, or requests deferred',
      ),
  });
  return { clock, node, mesh, server };
}

/**
 * Creates the context that the components share: settings, name tables, and clients of external services and workers.
 */
function composeContext(settings: Settings, clock: Clock, log: Log): ControllerContext {
  const sockets = allocateSockets(settings.limits.maxSockets);
  const services = new HttpClient(clock, {
    maxSockets: sockets.services,
    // A slow cloud must not occupy all sockets, because lease renewals at the key-value store need them too.
    maxSocketsPerAddress: (addr) =>
      addr === settings.cloud ? Math.ceil(sockets.services / 4) : sockets.services,
    maxBodyBytes: MAX_SERVICE_RESPONSE_BYTES,
  });
  const workers = new HttpClient(clock, {
    maxSockets: sockets.workers,
    maxSocketsPerAddress: () => SOCKETS_PER_WORKER,
    maxBodyBytes: MAX_WORKER_RESPONSE_BYTES,
  });
  const names = new NameTables();
  for (const team of settings.teams) names.teams.index(team.name);
  for (const zone of settings.zones) names.zones.index(zone);
  return {
    clock,
    settings,
    log,
    http: workers,
    store: new StateStore(clock, services, settings.state, {
      ...settings.stateLimits,
      nodes: settings.nodes,
    }),
    cloud: new Cloud(clock, services, settings.cloud, settings.cloudLimits.rps, settings.nodes),
    names,
    catalog: new MachineTypeCatalog(names),
    removedMachines: new Map(),
    matchCompiler: null,
    incarnation: `${settings.node}-${randomUUID().slice(0, 13)}`,
  };
}

/** Loads the HTCondor components on demand, so that they cost nothing where they are disabled. */
async function loadCondor() {
  const [{ ClassAdMatcher }, { CondorService }] = await Promise.all([
    import('../condor/matcher.js'),
    import('../condor/service.js'),
  ]);
  return { ClassAdMatcher, CondorService };
}
