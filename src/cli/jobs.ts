import type { Command } from 'commander';
import type { JobView } from '../wire/users.js';
import { type Connected, connect, type ServerOptions, serverOptions } from './connect.js';
import { loadJobs } from './files.js';
import { EXIT, fail, say, table } from './output.js';

/** Exit codes follow the worst of several jobs. */
function finish(views: readonly (JobView | null)[], c: Connected): never {
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

function known(ids: string[], views: readonly (JobView | null)[]): JobView[] {
  ids.forEach((id, i) => {
    if (!views[i]) process.stderr.write(`spartray: ${id}: no such job\n`);
  });
  return views.filter((v) => v !== null);
}

/** The commands on jobs: submit, status, wait, cancel, list. */
export function addJobCommands(command: Command): void {
  serverOptions(
    command
      .command('submit <file>')
      .description('submit the jobs of a TOML or JSON file (- for standard input, as JSON)')
      .option('--wait', 'wait until they are done'),
  ).action(async (file: string, options: ServerOptions & { wait?: boolean }) => {
    const orders = loadJobs(file);
    const c = connect(options);
    const views: (JobView | null)[] = [];
    for (const { spec, upload } of orders) views.push(await c.client.submit(spec, upload));
    if (options.wait) {
      if (!options.json) for (const v of views) say(`${v!.id} accepted`);
      const ids = orders.map((o) => o.spec.id);
      views.splice(0, views.length, ...(await Promise.all(ids.map((id) => c.client.wait(id)))));
    }
    show(
      known(
        orders.map((o) => o.spec.id),
        views,
      ),
      options.json,
    );
    finish(views, c);
  });

  serverOptions(command.command('status <job...>').description('how jobs stand')).action(
    async (ids: string[], options: ServerOptions) => {
      const c = connect(options);
      const views = await Promise.all(ids.map((id) => c.client.status(id)));
      show(known(ids, views), options.json);
      finish(views, c);
    },
  );

  serverOptions(
    command
      .command('wait <job...>')
      .description('wait until jobs are done or cancelled')
      .option('--within <seconds>', 'give up after this'),
  ).action(async (ids: string[], options: ServerOptions & { within?: string }) => {
    const within = options.within === undefined ? Number.POSITIVE_INFINITY : Number(options.within);
    if (!(within >= 0)) fail(EXIT.usage, '--within: not a number of seconds');
    const c = connect(options);
    const views = await Promise.all(ids.map((id) => c.client.wait(id, within)));
    show(known(ids, views), options.json);
    if (views.some((v) => v?.status === 'queued' || v?.status === 'running'))
      fail(EXIT.unreachable, 'not over yet');
    finish(views, c);
  });

  serverOptions(command.command('cancel <job...>').description('cancel jobs')).action(
    async (ids: string[], options: ServerOptions) => {
      const c = connect(options);
      const views = [];
      for (const id of ids) views.push(await c.client.cancel(id));
      show(views, options.json);
      c.close();
    },
  );

  serverOptions(
    command.command('list [prefix]').description('unfinished jobs, by the beginning of their ids'),
  ).action(async (prefix: string | undefined, options: ServerOptions) => {
    const c = connect(options);
    const jobs = await c.client.list(prefix ?? '');
    if (options.json) say(JSON.stringify(jobs));
    else {
      const rows = jobs.map((j) => [j.id, j.team, j.class, j.status, j.tasks, j.done, j.running]);
      say(table(['JOB', 'TEAM', 'CLASS', 'STATUS', 'TASKS', 'DONE', 'RUNNING'], rows));
    }
    c.close();
  });
}
