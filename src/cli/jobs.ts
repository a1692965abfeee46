/** Commands for jobs: submit, status, wait, cancel, list. */

import type { Command } from 'commander';
import type { JobView } from '../wire/users.js';
import { addServerOptions, type ClusterConnection, connect, type ServerOptions } from './connect.js';
import { loadJobs } from './files.js';
import { EXIT, fail, printLine, table } from './output.js';

interface SubmitOptions extends ServerOptions {
  wait?: boolean;
}

interface WaitOptions extends ServerOptions {
  within?: string;
}

/**
 * Closes the connection and exits with the code of the worst result: a usage error if a job is unknown, else a failure
 * if one was cancelled.
 */
function exitWithResult(views: readonly (JobView | null)[], connection: ClusterConnection): never {
  connection.close();
  if (views.some((v) => v === null)) process.exit(EXIT.usage);
  process.exit(views.some((v) => v?.status === 'cancelled') ? EXIT.failed : EXIT.ok);
}

function printJobs(views: readonly JobView[], json: boolean | undefined): void {
  if (json) printLine(JSON.stringify(views));
  else
    printLine(
      table(
        ['JOB', 'STATUS', 'DONE', 'RUNNING'],
        views.map((v) => [v.id, v.status, v.done, v.running]),
      ),
    );
}

/** Returns the views of the known jobs, and reports the unknown ones on standard error. */
function reportUnknown(ids: string[], views: readonly (JobView | null)[]): JobView[] {
  ids.forEach((id, i) => {
    if (!views[i]) process.stderr.write(`spartray: ${id}: no such job\n`);
  });
  return views.filter((v) => v !== null);
}

/** Adds the commands for jobs. */
export function addJobCommands(command: Command): void {
  addServerOptions(
    command
      .command('submit <file>')
      .description('submit the jobs of a TOML or JSON file (- for standard input, as JSON)')
      .option('--wait', 'wait until the jobs are done or cancelled'),
  ).action(submit);
  addServerOptions(command.command('status <job...>').description('show the status of jobs')).action(
    showStatus,
  );
  addServerOptions(
    command
      .command('wait <job...>')
      .description('wait until jobs are done or cancelled')
      .option('--within <seconds>', 'stop waiting after this time'),
  ).action(waitFor);
  addServerOptions(command.command('cancel <job...>').description('cancel jobs')).action(cancel);
  addServerOptions(
    command.command('list [prefix]').description('list unfinished jobs whose ids begin with the prefix'),
  ).action(list);
}

async function submit(file: string, options: SubmitOptions): Promise<void> {
  const jobs = loadJobs(file);
  const ids = jobs.map((job) => job.spec.id);
  const connection = connect(options);
  let views: (JobView | null)[] = [];
  for (const { spec, emulation } of jobs) views.push(await connection.client.submit(spec, emulation));
  if (options.wait) {
    if (!options.json) for (const v of views) printLine(`${v!.id} accepted`);
    views = await Promise.all(ids.map((id) => connection.client.wait(id)));
  }
  printJobs(reportUnknown(ids, views), options.json);
  exitWithResult(views, connection);
}

async function showStatus(ids: string[], options: ServerOptions): Promise<void> {
  const connection = connect(options);
  const views = await Promise.all(ids.map((id) => connection.client.status(id)));
  printJobs(reportUnknown(ids, views), options.json);
  exitWithResult(views, connection);
}

async function waitFor(ids: string[], options: WaitOptions): Promise<void> {
  const withinS = options.within === undefined ? Number.POSITIVE_INFINITY : Number(options.within);
  if (!(withinS >= 0)) fail(EXIT.usage, '--within: expected a number of seconds, 0 or more');
  const connection = connect(options);
  const views = await Promise.all(ids.map((id) => connection.client.wait(id, withinS)));
  printJobs(reportUnknown(ids, views), options.json);
  if (views.some((v) => v?.status === 'queued' || v?.status === 'running'))
    fail(EXIT.unreachable, 'not all jobs were done or cancelled within the time limit');
  exitWithResult(views, connection);
}

async function cancel(ids: string[], options: ServerOptions): Promise<void> {
  const connection = connect(options);
  const views = [];
  for (const id of ids) views.push(await connection.client.cancel(id));
  printJobs(views, options.json);
  connection.close();
}

async function list(prefix: string | undefined, options: ServerOptions): Promise<void> {
  const connection = connect(options);
  const jobs = await connection.client.list(prefix ?? '');
  if (options.json) printLine(JSON.stringify(jobs));
  else {
    const rows = jobs.map((j) => [j.id, j.team, j.class, j.status, j.tasks, j.done, j.running]);
    printLine(table(['JOB', 'TEAM', 'CLASS', 'STATUS', 'TASKS', 'DONE', 'RUNNING'], rows));
  }
  connection.close();
}
