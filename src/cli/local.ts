import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { type Command, InvalidArgumentError } from 'commander';
import type { LocalCluster } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { MOST_CONTROLLERS } from '../emulator/ports.js';
import { loadJobs } from './files.js';
import { EXIT, fail, say } from './output.js';

/** The flags of `spartray local`. */
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

/** A parser of a flag's value: a number in a range. */
export function number(low: number, high: number, whole = true) {
  return (text: string) => {
    const n = Number(text);
    if (!(n >= low && n <= high) || (whole && !Number.isInteger(n)))
      throw new InvalidArgumentError(`a number from ${low} to ${high}`);
    return n;
  };
}

/** The flags of everything that starts a cluster on this machine. */
export function localOptions(command: Command, speed: number): Command {
  return command
    .option('--controllers <n>', 'controller processes', number(1, MOST_CONTROLLERS), 3)
    .option('--machines <file>', 'platform file: machine types, capacity, teams, limits', 'builtin')
    .option('--speed <times>', 'so many times as fast as the time of day', number(1, 50, false), speed)
    .option(
      '--data <dir>',
      'settings, logs and the state that outlives the cluster (a temporary one if left out)',
    )
    .option('--port <port>', 'first of the ports that are used', number(1024, 60_000), 7700)
    .option('--program <file>', 'the controllers’ program, to compare another version (this one if left out)')
    .option('--standby', 'a warm standby for every shard')
    .option('--condor', 'serve HTCondor submit files as well')
    .option('--condor-team <team>', 'the team of processes without an accounting group')
    .option('--seed <n>', 'of all that is drawn', number(0, 2 ** 31), 1);
}

/** Starts a cluster of the platform file or of `sized`, and sees to it that nothing stays behind. */
export async function startLocal(
  flags: LocalFlags,
  sized?: Platform,
): Promise<{ cluster: LocalCluster; stop: () => Promise<void> }> {
  const [{ LocalCluster }, { loadPlatform }] = await Promise.all([
    import('../emulator/local.js'),
    import('../emulator/platform.js'),
  ]);
  const platform = sized ?? loadPlatform(flags.machines);
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
    onError: (what) => process.stderr.write(`spartray: ${what}\n`),
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

/** The commands that run a cluster on this machine: local. */
export function addLocalCommands(command: Command): void {
  localOptions(
    command
      .command('local')
      .description('run a whole cluster on this machine: real controllers, emulated services and workers')
      .option('--run <file>', 'submit the jobs of a file, wait until they are done, and end'),
    1,
  ).action(async (flags: LocalFlags & { run?: string }) => {
    // What cannot be read is said before anything is started.
    const orders = flags.run === undefined ? null : loadJobs(flags.run);
    const { cluster, stop } = await startLocal(flags);
    say(`users        http://${cluster.users}    (--server, SPARTRAY_SERVER)`);
    say(`descriptions http://${cluster.depot}    (--depot, SPARTRAY_DEPOT)`);
    for (const c of cluster.controllers) say(`${c.node} http://${c.bind}`);
    say(`machines     ${cluster.machines.size} up; ends with Ctrl-C`);
    if (orders === null) return;
    const { runJobs } = await import('./runfile.js');
    const done = await runJobs(cluster, orders);
    await stop();
    process.exit(done ? EXIT.ok : EXIT.failed);
  });
}
