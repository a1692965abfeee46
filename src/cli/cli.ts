// The command-line interface: commands that manage jobs, run a cluster on this machine, and generate load.
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
  .description('The spartray cluster scheduler: manages jobs, and runs a cluster on one machine.')
  .version(version())
  .exitOverride()
  .addHelpText(
    'after',
    `
To start a controller: spartray --config <file>

Exit codes: 0 success; 1 the job was cancelled, or a check failed; 2 invalid usage, file or setting, or a
request that was permanently rejected; 3 an address cannot be bound; 4 no answer within the time limit.`,
  );
addLocalCommands(command);
addJobCommands(command);
addLoadCommand(command);
addScaleCommand(command);
addCertsCommand(command);
// Imported only when one of its commands or the help text is requested, because it loads the grammar of the submit
// language.
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
