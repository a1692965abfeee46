// This package: the commands that people give: a cluster on one machine, jobs, load.
import { Command, CommanderError } from 'commander';
import { ClientUnreachableError, RequestRejectedError } from '../client/client.js';
import { JobFileError } from '../client/jobfile.js';
import { SettingsError } from '../config/settings.js';
import { version } from '../config/version.js';
import { addCertsCommand } from './certs.js';
import { addJobCommands } from './jobs.js';
import { addLoadCommand } from './load.js';
import { addLocalCommands } from './local.js';
import { EXIT, fail } from './output.js';
import { addScaleCommand } from './scale.js';

const command = new Command('spartray')
  .description('The spartray cluster scheduler: jobs, and a cluster on one machine.')
  .version(version())
  .exitOverride()
  .addHelpText(
    'after',
    `
A controller is started with: spartray --config <file>

Exit codes: 0 success; 1 the job was cancelled, or a check failed; 2 wrong use, file or setting, or refused for good;
3 an address cannot be listened on; 4 nobody answered in time.`,
  );
addLocalCommands(command);
addJobCommands(command);
addLoadCommand(command);
addScaleCommand(command);
addCertsCommand(command);
// Only then: it needs the language's grammar.
if (['condor', 'help', '--help', '-h'].includes(process.argv[2] ?? ''))
  (await import('./condor.js')).addCondorCommands(command);

try {
  await command.parseAsync();
} catch (error) {
  if (error instanceof CommanderError) process.exit(error.exitCode === 0 ? EXIT.ok : EXIT.usage);
  if (error instanceof SettingsError || error instanceof JobFileError) fail(EXIT.usage, error.message);
  if (error instanceof RequestRejectedError) fail(EXIT.usage, `${error.status}: ${error.message}`);
  if (error instanceof ClientUnreachableError) fail(EXIT.unreachable, error.message);
  if ((error as NodeJS.ErrnoException).code === 'EADDRINUSE') fail(EXIT.bind, (error as Error).message);
  throw error;
}
