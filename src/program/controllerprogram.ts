import { randomUUID } from 'node:crypto';
import { Command, InvalidArgumentError, Option } from 'commander';
import { Api, claimOf } from '../api/routes.js';
import { quickClock } from '../clock/clock.js';
import { Cloud } from '../cloud/cloud.js';
import { nodeLease } from '../config/bounds.js';
import { LEVELS, makeLog } from '../config/log.js';
import { loadSettings, partSockets, type Settings, SettingsError } from '../config/settings.js';
import { version } from '../config/version.js';
import type { ControllerContext } from '../context/context.js';
import { MachineTypeCatalog } from '../context/machinetypecatalog.js';
import { NameTables } from '../context/nametables.js';
import { ControllerNode } from '../controller/controllernode.js';
import { HttpClient } from '../http/client.js';
import { HttpServer } from '../http/server.js';
import { PeerMesh } from '../peer/mesh.js';
import { StateStore } from '../state/statestore.js';

const EXIT_SETTINGS = 2;
const EXIT_BIND = 3;
/** A planned end waits no longer than this for the shards to be handed over. */
const LEAVE_MS = 2000;
/** Connections to one worker at once: most orders go one after the other. */
const SOCKETS_PER_WORKER = 4;

function fail(code: number, message: string): never {
  process.stderr.write(`spartray: ${message}\n`);
  process.exit(code);
}

interface Options {
  config: string;
  check?: boolean;
  logLevel: string;
  clockSpeed: number;
  condor?: boolean;
  condorTeam?: string;
  depot?: string;
  standby?: boolean;
  endWithStdin?: boolean;
}

async function run(settings: Settings, options: Options): Promise<void> {
  const log = makeLog(options.logLevel, settings.node);
  process.on('uncaughtException', (error) => log.error({ err: error }, 'uncaught'));
  process.on('unhandledRejection', (error) => log.error({ err: error }, 'unhandled'));
  const { leaseMs, missingMs } = nodeLease(settings.workers);
  if (missingMs > 0) log.warn({ leaseMs, missingMs }, tooTight(missingMs));
  const clock = quickClock(options.clockSpeed);
  const sockets = partSockets(settings.limits.maxSockets);
  const services = new HttpClient(clock, {
    maxSockets: sockets.services,
    // A cloud that trickles must not keep a lease from renewal.
    mostTo: (addr) => (addr === settings.cloud ? Math.ceil(sockets.services / 4) : sockets.services),
    bodyBytes: 32 * 1024 * 1024,
  });
  const http = new HttpClient(clock, {
    maxSockets: sockets.workers,
    mostTo: () => SOCKETS_PER_WORKER,
    bodyBytes: 1024 * 1024,
  });
  const names = new NameTables();
  for (const t of settings.teams) names.teams.index(t.name);
  for (const z of settings.zones) names.zones.index(z);
  const context: ControllerContext = {
    clock,
    settings,
    log,
    http,
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
  // Optional parts cost nothing where they are not enabled.
  const condor = options.condor
    ? await Promise.all([import('../condor/matcher.js'), import('../condor/service.js')])
    : null;
  if (condor) context.matchCompiler = new condor[0].ClassAdMatcher(names, context.catalog);
  const standbys = options.standby
    ? (await import('../controller/standbycoordinator.js')).StandbyCoordinator
    : null;
  const node = new ControllerNode(context, standbys);
  const api = new Api(context, node);
  if (condor) {
    const service = new condor[1].CondorService(context, node, {
      team: options.condorTeam ?? null,
      depot: options.depot ?? null,
    });
    api.mounts.set('/condor/', (request) => service.handle(request));
    service.start();
  }
  const onError = (error: unknown) => log.error({ err: error }, 'error');
  const mesh = new PeerMesh(clock, settings.node, settings.peers, onError, (why) =>
    log.debug({ why }, 'connection to the peer address refused'),
  );
  const server = new HttpServer(clock, (request) => api.handle(request), {
    maxConnections: sockets.incoming,
    claims: claimOf,
    bodyBytes: 64 * 1024,
    requestMs: 10_000,
    idleMs: 90_000,
    onError,
    onShort: (counts, open) => log.warn({ ...counts, open }, 'connections short'),
  });
  try {
    await mesh.listen(settings.peerListen, (op, args, from) => node.serve(op, args, from));
    await server.listen(settings.listen.host, settings.listen.port);
  } catch (error) {
    fail(EXIT_BIND, `cannot listen: ${error instanceof Error ? error.message : error}`);
  }
  log.info('listening');
  let leaving = false;
  const leave = (why: string) => {
    if (leaving) return;
    leaving = true;
    log.info({ why }, 'leaving');
    clock.after(LEAVE_MS, () => process.exit(0));
    void node
      .leave()
      .catch((error) => log.info({ err: error }, 'left without handing over'))
      .finally(() => process.exit(0));
  };
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => leave(signal));
  if (options.endWithStdin) process.stdin.on('end', () => leave('standard input ended')).resume();
  await node.start(mesh);
}

function tooTight(missingMs: number): string {
  return `workers.cancel_s is ${Math.ceil(missingMs / 1000)} s too short for workers.lease_s: tasks of a cancelled job may outlast it in an outage`;
}

function speed(text: string): number {
  const times = Number(text);
  if (!(times >= 1 && times <= 100)) throw new InvalidArgumentError('from 1 to 100');
  return times;
}

const command = new Command('spartray')
  .description('A controller of the spartray cluster scheduler.')
  .version(version())
  .requiredOption('--config <file>', 'settings file that the platform hands over (TOML)')
  .option('--check', 'check the settings and exit')
  .addOption(
    new Option('--log-level <level>', 'amount of logging').choices(LEVELS).env('LOG_LEVEL').default('info'),
  )
  .addOption(
    new Option('--clock-speed <times>', 'run all clocks so many times as fast (trials on one machine)')
      .argParser(speed)
      .default(1),
  )
  .addOption(
    new Option('--condor', 'serve HTCondor submit files (docs/operations-condor.md)').env('SPARTRAY_CONDOR'),
  )
  .addOption(
    new Option('--condor-team <team>', 'the team of processes without an accounting group').env(
      'SPARTRAY_CONDOR_TEAM',
    ),
  )
  .addOption(
    new Option('--depot <host:port>', 'where descriptions of jobs made here are uploaded').env(
      'SPARTRAY_DEPOT',
    ),
  )
  .addOption(
    new Option('--standby', 'a warm standby for every shard (docs/standby.md)').env('SPARTRAY_STANDBY'),
  )
  .addOption(new Option('--end-with-stdin', 'end when the standard input does (trials on one machine)'))
  .addHelpText('after', '\nCommands beside the controller: spartray help')
  .action(async (options: Options) => {
    let settings: Settings;
    try {
      settings = loadSettings(options.config);
    } catch (error) {
      if (error instanceof SettingsError) fail(EXIT_SETTINGS, `settings: ${error.message}`);
      throw error;
    }
    if (options.check) {
      process.stdout.write('settings are valid\n');
      const { missingMs } = nodeLease(settings.workers);
      if (missingMs > 0) process.stdout.write(`${tooTight(missingMs)}\n`);
      return;
    }
    await run(settings, options);
  });

command.exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_SETTINGS));
await command.parseAsync();
