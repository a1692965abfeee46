/** Commands for HTCondor submit files: condor submit, q, rm, hold, release, analyze. */

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
import { addServerOptions, connect, type ServerOptions } from './connect.js';
import { readText } from './files.js';
import { EXIT, fail, printLine } from './output.js';

type MatchingItems = Extract<Queue['items'], { kind: 'matching' }>;

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

/**
 * Returns the item rows of the queue statements whose items come from local files or file name patterns, by the index
 * of the statement. Relative paths are resolved against `base`.
 */
export function readItemRows(queues: readonly Queue[], base: string): Record<string, string[]> {
  const rows: Record<string, string[]> = {};
  queues.forEach(({ items, line }, i) => {
    if (items.kind === 'from' && items.file !== null)
      rows[i] = nonCommentLines(readText(resolve(base, items.file), `the items of line ${line}`));
    if (items.kind === 'matching') rows[i] = matchingFiles(items.globs, items.what, base);
  });
  return rows;
}

function nonCommentLines(text: string): string[] {
  return text
    .split(/\r?\n/)
    .map((l) => l.trim())
    .filter((l) => l !== '' && !l.startsWith('#'));
}

function matchingFiles(globs: string[], what: MatchingItems['what'], base: string): string[] {
  return globSync(globs, { cwd: base, onlyFiles: false, expandDirectories: false, dot: false })
    .map((f) => f.replace(/\/$/, ''))
    .filter((f) => what === 'any' || statSync(join(base, f)).isDirectory() === (what === 'dirs'))
    .sort();
}

/** Parses `12` (a cluster) or `12.3` (one process of it); exits with a usage error for anything else. */
function parseTarget(text: string): { cluster: number; procs?: number[] } {
  const match = /^(\d+)(?:\.(\d+))?$/.exec(text);
  if (!match) fail(EXIT.usage, `"${text}": expected a cluster (12) or a process (12.3)`);
  return { cluster: Number(match[1]), ...(match[2] !== undefined && { procs: [Number(match[2])] }) };
}

/** Space reserved for the fields of a submission other than its text and rows, in bytes. */
const ENVELOPE_BYTES = 512;

/** Adds the `condor` commands. */
export function addCondorCommands(command: Command): void {
  const condor = command.command('condor').description('HTCondor submit files');
  addSubmitCommand(condor);
  addQueueCommand(condor);
  addActionCommands(condor);
  addAnalyzeCommand(condor);
}

function addSubmitCommand(condor: Command): void {
  addServerOptions(
    condor
      .command('submit <file>')
      .description('submit the processes of a submit file (- for standard input)')
      .option('--user <name>', 'owner of the processes', userInfo().username),
  ).action(submit);
}

async function submit(file: string, options: SubmitOptions): Promise<void> {
  const text = readText(file, file);
  const rows = parseRows(file, text);
  if (Buffer.byteLength(JSON.stringify({ text, rows })) > MAX_SUBMISSION_BYTES - ENVELOPE_BYTES)
    fail(
      EXIT.usage,
      `${file}: the submission exceeds 64 KiB including its items; split it into several files`,
    );
  const connection = connect(options);
  try {
    const submitted = await new CondorClient(connection.client).submit(text, rows, options.user);
    for (const warning of submitted.warnings) process.stderr.write(`WARNING: ${warning}\n`);
    if (options.json) printLine(JSON.stringify(submitted));
    else
      printLine(`Submitting job(s).\n${submitted.procs} job(s) submitted to cluster ${submitted.cluster}.`);
  } catch (error) {
    if (error instanceof SubmitFileRejectedError) failAt(file, error);
    throw error;
  } finally {
    connection.close();
  }
}

function parseRows(file: string, text: string): Record<string, string[]> {
  try {
    return readItemRows(parseSubmit(text), file === '-' ? '.' : dirname(file));
  } catch (error) {
    if (error instanceof SubmitError) failAt(file, error);
    throw error;
  }
}

function failAt(file: string, error: { line: number; column: number; message: string }): never {
  fail(EXIT.usage, `${file}:${error.line}:${error.column}: ${error.message}`);
}

