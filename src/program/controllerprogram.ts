/** The controller program: validates the settings, starts the controller, and hands its shards over on shutdown. */

import { nodeLease } from '../config/bounds.js';
import { type Log, makeLog } from '../config/log.js';
import { loadSettings, type Settings, SettingsError } from '../config/settings.js';
import {
  type ControllerOptions,
  controllerCommand,
  EXIT_BIND,
  EXIT_SETTINGS,
  exitWithError,
} from './commandline.js';
import { type Controller, composeController } from './compose.js';

/** Maximum time for the handover of the shards on a planned shutdown. */
const LEAVE_TIMEOUT_MS = 2000;

async function main(options: ControllerOptions): Promise<void> {
  const settings = readSettings(options.config);
  if (options.check) reportCheck(settings);
  else await run(settings, options);
}

function readSettings(path: string): Settings {
  try {
    return loadSettings(path);
  } catch (error) {
    if (error instanceof SettingsError) exitWithError(EXIT_SETTINGS, `settings: ${error.message}`);
    throw error;
  }
}

function reportCheck(settings: Settings): void {
  process.stdout.write('settings are valid\n');
  const { missingMs } = nodeLease(settings.workers);
  if (missingMs > 0) process.stdout.write(`${cancelTimeWarning(missingMs)}\n`);
}

function cancelTimeWarning(missingMs: number): string {
  return `workers.cancel_s is ${Math.ceil(missingMs / 1000)} s too short for workers.lease_s: tasks of a cancelled job may outlast it in an outage`;
}

async function run(settings: Settings, options: ControllerOptions): Promise<void> {
  const log = makeLog(options.logLevel, settings.node);
  process.on('uncaughtException', (error) =>
    log.error({ err: error }, 'uncaught exception: the process continues'),
  );
  process.on('unhandledRejection', (error) =>
    log.error({ err: error }, 'unhandled promise rejection: the process continues'),
  );
  const { leaseMs, missingMs } = nodeLease(settings.workers);
  if (missingMs > 0) log.warn({ leaseMs, missingMs }, cancelTimeWarning(missingMs));
  const controller = await composeController(settings, options, log);
  await listen(controller, settings);
  log.info('listening');
  leaveOnShutdown(controller, options, log);
  await controller.node.start(controller.mesh);
}

/** Listens for peers before users, so that a node that users can reach is already able to query its peers. */
async function listen({ node, mesh, server }: Controller, settings: Settings): Promise<void> {
  try {
    await mesh.listen(settings.peerListen, (op, args, from) => node.serve(op, args, from));
    await server.listen(settings.listen.host, settings.listen.port);
  } catch (error) {
    exitWithError(EXIT_BIND, `cannot listen: ${error instanceof Error ? error.message : error}`);
  }
}

/** Hands the shards over and exits on a signal or, if `endWithStdin` is set, at the end of standard input. */
function leaveOnShutdown({ clock, node }: Controller, options: ControllerOptions, log: Log): void {
  let leaving = false;
  const leave = (why: string) => {
    if (leaving) return;
    leaving = true;
    log.info({ why }, 'shutting down: handing over the shards');
    clock.after(LEAVE_TIMEOUT_MS, () => process.exit(0));
    void node
      .leave()
      .catch((error) => log.info({ err: error }, 'handover of the shards failed: exiting without it'))
      .finally(() => process.exit(0));
  };
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => leave(signal));
  if (options.endWithStdin) process.stdin.on('end', () => leave('standard input ended')).resume();
}

await controllerCommand(main).parseAsync();
