/**
 * Heartbeats of the workers, and the commands to them. Their words: `piece` is a task (`JOB/INDEX`), `try` an attempt, `shift`
 * the incarnation of a worker, `tally` the sequence number of a heartbeat, `baton` the fencing token of a machine's owner.
 */

import * as v from 'valibot';

/** `status` of a task; `pulling` is fetching, `ended` is exited. */
export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
/** Why a task exited, or did not start: `cause`, whose words are in `CAUSES`. */
export type ExitCause = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown';

/** A task on a machine, as its heartbeats report it (`pieces[]`). */
export interface TaskStatus {
  /** `piece` up to the last slash. */
  job: string;
  /** `piece` after the last slash. */
  index: number;
  /** `try`: the number of the attempt. */
  attempt: number;
  /** `status`. */
  state: TaskState;
  /** Null unless it has exited. */
  cause: ExitCause | null;
  /** `kept`: its checkpoint was saved when it exited. */
  saved: boolean;
}

/** What a worker reports of itself and of all its tasks. */
export interface Heartbeat {
  /** `worker`. */
  machine: string;
  /** `host:port` at which the worker takes commands. */
  addr: string;
  /** `flavor`. */
  type: string;
  /** `yard`. */
  zone: string;
  /** `loaner`. */
  spot: boolean;
  /** `shift`: grows whenever the worker starts anew, without tasks. */
  incarnation: number;
  /** `tally`: grows with each heartbeat of an incarnation. */
  sequence: number;
  /** `baton`: the highest token that the worker has received. */
  fencingToken: number;
  /** `recallS`: seconds until the cloud takes the (spot) machine back; null if it has not announced that. */
  reclaimInS: number | null;
  /** `pieces`. */
  tasks: TaskStatus[];
}

/** A command to a worker: `run` (start), `kill` (stop; `windDownS` is the grace), or `clear` (forget an exited task). */
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

/** The name of a task on the wire: `piece`. */
export function taskName(job: string, index: number): string {
  return `${job}/${index}`;
}

/** A heartbeat; null when it is malformed. */
export function readHeartbeat(body: unknown): Heartbeat | null {
  const parsed = v.safeParse(reportBody, body);
  if (!parsed.success) return null;
  const b = parsed.output;
  const tasks: TaskStatus[] = [];
  for (const p of b.pieces) {
    const slash = p.piece.lastIndexOf('/');
    const state = STATES[p.status];
    // An unknown state still means the task is on the machine.
    tasks.push({
      job: p.piece.slice(0, slash),
      index: Number(p.piece.slice(slash + 1)),
      attempt: p.try,
      state: state ?? 'running',
      cause: state === 'exited' ? (CAUSES[p.cause ?? ''] ?? 'error') : null,
      saved: p.kept === true,
    });
  }
  return {
    machine: b.worker,
    addr: b.addr,
    type: b.flavor,
    zone: b.yard,
    spot: b.loaner,
    incarnation: b.shift,
    sequence: b.tally,
    fencingToken: b.baton,
    reclaimInS: b.recallS ?? null,
    tasks,
  };
}

function writeCommand(o: WorkerCommand): object {
  const base = { verb: VERBS[o.op], piece: taskName(o.job, o.index), try: o.attempt };
  return o.op === 'stop' ? { ...base, windDownS: o.graceS } : base;
}

/** The response to a heartbeat. */
export function writeHeartbeatResponse(token: number, orders: WorkerCommand[]): object {
  return { baton: token, orders: orders.map(writeCommand) };
}

/** Commands that are sent to a worker between its heartbeats. */
export function writeCommands(token: number, session: number, orders: WorkerCommand[]): object {
  return { baton: token, shift: session, orders: orders.map(writeCommand) };
}

/** The response to a heartbeat for another node (`foreman`); null when it is not known which. */
export function writeRedirect(node: string | null): object {
  return node === null ? {} : { foreman: node };
}

/** The path of a controller for workers (`heartbeat`), and those of a worker. */
export const WORKER_PATHS = { heartbeat: '/v1/report', commands: '/do', status: '/show' } as const;

// --- the worker's side

const STATE_WORDS = inverse(STATES);
const CAUSE_WORDS = inverse(CAUSES);
const OPS = { run: 'start', kill: 'stop', clear: 'forget' } as const;

function inverse<T extends string>(words: Record<string, T>): Record<T, string> {
  return Object.fromEntries(Object.entries(words).map(([word, term]) => [term, word])) as Record<T, string>;
}

/** The worker's side of `readHeartbeat`. */
export function writeHeartbeat(r: Heartbeat): object {
  return {
    worker: r.machine,
    addr: r.addr,
    flavor: r.type,
    yard: r.zone,
    loaner: r.spot,
    shift: r.incarnation,
    tally: r.sequence,
    baton: r.fencingToken,
    recallS: r.reclaimInS,
    pieces: r.tasks.map((t) => ({
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

/** The worker's side of `writeHeartbeatResponse` and `writeCommands`; null when it is malformed. */
export function readCommands(
  body: unknown,
): { token: number | null; session: number | null; orders: WorkerCommand[] } | null {
  const parsed = v.safeParse(ordersBody, body);
  if (!parsed.success) return null;
  const { baton, shift, orders } = parsed.output;
  return {
    token: baton ?? null,
    session: shift ?? null,
    orders: orders.map((o): WorkerCommand => {
      const slash = o.piece.lastIndexOf('/');
      const base = { job: o.piece.slice(0, slash), index: Number(o.piece.slice(slash + 1)), attempt: o.try };
      const op = OPS[o.verb];
      return op === 'stop' ? { op, ...base, graceS: o.windDownS } : { op, ...base };
    }),
  };
}

const redirectBody = v.object({ foreman: v.nullish(v.string()) });

/** The worker's side of `writeRedirect`; null when it is malformed too. */
export function readRedirect(body: unknown): string | null {
  const parsed = v.safeParse(redirectBody, body);
  return parsed.success ? (parsed.output.foreman ?? null) : null;
}
