/** The commands on HTCondor's submit files: condor submit, q, rm, hold, release, analyze. */

import { statSync } from 'node:fs';
import { userInfo } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { type Command, Option } from 'commander';
import { globSync } from 'tinyglobby';
import { CondorClient, SubmitFileRejectedError } from '../client/condor.js';
import { parseSubmit, type Queue } from '../condor/language.js';
import { SubmitError } from '../condor/macros.js';
import type { ProcView } from '../wire/condor.js';
import { clauseTable, clusterTable, procTable, totalsLine } from './condoroutput.js';
import { connect, type ServerOptions, serverOptions } from './connect.js';
import { readText } from './files.js';
import { EXIT, fail, say } from './output.js';

type Matching = Extract<Queue['items'], { kind: 'matching' }>;

const MAX_SUBMISSION_BYTES = 64 * 1024;

interface SubmitOptions extends ServerOptions {
  user: string;
}

interface QueueOptions extends ServerOptions {
  nobatch?: boolean;
  over?: boolean;
}

interface ActionOptions extends ServerOptions {
  constraint?: string;
  reason?: string;
}

/** The rows of queue statements whose items are in files here, by number. */
export function readRows(queues: readonly Queue[], base: string): Record<string, string[]> {
  const rows: Record<string, string[]> = {};
  queues.forEach(({ items, line }, i) => {
    if (items.kind === 'from' && items.file !== null)
      rows[i] = linesOf(readText(resolve(base, items.file), `the items of line ${line}`));
    if (items.kind === 'matching') rows[i] = matchingFiles(items.globs, items.what, base);
  });
  return rows;
}

function linesOf(text: string): string[] {
  return text
    .split(/\r?\n/)
    .map((l) => l.trim())
    .filter((l) => l !== '' && !l.startsWith('#'));
}

function matchingFiles(globs: string[], what: Matching['what'], base: string): string[] {
  return globSync(globs, { cwd: base, onlyFiles: false, expandDirectories: false, dot: false })
    .map((f) => f.replace(/\/$/, ''))
    .filter((f) => what === 'any' || statSync(join(base, f)).isDirectory() === (what === 'dirs'))
    .sort();
}

/** `12` or `12.3`: a cluster or one process of it. */
function parseTarget(text: string): { cluster: number; procs?: number[] } {
  const m = /^(\d+)(?:\.(\d+))?$/.exec(text);
  if (!m) fail(EXIT.usage, `"${text}": a cluster (12) or a process (12.3) was expected`);
  return { cluster: Number(m[1]), ...(m[2] !== undefined && { procs: [Number(m[2])] }) };
}

/** The bytes of a submission beside its text and rows. */
const ENVELOPE_BYTES = 512;

/** Adds the condor commands. */
export function addCondorCommands(command: Command): void {
  const condor = command.command('condor').description('HTCondor submit files');
  addSubmitCommand(condor);
  addQueueCommand(condor);
  addActionCommands(condor);
  addAnalyzeCommand(condor);
}

function addSubmitCommand(condor: Command): void {
  serverOptions(
    condor
      .command('submit <file>')
      .description('submit the processes of a submit file (- for standard input)')
      .option('--user <name>', 'whose they are', userInfo().username),
  ).action(submit);
}

async function submit(file: string, options: SubmitOptions): Promise<void> {
  const text = readText(file, file);
  const rows = rowsOf(file, text);
  if (Buffer.byteLength(JSON.stringify({ text, rows })) > MAX_SUBMISSION_BYTES - ENVELOPE_BYTES)
    fail(EXIT.usage, `${file}: more than 64 KiB with its items; part it into several files`);
  const c = connect(options);
  try {
    const made = await new CondorClient(c.client).submit(text, rows, options.user);
    for (const w of made.warnings) process.stderr.write(`WARNING: ${w}\n`);
    if (options.json) say(JSON.stringify(made));
    else say(`Submitting job(s).\n${made.procs} job(s) submitted to cluster ${made.cluster}.`);
  } catch (error) {
    if (error instanceof SubmitFileRejectedError) failAt(file, error);
    throw error;
  } finally {
    c.close();
  }
}

