import type { Clock } from '../clock/clock.js';
import {
  type ExitCause,
  readCommands,
  type TaskState,
  type TaskStatus,
  taskName,
  WORKER_PATHS,
  type WorkerCommand,
  writeHeartbeat,
} from '../wire/workers.js';
import type { Served } from './state.js';

/** One attempt of a task, as its worker has it. */
export interface Attempt extends TaskStatus {
  /** The task's name, as in `wk-000412/3`. */
  task: string;
}

/** What becomes of tasks on a worker; without it they run from their start until somebody ends them. */
export interface Runtime {
  /** A start was executed; it may be refused at once by ending the attempt. */
  begin(worker: Worker, a: Attempt): void;
  stop(worker: Worker, a: Attempt, graceS: number): void;
  /** The worker killed and forgot its tasks, or is gone. */
  lost(worker: Worker, attempts: Attempt[]): void;
}

/** A machine as the emulated worker on it knows it. */
export interface Place {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** A stand-in for a worker, as its protocol describes it: sessions, tokens, leases, orders; no network. */
export class Worker {
  token = 0;
  session = 1;
  private seq = 0;
  attempts: Attempt[] = [];
  noticeS: number | null = null;
  /** Every start that was executed. */
  readonly started: string[] = [];
  /** When the last answered report was sent, or this session began. */
  lastSent: number;

  constructor(
    private readonly clock: Clock,
    readonly place: Place,
    private readonly leaseS: number,
    private readonly runtime: Runtime | null = null,
    /** Something changed that a report tells. */
    private readonly changed: () => void = () => undefined,
  ) {
    this.lastSent = clock.now();
  }

  get id(): string {
    return this.place.id;
  }

  report(): object {
    this.checkLease();
    const { id, addr, type, zone, spot } = this.place;
    return writeHeartbeat({
      machine: id,
      addr,
      type,
      zone,
      spot,
      incarnation: this.session,
      sequence: ++this.seq,
      fencingToken: this.token,
      reclaimInS: this.noticeS,
      tasks: this.attempts,
    });
  }

  /** Takes the answer to a report that was sent at `sent` in a session. */
  answer(body: unknown, sent: number, session = this.session): void {
    const received = readCommands(body);
    if (!received || (received.token ?? 0) < this.token || session !== this.session) return;
    this.see(received.token ?? this.token);
    this.lastSent = Math.max(this.lastSent, sent);
    for (const o of received.orders) this.execute(o);
  }

  serve(_method: string, path: string, body: unknown): Served {
    if (path === WORKER_PATHS.status) return { status: 200, body: this.report() };
    const received = readCommands(body);
    if (!received || received.token === null || received.session === null) return { status: 400, body: {} };
    this.checkLease();
    if (received.token < this.token || received.session !== this.session)
      return { status: 409, body: this.report() };
    this.see(received.token);
    for (const o of received.orders) this.execute(o);
    return { status: 200, body: this.report() };
  }

  /** Ends a task whatever it does. */
  end(task: string, cause: ExitCause, saved = false): void {
    for (const a of this.attempts) if (a.task === task && a.state !== 'exited') this.exit(a, cause, saved);
  }

  exit(a: Attempt, cause: ExitCause, saved = false): void {
    if (a.state === 'exited') return;
    Object.assign(a, { state: 'exited', cause, saved });
    this.changed();
  }

  move(a: Attempt, state: TaskState): void {
    if (a.state === 'exited') return;
    a.state = state;
    this.changed();
  }

  notice(seconds: number): void {
    this.noticeS = seconds;
    this.changed();
  }

  on(task: string): boolean {
    this.checkLease();
    return this.attempts.some((a) => a.task === task && a.state !== 'exited');
  }

  /** How long its lease still lasts, in milliseconds; below 0 once it is over. */
  get leaseLeftMs(): number {
    return this.lastSent + this.leaseS * 1000 - this.clock.now();
  }

  /** The lease runs on its own clock, whoever asks. */
  checkLease(): void {
    if (this.leaseLeftMs >= 0) return;
    this.session++;
    this.lastSent = this.clock.now();
    this.die();
    this.changed();
  }

  /** All tasks are killed and forgotten. */
  die(): void {
    const lost = this.attempts;
    this.attempts = [];
    this.runtime?.lost(this, lost);
  }

  private see(token: number): void {
    if (token > this.token) this.changed();
    this.token = token;
  }

  private execute(o: WorkerCommand): void {
    const task = taskName(o.job, o.index);
    const known = this.attempts.find((a) => a.task === task && a.attempt === o.attempt);
    if (o.op === 'start' && !known) {
      const { job, index, attempt } = o;
      const a: Attempt = { task, job, index, attempt, state: 'running', cause: null, saved: false };
      this.attempts.push(a);
      this.started.push(task);
      this.runtime?.begin(this, a);
      this.changed();
    }
    if (o.op === 'stop' && known && known.state !== 'exited') {
      if (this.runtime) this.runtime.stop(this, known, o.graceS);
      else this.exit(known, 'stopped', o.graceS > 0);
    }
    if (o.op === 'forget' && known?.state === 'exited')
      this.attempts = this.attempts.filter((a) => a !== known);
  }
}
