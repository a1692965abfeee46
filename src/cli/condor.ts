import { statSync } from 'node:fs';
import { userInfo } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { type Command, Option } from 'commander';
import { globSync } from 'tinyglobby';
import { CondorClient, SubmitRejected } from '../client/condor.js';
import { parseSubmit, type Queue } from '../condor/language.js';
import { SubmitError } from '../condor/macros.js';
import type { ClusterView, ProcView } from '../wire/condor.js';
import { connect, type ServerOptions, serverOptions } from './connect.js';
import { readText } from './files.js';
import { EXIT, fail, say, table } from './output.js';

const LETTERS = { idle: 'I', running: 'R', held: 'H', removed: 'X', completed: 'C' } as const;
const MOST_BYTES = 64 * 1024;

interface Which {
  constraint?: string;
  reason?: string;
}

/** The rows of queue statements whose items are in files here, by number. */
export function readRows(queues: readonly Queue[], base: string): Record<string, string[]> {
  const rows: Record<string, string[]> = {};
  queues.forEach(({ items, line }, i) => {
    if (items.kind === 'from' && items.file !== null) {
      const text = readText(resolve(base, items.file), `the items of line ${line}`);
      rows[i] = text
        .split(/\r?\n/)
        .map((l) => l.trim())
        .filter((l) => l !== '' && !l.startsWith('#'));
    }
    if (items.kind === 'matching') {
      const found = globSync(items.globs, {
        cwd: base,
        onlyFiles: false,
        expandDirectories: false,
        dot: false,
      });
      rows[i] = found
        .map((f) => f.replace(/\/$/, ''))
        .filter((f) => {
          if (items.what === 'any') return true;
          return statSync(join(base, f)).isDirectory() === (items.what === 'dirs');
        })
        .sort();
    }
  });
  return rows;
}

/** `12` or `12.3`: a cluster or one process of it. */
function target(text: string): { cluster: number; procs?: number[] } {
  const m = /^(\d+)(?:\.(\d+))?$/.exec(text);
  if (!m) fail(EXIT.usage, `"${text}": a cluster (12) or a process (12.3) was expected`);
  return { cluster: Number(m[1]), ...(m[2] !== undefined && { procs: [Number(m[2])] }) };
}

function date(seconds: number): string {
  const d = new Date(seconds * 1000);
  const two = (n: number) => String(n).padStart(2, '0');
  return `${String(d.getMonth() + 1).padStart(2)}/${String(d.getDate()).padEnd(2)} ${two(d.getHours())}:${two(d.getMinutes())}`;
}

const count = (n: number) => (n === 0 ? '_' : String(n));

function batches(clusters: readonly ClusterView[]): string {
  const rows = clusters.map((c) => [
    c.user,
    c.batch ?? `ID: ${c.cluster}`,
    date(c.at),
    count(c.completed),
    count(c.running),
    count(c.idle),
    count(c.held),
    c.procs,
    c.procs === 1 ? `${c.cluster}.0` : `${c.cluster}.0-${c.procs - 1}`,
  ]);
  return table(['OWNER', 'BATCH_NAME', 'SUBMITTED', 'DONE', 'RUN', 'IDLE', 'HOLD', 'TOTAL', 'JOB_IDS'], rows);
}

function procTable(procs: readonly ProcView[]): string {
  const rows = procs.map((p) => [
    `${p.cluster}.${p.proc}`,
    p.user,
    date(p.at),
    LETTERS[p.state],
    p.priority,
    p.memoryMb.toFixed(1),
    p.cmd,
  ]);
  return table(['ID', 'OWNER', 'SUBMITTED', 'ST', 'PRI', 'SIZE', 'CMD'], rows);
}

function totals(clusters: readonly ClusterView[]): string {
  const sum = (f: (c: ClusterView) => number) => clusters.reduce((n, c) => n + f(c), 0);
  const all = sum((c) => c.procs);
  return `Total for query: ${all} jobs; ${sum((c) => c.completed)} completed, ${sum((c) => c.removed)} removed, ${sum((c) => c.idle)} idle, ${sum((c) => c.running)} running, ${sum((c) => c.held)} held, 0 suspended`;
}

