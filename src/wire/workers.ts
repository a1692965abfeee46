/**
 * Decodes the heartbeats of workers and encodes the commands to them. The protocol calls a task `piece`
 * (`JOB/INDEX`), an attempt `try`, the incarnation of a worker `shift`, the sequence number of a heartbeat `tally`,
 * and the fencing token of a machine's owner `baton`. The types below use the standard terms.
 */

import * as v from 'valibot';

/** `status` of a task, where `pulling` means fetching and `ended` means exited. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** The reason why a task exited or did not start: `cause`, whose values are listed in `CAUSES`. */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** The status of a task in a heartbeat: an element of `pieces`. */
export interface TaskStatus {
  /** `piece` up to the last slash. */
  job: string;
  /** `piece` after the last slash. */
  index: number;
  /** `try`: the number of the attempt. */
  attempt: number;
  /** `status`. */
  state: TaskState;
  /** Null unless the task has exited. */
  cause: ExitCause | null;
  /** `kept`: whether its checkpoint was saved when it exited. */
  saved: boolean;
}

/** A worker's status message on its machine and all of its tasks. */
export interface Heartbeat {
  /** `worker`. */
  machine: string;
  /** `host:port` at which the worker accepts commands. */
  addr: string;
  /** `flavor`. */
  type: string;
  /** `yard`. */
  zone: string;
  /** `loaner`. */
  spot: boolean;
  /** `shift`: increases with every restart of the worker, after which it has no tasks. */
  incarnation: number;
  /** `tally`: increases with every heartbeat of an incarnation. */
  sequence: number;
  /** `baton`: the highest fencing token that the worker has received. */
  fencingToken: number;
  /** `recallS`: seconds until the cloud reclaims the (spot) machine; null if it has not announced a reclamation. */
  reclaimInS: number | null;
  /** `pieces`. */
  tasks: TaskStatus[];
}

/**
 * A command to a worker: start (`run`), stop with a grace period (`kill`, `windDownS`) or forget an exited task
 * (`clear`).
 */
export type WorkerCommand =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };

const STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'exited',
};
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  peers: 'peers',
  incomplete: 'alone',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  no_such: 'unknown',
};
const VERBS = { start: 'run', stop: 'kill', forget: 'clear' } as const;

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const reportBody = v.object({
  worker: v.pipe(v.string(), v.regex(/^\S{1,120}$/)),
  addr: v.pipe(v.string(), v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/)),
  flavor: v.string(),
  yard: v.string(),
  loaner: v.boolean(),
  shift: count,
  tally: count,
  baton: v.optional(count, 0),
  recallS: v.nullish(v.pipe(v.number(), v.finite())),
  pieces: v.array(
    v.object({
      piece: v.pipe(v.string(), v.regex(/^\S+\/\d{1,6}$/)),
      try: count,
      status: v.string(),
      cause: v.nullish(v.string()),
      kept: v.nullish(v.boolean()),
    }),
  ),
});

/** Returns the name of a task in the protocol (`piece`). */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** Decodes a heartbeat; returns null if it is malformed. */
export function readHeartbeat(body: unknown): Heartbeat | null {
  const parsed = v.safeParse(reportBody, body);
  if (!parsed.success) return null;
  const report = parsed.output;
  const tasks: TaskStatus[] = [];
  for (const piece of report.pieces) {
    const slash = piece.piece.lastIndexOf('/');
    const state = STATES[piece.status];
    // A task in an unknown state still occupies the machine, so it is treated as running.
    tasks.push({
      job: piece.piece.slice(0, slash),
      index: Number(piece.piece.slice(slash + 1)),
      attempt: piece.try,
      state: state ?? 'running',
      cause: state === 'exited' ? (CAUSES[piece.cause ?? ''] ?? 'error') : null,
      saved: piece.kept === true,
    });
  }
  return {
    machine: report.worker,
    addr: report.addr,
    type: report.flavor,
    zone: report.yard,
    spot: report.loaner,
    incarnation: report.shift,
    sequence: report.tally,
    fencingToken: report.baton,
    reclaimInS: report.recallS ?? null,
    tasks,
  };
}

