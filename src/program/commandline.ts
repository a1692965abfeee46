/** The controller's command line: its options, its exit codes, and how it reports what makes it exit. */

import { Command, InvalidArgumentError, Option } from 'commander';
import { LEVELS } from '../config/log.js';
import { version } from '../config/version.js';

/** The command line or the settings file cannot be used. */
export const EXIT_SETTINGS = 2;
/** An address to listen at cannot be bound. */
export const EXIT_BIND = 3;

/** The options of the controller's command line, as `commander` hands them over. */
export interface ControllerOptions {
  /** Path of the settings file. */
  readonly config: string;
  /** Only validate the settings, then exit. */
  readonly check?: boolean;
  /** One of `LEVELS`. */
  readonly logLevel: string;
  /** Factor by which all clocks run fast; 1 outside of trials. */
  readonly clockSpeed: number;
  /** Serve HTCondor submit files. */
  readonly condor?: boolean;
  /** The team of processes without an accounting group. */
  readonly condorTeam?: string;
  /** `host:port` to which descriptions of jobs made here are uploaded. */
  readonly depot?: string;
  /** Keep a warm standby for every shard. */
  readonly standby?: boolean;
  /** Shut down when standard input ends. */
  readonly endWithStdin?: boolean;
}

/** Reports an error on standard error and exits the process. */
export function exitWithError(code: number, message: string): never {
  process.stderr.write(`spartray: ${message}\n`);
  process.exit(code);
}

function parseClockSpeed(text: string): number {
  const times = Number(text);
  if (!(times >= 1 && times <= 100)) throw new InvalidArgumentError('from 1 to 100');
  return times;
}

/** The controller's command; `action` runs with the parsed options. Wrong options exit with `EXIT_SETTINGS`. */
export function controllerCommand(action: (options: ControllerOptions) => Promise<void>): Command {
  return new Command('spartray')
    .description('A controller of the spartray cluster scheduler.')
    .version(version())
    .requiredOption('--config <file>', 'settings file that the platform hands over (TOML)')
    .option('--check', 'check the settings and exit')
    .addOption(
      new Option('--log-level <level>', 'amount of logging').choices(LEVELS).env('LOG_LEVEL').default('info'),
    )
    .addOption(
      new Option('--clock-speed <times>', 'run all clocks so many times as fast (trials on one machine)')
        .argParser(parseClockSpeed)
        .default(1),
    )
    .addOption(
      new Option('--condor', 'serve HTCondor submit files (docs/operations-condor.md)').env(
        'SPARTRAY_CONDOR',
      ),
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
    .action(action)
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : EXIT_SETTINGS));
}
