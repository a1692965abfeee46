/** The commands on jobs: submit, status, wait, cancel, list. */

import type { Command } from 'commander';
import type { JobView } from '../wire/users.js';
import { type Connected, connect, type ServerOptions, serverOptions } from './connect.js';
import { loadJobs } from './files.js';
import { EXIT, fail, say, table } from './output.js';

interface SubmitOptions extends ServerOptions {
  wait?: boolean;
}

interface WaitOptions extends ServerOptions {
  within?: string;
}

/** Exits; the code follows the worst of several jobs. */
function exitWithResult(views: readonly (JobView | null)[], c: Connected): never {
  c.close();
  if (views.some((v) => v === null)) process.exit(EXIT.usage);
  process.exit(views.some((v) => v?.status === 'cancelled') ? EXIT.failed : EXIT.ok);
}

function show(views: readonly JobView[], json: boolean | undefined): void {
  if (json) say(JSON.stringify(views));
  else
    say(
      table(
        ['JOB', 'STATUS', 'DONE', 'RUNNING'],
        views.map((v) => [v.id, v.status, v.done, v.running]),
      ),
    );
}

/** The views of the jobs that are known; reports the others. */
function reportUnknown(ids: string[], views: readonly (JobView | null)[]): JobView[] {
  ids.forEach((id, i) => {
    if (!views[i]) process.stderr.write(`spartray: ${id}: no such job\n`);
  });
  return views.filter((v) => v !== null);
}

/** Adds the commands on jobs. */
export function addJobCommands(command: Command): void {
  serverOptions(
    command
      .command('submit <file>')
      .description('submit the jobs of a TOML or JSON file (- for standard input, as JSON)')
      .option('--wait', 'wait until they are done'),
  ).action(submit);
  serverOptions(command.command('status <job...>').description('how jobs stand')).action(showStatus);
  serverOptions(
    command
      .command('wait <job...>')
      .description('wait until jobs are done or cancelled')
      .option('--within <seconds>', 'give up after this'),
  ).action(waitFor);
  serverOptions(command.command('cancel <job...>').description('cancel jobs')).action(cancel);
  serverOptions(
    command.command('list [prefix]').description('unfinished jobs, by the beginning of their ids'),
  ).action(list);
}

async function submit(file: string, options: SubmitOptions): Promise<void> {
  const jobs = loadJobs(file);
  const ids = jobs.map((job) => job.spec.id);
  const c = connect(options);
  let views: (JobView | null)[] = [];
  for (const { spec, upload } of jobs) views.push(await c.client.submit(spec, upload));
  if (options.wait) {
    if (!options.json) for (const v of views) say(`${v!.id} accepted`);
    views = await Promise.all(ids.map((id) => c.client.wait(id)));
  }
  show(reportUnknown(ids, views), options.json);
  exitWithResult(views, c);
}

async function showStatus(ids: string[], options: ServerOptions): Promise<void> {
  const c = connect(options);
  const views = await Promise.all(ids.map((id) => c.client.status(id)));
  show(reportUnknown(ids, views), options.json);
  exitWithResult(views, c);
}

async function waitFor(ids: string[], options: WaitOptions): Promise<void> {
  const withinS = options.within === undefined ? Number.POSITIVE_INFINITY : Number(options.within);
  if (!(withinS >= 0)) fail(EXIT.usage, '--within: not a number of seconds');
  const c = connect(options);
  const views = await Promise.all(ids.map((id) => c.client.wait(id, withinS)));
  show(reportUnknown(ids, views), options.json);
  if (views.some((v) => v?.status === 'queued' || v?.status === 'running'))
    fail(EXIT.unreachable, 'not over yet');
  exitWithResult(views, c);
}

async function cancel(ids: string[], options: ServerOptions): Promise<void> {
  const c = connect(options);
  const views = [];
  for (const id of ids) views.push(await c.client.cancel(id));
  show(views, options.json);
  c.close();
}

async function list(prefix: string | undefined, options: ServerOptions): Promise<void> {
  const c = connect(options);
  const jobs = await c.client.list(prefix ?? '');
  if (options.json) say(JSON.stringify(jobs));
  else {
    const rows = jobs.map((j) => [j.id, j.team, j.class, j.status, j.tasks, j.done, j.running]);
    say(table(['JOB', 'TEAM', 'CLASS', 'STATUS', 'TASKS', 'DONE', 'RUNNING'], rows));
  }
  c.close();
}