/** The commands on HTCondor's submit files: condor submit, q, rm, hold, release, analyze. */
export function addCondorCommands(command: Command): void {
  const condor = command.command('condor').description('HTCondor submit files');

  serverOptions(
    condor
      .command('submit <file>')
      .description('submit the processes of a submit file (- for standard input)')
      .option('--user <name>', 'whose they are', userInfo().username),
  ).action(async (file: string, options: ServerOptions & { user: string }) => {
    const text = readText(file, file);
    let rows: Record<string, string[]>;
    try {
      rows = readRows(parseSubmit(text), file === '-' ? '.' : dirname(file));
    } catch (error) {
      if (error instanceof SubmitError)
        fail(EXIT.usage, `${file}:${error.line}:${error.column}: ${error.message}`);
      throw error;
    }
    if (Buffer.byteLength(JSON.stringify({ text, rows })) > MOST_BYTES - 512)
      fail(EXIT.usage, `${file}: more than 64 KiB with its items; part it into several files`);
    const c = connect(options);
    try {
      const made = await new CondorClient(c.client).submit(text, rows, options.user);
      for (const w of made.warnings) process.stderr.write(`WARNING: ${w}\n`);
      if (options.json) say(JSON.stringify(made));
      else say(`Submitting job(s).\n${made.procs} job(s) submitted to cluster ${made.cluster}.`);
    } catch (error) {
      if (error instanceof SubmitRejected)
        fail(EXIT.usage, `${file}:${error.line}:${error.column}: ${error.message}`);
      throw error;
    } finally {
      c.close();
    }
  });

  serverOptions(
    condor
      .command('q [cluster...]')
      .description('clusters that are not over, or processes of some')
      .option('--nobatch', 'a line for each process')
      .option('--over', 'also clusters that are over'),
  ).action(async (names: string[], options: ServerOptions & { nobatch?: boolean; over?: boolean }) => {
    const c = connect(options);
    const client = new CondorClient(c.client);
    const wanted = new Set(names.map((n) => target(n).cluster));
    const all = await client.clusters(options.over);
    const clusters = all.filter((v) => wanted.size === 0 || wanted.has(v.cluster));
    const procs: ProcView[] = [];
    if (options.nobatch)
      for (const v of clusters) if (v.state !== 'over') procs.push(...(await client.procs(v.cluster)));
    c.close();
    if (options.json) {
      say(JSON.stringify(options.nobatch ? procs : clusters));
      return;
    }
    say(`\n-- Schedd: spartray : <${options.server}>`);
    say(options.nobatch ? procTable(procs) : batches(clusters));
    for (const p of procs) if (p.reason !== null) say(`${p.cluster}.${p.proc}: ${p.reason}`);
    say(`\n${totals(clusters)}`);
  });

  const acts = [
    ['rm', 'remove', 'remove clusters or processes', 'marked for removal'],
    ['hold', 'hold', 'hold clusters or processes: what runs is stopped', 'held'],
    ['release', 'release', 'release what is held', 'released'],
  ] as const;
  for (const [name, act, what, done] of acts) {
    serverOptions(
      condor
        .command(`${name} <job...>`)
        .description(`${what} (12 or 12.3)`)
        .option('--constraint <expr>', 'only processes for which this holds')
        .addOption(new Option('--reason <text>', 'why, for those who look')),
    ).action(async (names: string[], options: ServerOptions & Which) => {
      const targets = names.map(target);
      const c = connect(options);
      const client = new CondorClient(c.client);
      const changed = [];
      for (const { cluster, procs } of targets) {
        const n = await client.act(act, cluster, {
          ...(procs && { procs }),
          ...(options.constraint !== undefined && { constraint: options.constraint }),
          ...(options.reason !== undefined && { reason: options.reason }),
        });
        changed.push({ cluster, procs: procs ?? null, changed: n });
        const id = procs ? `Job ${cluster}.${procs[0]}` : `All jobs in cluster ${cluster}`;
        if (!options.json)
          say(n === 0 ? `${id}: nothing to change` : `${id} ${procs ? '' : 'have been '}${done} (${n})`);
      }
      c.close();
      if (options.json) say(JSON.stringify(changed));
    });
  }

  serverOptions(
    condor.command('analyze <job>').description('which kinds of machine a process matches, clause by clause'),
  ).action(async (name: string, options: ServerOptions) => {
    const { cluster, procs } = target(name);
    const c = connect(options);
    const a = await new CondorClient(c.client).analyze(cluster, procs?.[0] ?? 0);
    c.close();
    if (options.json) {
      say(JSON.stringify(a));
      return;
    }
    say(`Process ${a.cluster}.${a.proc} is ${a.state}. ${a.matches} of ${a.kinds} kinds of machine match.\n`);
    const rows = a.clauses.map((k, i) => [
      `[${i}]`,
      k.matches,
      `${k.text}${k.nearest ? `    ${k.nearest}` : ''}`,
    ]);
    say(table(['CLAUSE', 'MATCHED', 'CONDITION'], rows));
    if (a.reason !== null) say(`\n${a.reason}`);
  });
}
