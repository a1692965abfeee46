/** The controller's command line: options, exit codes and the reporting of fatal errors. */

import { Command, InvalidArgumentError, Option } from 'commander';
import { LEVELS } from '../config/log.js';
import { version } from '../config/version.js';

/** Exit code for an invalid command line or settings file. */
export const EXIT_SETTINGS = 2;
/** Exit code if a listening address cannot be bound. */
export const EXIT_BIND = 3;

/** Options of the controller's command line as parsed by `commander`. */
export interface ControllerOptions {
  /** Path of the settings file. */
  readonly config: string;
  /** Validate the settings and exit. */
  readonly check?: boolean;
  /** Log level: one of `LEVELS`. */
  readonly logLevel: string;
  /** Factor by which all clocks are accelerated; 1 except in tests on a single machine. */
  readonly clockSpeed: number;
  /** Serve HTCondor submit files. */
  readonly condor?: boolean;
  /** Team of HTCondor processes without an accounting group. */
  readonly condorTeam?: string;
  /** `host:port` to which the descriptions of jobs created by this controller are uploaded. */
  readonly depot?: string;
  /** Keep a warm standby for every shard. */
  readonly standby?: boolean;
  /** Shut down when standard input ends. */
  readonly endWithStdin?: boolean;
}

/** Prints an error to standard error and exits the process. */
export function exitWithError(code: number, message: string): never {
  process.stderr.write(`spartray: ${message}\n`);
  process.exit(code);
}

function parseClockSpeed(text: string): number {
  const factor = Number(text);
  if (!(factor >= 1 && factor <= 100)) throw new InvalidArgumentError('from 1 to 100');
  return factor;
}

/**
 * Creates the controller's command, which runs `action` with the parsed options. Invalid options exit with
 * `EXIT_SETTINGS`.
 */
export function controllerCommand(action: (options: ControllerOptions) => Promise<void>): Command {
  return new Command('spartray')
    .description('A controller of the spartray cluster scheduler.')
    .version(version())
    .requiredOption('--config <file>', 'settings file of the platform (TOML)')
    .option('--check', 'check the settings and exit')
    .addOption(
      new Option('--log-level <level>', 'log level').choices(LEVELS).env('LOG_LEVEL').default('info'),
    )
    .addOption(
      new Option('--clock-speed <times>', 'factor by which all clocks are accelerated (tests on one machine)')
        .argParser(parseClockSpeed)
        .default(1),
    )
    .addOption(
      new Option('--condor', 'serve HTCondor submit files (docs/operations-condor.md)').env(
        'SPARTRAY_CONDOR',
      ),
    )
    .addOption(
      new Option('--condor-team <team>', 'team of HTCondor processes without an accounting group').env(
        'SPARTRAY_CONDOR_TEAM',
      ),
    )
    .addOption(
      new Option(
        '--depot <host:port>',
        'upload address for the descriptions of jobs created by this controller',
      ).env('SPARTRAY_DEPOT'),
    )
    .addOption(
      new Option('--standby', 'keep a warm standby for every shard (docs/standby.md)').env(
        'SPARTRAY_STANDBY',
      ),
    )
    .addOption(new Option('--end-with-stdin', 'shut down when standard input ends (tests on one machine)'))
    .addHelpText('after', '\nCommands beside the controller: spartray help')
    .action(action)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_SETTINGS));
}
