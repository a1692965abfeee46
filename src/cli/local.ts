import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type Command, InvalidArgumentError } from 'commander';
import type { LocalCluster } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { MAX_CONTROLLERS } from '../emulator/ports.js';
import { loadJobs } from './files.js';
import { EXIT, fail, printLine } from './output.js';

/** Flags of the commands that start a cluster on this machine. */
export interface LocalFlags {
  controllers: number;
  machines: string;
  speed: number;
  data?: string;
  port: number;
  seed: number;
  standby?: boolean;
  program?: string;
  condor?: boolean;
  condorTeam?: string;
}

/** Returns a parser for a flag whose value is a number from `low` to `high`; an integer unless `whole` is false. */
export function numberInRange(low: number, high: number, whole = true) {
  return (text: string) => {
    const value = Number(text);
    if (!(value >= low && value <= high) || (whole && !Number.isInteger(value)))
      throw new InvalidArgumentError(`a number from ${low} to ${high}`);
    return value;
  };
}

/** Adds the flags of every command that starts a cluster on this machine; `speed` is the default of `--speed`. */
export function addLocalOptions(command: Command, speed: number): Command {
  return command
    .option('--controllers <n>', 'number of controller processes', numberInRange(1, MAX_CONTROLLERS), 3)
    .option('--machines <file>', 'platform file: machine types, capacity, teams, limits', 'builtin')
    .option(
      '--speed <times>',
      'speed of the cluster clock as a multiple of real time',
      numberInRange(1, 50, false),
      speed,
    )
    .option(
      '--data <dir>',
      'directory for settings, logs and persistent state (default: a temporary directory)',
    )
    .option(
      '--port <port>',
      'first port to use; the following ports are used as well',
      numberInRange(1024, 60_000),
      7700,
    )
    .option('--program <file>', 'controller program, to compare another version (default: this version)')
    .option('--standby', 'keep a warm standby for every shard')
    .option('--condor', 'serve HTCondor submit files as well')
    .option('--condor-team <team>', 'team of HTCondor processes without an accounting group')
    .option('--seed <n>', 'seed of the random number generators', numberInRange(0, 2 ** 31), 1);
}

/**
 * Starts a cluster on the platform of the flags, or on `platformOverride` when given. The cluster is stopped, and its
 * data removed if the directory is temporary, when the start fails, on SIGINT or SIGTERM, and by the returned `stop`.
 */
export async function startLocal(
  flags: LocalFlags,
  platformOverride?: Platform,
): Promise<{ cluster: LocalCluster; stop: () => Promise<void> }> {
  const [{ LocalCluster }, { loadPlatform }] = await Promise.all([
    import('../emulator/local.js'),
    import('../emulator/platform.js'),
  ]);
  const platform = platformOverride ?? loadPlatform(flags.machines);
  const data = flags.data ?? mkdtempSync(join(tmpdir(), 'spartray-'));
  const cluster = new LocalCluster({
    platform,
    controllers: flags.controllers,
    speed: flags.speed,
    data,
    port: flags.port,
    seed: flags.seed,
    program: flags.program ?? fileURLToPath(new URL('../main.js', import.meta.url)),
    flags: [
      ...(flags.standby ? ['--standby'] : []),
      ...(flags.condor ? ['--condor', '--depot', `127.0.0.1:${flags.port + 1}`] : []),
      ...(flags.condorTeam === undefined ? [] : ['--condor-team', flags.condorTeam]),
    ],
    onError: (message) => process.stderr.write(`spartray: ${message}\n`),
  });
  const stop = async () => {
    await cluster.stop();
    if (flags.data === undefined) rmSync(data, { recursive: true, force: true });
  };
  for (const signal of ['SIGINT', 'SIGTERM'] as const)
    process.once(signal, () => void stop().finally(() => process.exit(EXIT.ok)));
  try {
    await cluster.start();
  } catch (error) {
    await stop();
    fail(EXIT.bind, error instanceof Error ? error.message : String(error));
  }
  return { cluster, stop };
}

/** Adds the `local` command, which runs a cluster on this machine. */
export function addLocalCommands(command: Command): void {
  addLocalOptions(
    command
      .command('local')
      .description('run a complete cluster on this machine: real controllers, emulated services and workers')
      .option('--run <file>', 'submit the jobs of a file, wait until they are done, and exit'),
    1,
  ).action(async (flags: LocalFlags & { run?: string }) => {
    // The job file is read first, so that an error in it is reported before anything is started.
    const jobs = flags.run === undefined ? null : loadJobs(flags.run);
    const { cluster, stop } = await startLocal(flags);
    printLine(`users        http://${cluster.users}    (--server, SPARTRAY_SERVER)`);
    printLine(`descriptions http://${cluster.depot}    (--depot, SPARTRAY_DEPOT)`);
    for (const controller of cluster.controllers) printLine(`${controller.node} http://${controller.bind}`);
    printLine(`machines     ${cluster.machines.size} up; ends with Ctrl-C`);
    if (jobs === null) return;
    const { runJobs } = await import('./runfile.js');
    const allDone = await runJobs(cluster, jobs);
    await stop();
    process.exit(allDone ? EXIT.ok : EXIT.failed);
  });
}
