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
import type { ServiceResponse } from './state.js';

/** Attempt of a task, as recorded by its worker. */
export interface Attempt extends TaskStatus {
  /** Name of the task, for example `wk-000412/3`. */
  task: string;
}

/** Simulates the tasks of a worker; without a runtime, tasks run until they are ended explicitly. */
export interface Runtime {
  /** Called when a start command was executed; may refuse it by ending the attempt immediately. */
  startAttempt(worker: Worker, a: Attempt): void;
  stop(worker: Worker, a: Attempt, graceS: number): void;
  /** Called when the worker killed and discarded its tasks, or was removed. */
  attemptsLost(worker: Worker, attempts: Attempt[]): void;
}

/** Identity and properties of a machine, as reported by the emulated worker on it. */
export interface MachineIdentity {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
}

/**
 * Emulates a worker as its protocol specifies it: incarnations, fencing tokens, leases and commands, but no
 * network.
 */
export class Worker {
  fencingToken = 0;
  incarnation = 1;
  private lastSequence = 0;
  attempts: Attempt[] = [];
  noticeS: number | null = null;
  /** Task names of all start commands that were executed. */
  readonly executedStarts: string[] = [];
  /** Time at which the last answered heartbeat was sent, or this incarnation began. */
  lastHeartbeatSentAt: number;

  constructor(
    private readonly clock: Clock,
    readonly identity: MachineIdentity,
    private readonly leaseS: number,
    private readonly runtime: Runtime | null = null,
    /** Called when something changed that heartbeats include. */
    private readonly notifyChanged: () => void = () => undefined,
  ) {
    this.lastHeartbeatSentAt = clock.now();
  }

  get id(): string {
    return this.identity.id;
  }

  report(): object {
    this.checkLease();
    const { id, addr, type, zone, spot } = this.identity;
    return writeHeartbeat({
      machine: id,
      addr,
      type,
      zone,
      spot,
      incarnation: this.incarnation,
      sequence: ++this.lastSequence,
      fencingToken: this.fencingToken,
      reclaimInS: this.noticeS,
      tasks: this.attempts,
    });
  }

  /** Handles the answer to a heartbeat that was sent at `sentAt` in the given incarnation. */
  handleHeartbeatResponse(body: unknown, sentAt: number, incarnation = this.incarnation): void {
    const received = readCommands(body);
    if (!received || (received.token ?? 0) < this.fencingToken || incarnation !== this.incarnation) return;
    this.adoptToken(received.token ?? this.fencingToken);
    this.lastHeartbeatSentAt = Math.max(this.lastHeartbeatSentAt, sentAt);
    for (const o of received.commands) this.execute(o);
  }

  serve(_method: string, path: string, body: unknown): ServiceResponse {
    if (path === WORKER_PATHS.status) return { status: 200, body: this.report() };
    const received = readCommands(body);
    if (!received || received.token === null || received.incarnation === null)
      return { status: 400, body: {} };
    this.checkLease();
    if (received.token < this.fencingToken || received.incarnation !== this.incarnation)
      return { status: 409, body: this.report() };
    this.adoptToken(received.token);
    for (const o of received.commands) this.execute(o);
    return { status: 200, body: this.report() };
  }

  /** Ends a task, whatever state it is in. */
  endTask(task: string, cause: ExitCause, saved = false): void {
    for (const a of this.attempts) if (a.task === task && a.state !== 'exited') this.exit(a, cause, saved);
  }

  exit(a: Attempt, cause: ExitCause, saved = false): void {
    if (a.state === 'exited') return;
    Object.assign(a, { state: 'exited', cause, saved });
    this.notifyChanged();
  }

  setState(a: Attempt, state: TaskState): void {
    if (a.state === 'exited') return;
    a.state = state;
    this.notifyChanged();
  }

  notice(seconds: number): void {
    this.noticeS = seconds;
    this.notifyChanged();
  }

  isActive(task: string): boolean {
    this.checkLease();
    return this.attempts.some((a) => a.task === task && a.state !== 'exited');
  }

  /** Remaining time of the lease in milliseconds; negative once it has expired. */
  get leaseLeftMs(): number {
    return this.lastHeartbeatSentAt + this.leaseS * 1000 - this.clock.now();
  }

  /**
   * Kills all tasks and begins a new incarnation if the lease has expired. Expiry depends only on the worker's
   * own clock, not on the caller.
   */
  checkLease(): void {
    if (this.leaseLeftMs >= 0) return;
    this.incarnation++;
    this.lastHeartbeatSentAt = this.clock.now();
    this.killTasks();
    this.notifyChanged();
  }

  /** Kills and discards all tasks. */
  killTasks(): void {
    const lost = this.attempts;
    this.attempts = [];
    this.runtime?.attemptsLost(this, lost);
  }

  private adoptToken(token: number): void {
    if (token > this.fencingToken) this.notifyChanged();
    this.fencingToken = token;
  }

  private execute(command: WorkerCommand): void {
    const task = taskName(command.job, command.index);
    const knownAttempt = this.attempts.find((a) => a.task === task && a.attempt === command.attempt);
    if (command.op === 'start' && !knownAttempt) {
      const { job, index, attempt } = command;
      const newAttempt: Attempt = { task, job, index, attempt, state: 'running', cause: null, saved: false };
      this.attempts.push(newAttempt);
      this.executedStarts.push(task);
      this.runtime?.startAttempt(this, newAttempt);
      this.notifyChanged();
    }
    if (command.op === 'stop' && knownAttempt && knownAttempt.state !== 'exited') {
      if (this.runtime) this.runtime.stop(this, knownAttempt, command.graceS);
      else this.exit(knownAttempt, 'stopped', command.graceS > 0);
    }
    if (command.op === 'forget' && knownAttempt?.state === 'exited')
      this.attempts = this.attempts.filter((a) => a !== knownAttempt);
  }
}
