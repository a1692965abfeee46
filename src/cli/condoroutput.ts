/** Output of the condor commands, in the layout of the tables of `condor_q`. */

import type { AnalysisView, ClusterView, ProcView } from '../wire/condor.js';
import { table } from './output.js';

const STATE_LETTERS = { idle: 'I', running: 'R', held: 'H', removed: 'X', completed: 'C' } as const;

function formatTime(seconds: number): string {
  const date = new Date(seconds * 1000);
  const twoDigits = (n: number) => String(n).padStart(2, '0');
  return `${String(date.getMonth() + 1).padStart(2)}/${String(date.getDate()).padEnd(2)} ${twoDigits(date.getHours())}:${twoDigits(date.getMinutes())}`;
}

const formatCount = (n: number) => (n === 0 ? '_' : String(n));

/** Formats one line per cluster, in the columns of `condor_q`. */
export function clusterTable(clusters: readonly ClusterView[]): string {
  const rows = clusters.map((cluster) => [
    cluster.user,
    cluster.batch ?? `ID: ${cluster.cluster}`,
    formatTime(cluster.at),
    formatCount(cluster.completed),
    formatCount(cluster.running),
    formatCount(cluster.idle),
    formatCount(cluster.held),
    cluster.procs,
    cluster.procs === 1 ? `${cluster.cluster}.0` : `${cluster.cluster}.0-${cluster.procs - 1}`,
  ]);
  return table(['OWNER', 'BATCH_NAME', 'SUBMITTED', 'DONE', 'RUN', 'IDLE', 'HOLD', 'TOTAL', 'JOB_IDS'], rows);
}

/** Formats one line per process, in the columns of `condor_q -nobatch`. */
export function procTable(procs: readonly ProcView[]): string {
  const rows = procs.map((p) => [
    `${p.cluster}.${p.proc}`,
    p.user,
    formatTime(p.at),
    STATE_LETTERS[p.state],
    p.priority,
    p.memoryMb.toFixed(1),
    p.cmd,
  ]);
  return table(['ID', 'OWNER', 'SUBMITTED', 'ST', 'PRI', 'SIZE', 'CMD'], rows);
}

/** Formats the totals, the last line of `condor_q`. */
export function totalsLine(clusters: readonly ClusterView[]): string {
  const sum = (f: (c: ClusterView) => number) => clusters.reduce((n, c) => n + f(c), 0);
  const all = sum((c) => c.procs);
  return `Total for query: ${all} jobs; ${sum((c) => c.completed)} completed, ${sum((c) => c.removed)} removed, ${sum((c) => c.idle)} idle, ${sum((c) => c.running)} running, ${sum((c) => c.held)} held, 0 suspended`;
}

/** Formats the clauses of a process's requirements, with the number of kinds of machine that match each clause. */
export function clauseTable(analysis: AnalysisView): string {
  const rows = analysis.clauses.map((clause, i) => [
    `[${i}]`,
    clause.matches,
    `${clause.text}${clause.nearest ? `    ${clause.nearest}` : ''}`,
  ]);
  return table(['CLAUSE', 'MATCHED', 'CONDITION'], rows);
}