function writeCommand(command: WorkerCommand): object {
  const base = { verb: VERBS[command.op], piece: taskName(command.job, command.index), try: command.attempt };
  return command.op === 'stop' ? { ...base, windDownS: command.graceS } : base;
}

/** Encodes the response to a heartbeat. */
export function writeHeartbeatResponse(token: number, commands: WorkerCommand[]): object {
  return { baton: token, orders: commands.map(writeCommand) };
}

/** Encodes commands that are sent to a worker between its heartbeats. */
export function writeCommands(token: number, incarnation: number, commands: WorkerCommand[]): object {
  return { baton: token, shift: incarnation, orders: commands.map(writeCommand) };
}

/** Encodes the response to a heartbeat that another node (`foreman`) must receive; `node` is null if it is unknown. */
export function writeRedirect(node: string | null): object {
  return node === null ? {} : { foreman: node };
}

/** Paths of the worker protocol: `heartbeat` at a controller, `commands` and `status` at a worker. */
export const WORKER_PATHS = { heartbeat: '/v1/report', commands: '/do', status: '/show' } as const;

// --- The worker's side of the protocol.

const STATE_WORDS = inverse(STATES);
const CAUSE_WORDS = inverse(CAUSES);
const OPS = { run: 'start', kill: 'stop', clear: 'forget' } as const;

function inverse<T extends string>(words: Record<string, T>): Record<T, string> {
  return Object.fromEntries(Object.entries(words).map(([word, term]) => [term, word])) as Record<T, string>;
}

/** Encodes a heartbeat for `readHeartbeat`. */
export function writeHeartbeat(heartbeat: Heartbeat): object {
  return {
    worker: heartbeat.machine,
    addr: heartbeat.addr,
    flavor: heartbeat.type,
    yard: heartbeat.zone,
    loaner: heartbeat.spot,
    shift: heartbeat.incarnation,
    tally: heartbeat.sequence,
    baton: heartbeat.fencingToken,
    recallS: heartbeat.reclaimInS,
    pieces: heartbeat.tasks.map((t) => ({
      piece: taskName(t.job, t.index),
      try: t.attempt,
      status: STATE_WORDS[t.state],
      ...(t.cause !== null && { cause: CAUSE_WORDS[t.cause] }),
      ...(t.saved && { kept: true }),
    })),
  };
}

const ordersBody = v.object({
  baton: v.optional(count),
  shift: v.optional(count),
  orders: v.optional(
    v.array(
      v.object({
        verb: v.picklist(['run', 'kill', 'clear']),
        piece: v.pipe(v.string(), v.regex(/^\S+\/\d{1,6}$/)),
        try: count,
        windDownS: v.optional(v.number(), 0),
      }),
    ),
    [],
  ),
});

/** Decodes what `writeHeartbeatResponse` and `writeCommands` encode; returns null if it is malformed. */
export function readCommands(
  body: unknown,
): { token: number | null; incarnation: number | null; commands: WorkerCommand[] } | null {
  const parsed = v.safeParse(ordersBody, body);
  if (!parsed.success) return null;
  const { baton, shift, orders } = parsed.output;
  return {
    token: baton ?? null,
    incarnation: shift ?? null,
    commands: orders.map((command): WorkerCommand => {
      const slash = command.piece.lastIndexOf('/');
      const base = {
        job: command.piece.slice(0, slash),
        index: Number(command.piece.slice(slash + 1)),
        attempt: command.try,
      };
      const op = OPS[command.verb];
      return op === 'stop' ? { op, ...base, graceS: command.windDownS } : { op, ...base };
    }),
  };
}

const redirectBody = v.object({ foreman: v.nullish(v.string()) });

/** Decodes what `writeRedirect` encodes; returns null if the node is unknown or the body is malformed. */
export function readRedirect(body: unknown): string | null {
  const parsed = v.safeParse(redirectBody, body);
  return parsed.success ? (parsed.output.foreman ?? null) : null;
}