function addQueueCommand(condor: Command): void {
  addServerOptions(
    condor
      .command('q [cluster...]')
      .description('list unfinished clusters: all, or only the given ones')
      .option('--nobatch', 'one line per process')
      .option('--over', 'include finished clusters'),
  ).action(showQueue);
}

async function showQueue(names: string[], options: QueueOptions): Promise<void> {
  const connection = connect(options);
  const client = new CondorClient(connection.client);
  const requested = new Set(names.map((n) => parseTarget(n).cluster));
  const all = await client.clusters(options.over);
  const clusters = all.filter((v) => requested.size === 0 || requested.has(v.cluster));
  const procs: ProcView[] = [];
  if (options.nobatch)
    for (const v of clusters) if (v.state !== 'over') procs.push(...(await client.procs(v.cluster)));
  connection.close();
  if (options.json) {
    printLine(JSON.stringify(options.nobatch ? procs : clusters));
    return;
  }
  printLine(`\n-- Schedd: spartray : <${options.server}>`);
  printLine(options.nobatch ? procTable(procs) : clusterTable(clusters));
  for (const p of procs) if (p.reason !== null) printLine(`${p.cluster}.${p.proc}: ${p.reason}`);
  printLine(`\n${totalsLine(clusters)}`);
}

type Action = Parameters<CondorClient['act']>[0];

function addActionCommands(condor: Command): void {
  const actions: [name: string, action: Action, what: string, done: string][] = [
    ['rm', 'remove', 'remove clusters or processes', 'marked for removal'],
    ['hold', 'hold', 'hold clusters or processes; running processes are stopped', 'held'],
    ['release', 'release', 'release held clusters or processes', 'released'],
  ];
  for (const [name, action, what, done] of actions) {
    addServerOptions(
      condor
        .command(`${name} <job...>`)
        .description(`${what} (12 or 12.3)`)
        .option('--constraint <expr>', 'only processes for which this expression is true')
        .addOption(new Option('--reason <text>', 'the reason, shown to users')),
    ).action((names: string[], options: ActionOptions) => act(action, done, names, options));
  }
}

async function act(action: Action, done: string, names: string[], options: ActionOptions): Promise<void> {
  const targets = names.map(parseTarget);
  const connection = connect(options);
  const client = new CondorClient(connection.client);
  const changed = [];
  for (const { cluster, procs } of targets) {
    const changedCount = await client.act(action, cluster, {
      ...(procs && { procs }),
      ...(options.constraint !== undefined && { constraint: options.constraint }),
      ...(options.reason !== undefined && { reason: options.reason }),
    });
    changed.push({ cluster, procs: procs ?? null, changed: changedCount });
    if (!options.json) printLine(changeLine(cluster, procs?.[0], done, changedCount));
  }
  connection.close();
  if (options.json) printLine(JSON.stringify(changed));
}

/**
 * Formats the result of an action. `proc` is undefined when the action applied to all processes of the cluster;
 * `changed` is the number of processes that the action changed.
 */
function changeLine(cluster: number, proc: number | undefined, done: string, changed: number): string {
  const id = proc === undefined ? `All jobs in cluster ${cluster}` : `Job ${cluster}.${proc}`;
  if (changed === 0) return `${id}: nothing to change`;
  return `${id} ${proc === undefined ? 'have been ' : ''}${done} (${changed})`;
}

function addAnalyzeCommand(condor: Command): void {
  addServerOptions(
    condor
      .command('analyze <job>')
      .description('show which kinds of machine a process matches, clause by clause'),
  ).action(showAnalysis);
}

async function showAnalysis(name: string, options: ServerOptions): Promise<void> {
  const { cluster, procs } = parseTarget(name);
  const connection = connect(options);
  const analysis = await new CondorClient(connection.client).analyze(cluster, procs?.[0] ?? 0);
  connection.close();
  if (options.json) {
    printLine(JSON.stringify(analysis));
    return;
  }
  printLine(
    `Process ${analysis.cluster}.${analysis.proc} is ${analysis.state}. ${analysis.matches} of ${analysis.kinds} kinds of machine match.\n`,
  );
  printLine(clauseTable(analysis));
  if (analysis.reason !== null) printLine(`\n${analysis.reason}`);
}