function rowsOf(file: string, text: string): Record<string, string[]> {
  try {
    return readRows(parseSubmit(text), file === '-' ? '.' : dirname(file));
  } catch (error) {
    if (error instanceof SubmitError) failAt(file, error);
    throw error;
  }
}

function failAt(file: string, error: { line: number; column: number; message: string }): never {
  fail(EXIT.usage, `${file}:${error.line}:${error.column}: ${error.message}`);
}

function addQueueCommand(condor: Command): void {
  serverOptions(
    condor
      .command('q [cluster...]')
      .description('clusters that are not over, or processes of some')
      .option('--nobatch', 'a line for each process')
      .option('--over', 'also clusters that are over'),
  ).action(showQueue);
}

async function showQueue(names: string[], options: QueueOptions): Promise<void> {
  const c = connect(options);
  const client = new CondorClient(c.client);
  const wanted = new Set(names.map((n) => parseTarget(n).cluster));
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
  say(options.nobatch ? procTable(procs) : clusterTable(clusters));
  for (const p of procs) if (p.reason !== null) say(`${p.cluster}.${p.proc}: ${p.reason}`);
  say(`\n${totalsLine(clusters)}`);
}

type Action = Parameters<CondorClient['act']>[0];

function addActionCommands(condor: Command): void {
  const actions: [name: string, action: Action, what: string, done: string][] = [
    ['rm', 'remove', 'remove clusters or processes', 'marked for removal'],
    ['hold', 'hold', 'hold clusters or processes: what runs is stopped', 'held'],
    ['release', 'release', 'release what is held', 'released'],
  ];
  for (const [name, action, what, done] of actions) {
    serverOptions(
      condor
        .command(`${name} <job...>`)
        .description(`${what} (12 or 12.3)`)
        .option('--constraint <expr>', 'only processes for which this holds')
        .addOption(new Option('--reason <text>', 'why, for those who look')),
    ).action((names: string[], options: ActionOptions) => act(action, done, names, options));
  }
}

async function act(action: Action, done: string, names: string[], options: ActionOptions): Promise<void> {
  const targets = names.map(parseTarget);
  const c = connect(options);
  const client = new CondorClient(c.client);
  const changed = [];
  for (const { cluster, procs } of targets) {
    const n = await client.act(action, cluster, {
      ...(procs && { procs }),
      ...(options.constraint !== undefined && { constraint: options.constraint }),
      ...(options.reason !== undefined && { reason: options.reason }),
    });
    changed.push({ cluster, procs: procs ?? null, changed: n });
    if (!options.json) say(changeLine(cluster, procs?.[0], done, n));
  }
  c.close();
  if (options.json) say(JSON.stringify(changed));
}

/** `proc` is undefined for all processes of a cluster; `changed` is the number of those that changed. */
function changeLine(cluster: number, proc: number | undefined, done: string, changed: number): string {
  const id = proc === undefined ? `All jobs in cluster ${cluster}` : `Job ${cluster}.${proc}`;
  if (changed === 0) return `${id}: nothing to change`;
  return `${id} ${proc === undefined ? 'have been ' : ''}${done} (${changed})`;
}

function addAnalyzeCommand(condor: Command): void {
  serverOptions(
    condor.command('analyze <job>').description('which kinds of machine a process matches, clause by clause'),
  ).action(showAnalysis);
}

async function showAnalysis(name: string, options: ServerOptions): Promise<void> {
  const { cluster, procs } = parseTarget(name);
  const c = connect(options);
  const a = await new CondorClient(c.client).analyze(cluster, procs?.[0] ?? 0);
  c.close();
  if (options.json) {
    say(JSON.stringify(a));
    return;
  }
  say(`Process ${a.cluster}.${a.proc} is ${a.state}. ${a.matches} of ${a.kinds} kinds of machine match.\n`);
  say(clauseTable(a));
  if (a.reason !== null) say(`\n${a.reason}`);
}
