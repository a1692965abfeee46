import { readHeartbeat, WORKER_PATHS, type WorkerCommand, writeCommands } from '../wire/workers.js';
import { type FencingTokens, isExitRecorded, isStartVoid } from './fencingtokens.js';
import type { HeartbeatProcessor } from './heartbeats.js';
import { attemptKey, type Machine, type TaskAttempt } from './machine.js';
import type { RegistryContext } from './registryhooks.js';

const COMMAND_TIMEOUT_MS = 3000;
/** Interval after which a stop that has had no visible effect is sent again. */
const STOP_RESEND_MS = 2000;

/** A set of commands sent to a machine in one request. */
export interface CommandRequest {
  readonly commands: readonly WorkerCommand[];
  /** The only incarnation that may execute the commands. */
  readonly incarnation: number;
  /** Called once the commands are known to be executed, before the heartbeat in the response is applied. */
  readonly onExecuted?: () => void;
}

/** Sends commands to the machines of a shard, either directly or with the responses to their heartbeats. */
export class WorkerCommands {
  /** Attempts that were ordered to stop and are not known to have exited. */
  private readonly stopping = new Set<TaskAttempt>();

  constructor(
    private readonly context: Pick<RegistryContext, 'clock' | 'http' | 'machines' | 'isStopped' | 'isActive'>,
    private readonly heartbeats: HeartbeatProcessor,
    private readonly tokens: FencingTokens,
  ) {}

  /**
   * Sends commands under the machine's current token, and applies the heartbeat in the response. Returns true if the
   * commands were executed, false if they certainly were not. Throws `HttpRequestError` if there is no response.
   */
  async send(machine: Machine, { commands, incarnation, onExecuted }: CommandRequest): Promise<boolean> {
    const { http, machines } = this.context;
    const body = writeCommands(machine.fencingToken, incarnation, [...commands]);
    const answer = await http.request(machine.addr, 'POST', WORKER_PATHS.commands, body, COMMAND_TIMEOUT_MS);
    const heartbeat = readHeartbeat(answer.body);
    if (answer.status === 200) onExecuted?.();
    if (
      heartbeat &&
      heartbeat.machine === machine.id &&
      machines.get(machine.id) === machine &&
      !this.context.isStopped()
    )
      this.heartbeats.apply(machine, heartbeat, 'command');
    return answer.status === 200;
  }

  /**
   * Stops a task, allowing it `graceS` seconds to save its state; a later call can only shorten that grace period.
   */
  stopTask(attempt: TaskAttempt, graceS: number): void {
    if (attempt.state === 'exited') return;
    if (!attempt.stop || graceS < attempt.stop.graceS) attempt.stop = { graceS, sentAt: 0 };
    this.stopping.add(attempt);
  }

  /** Sends stops directly to the machines if they have not been sent yet or were sent too long ago. */
  sendStops(): void {
    const now = this.context.clock.now();
    for (const [machine, stops] of this.dueStops(now)) {
      if (!this.context.isActive()) return;
      for (const attempt of stops) attempt.stop!.sentAt = now;
      void this.send(machine, { commands: stops.map(stopCommand), incarnation: machine.incarnation }).catch(
        () => undefined,
      );
    }
  }

  private dueStops(now: number): Map<Machine, TaskAttempt[]> {
    const due = new Map<Machine, TaskAttempt[]>();
    for (const attempt of this.stopping) {
      const machine = attempt.machine;
      if (
        attempt.state === 'exited' ||
        this.context.machines.get(machine.id) !== machine ||
        !machine.attempts.has(keyOfAttempt(attempt))
      ) {
        this.stopping.delete(attempt);
        continue;
      }
      if (
        !attempt.stop ||
        now - attempt.stop.sentAt <= STOP_RESEND_MS ||
        !machine.reconciled ||
        !machine.addr
      )
        continue;
      const stops = due.get(machine);
      if (stops) stops.push(attempt);
      else due.set(machine, [attempt]);
    }
    return due;
  }

  /**
   * Returns the commands to include in the response to a machine's heartbeat. May raise the machine's fencing token,
   * which the response has to carry.
   */
  pending(machine: Machine): WorkerCommand[] {
    this.tokens.raiseToForget(machine);
    const commands: WorkerCommand[] = [];
    for (const attempt of machine.attempts.values()) {
      if (isExitRecorded(attempt)) {
        if (isStartVoid(attempt)) commands.push(forgetCommand(attempt));
      } else if (attempt.stop && attempt.state !== 'exited') {
        commands.push(stopCommand(attempt));
      }
    }
    return commands;
  }
}

/** Returns the key of an attempt in `Machine.attempts`. */
export function keyOfAttempt(attempt: TaskAttempt): string {
  return attemptKey(attempt.job, attempt.index, attempt.attempt);
}

function forgetCommand(attempt: TaskAttempt): WorkerCommand {
  return { op: 'forget', job: attempt.job, index: attempt.index, attempt: attempt.attempt };
}

function stopCommand(attempt: TaskAttempt): WorkerCommand {
  return {
    op: 'stop',
    job: attempt.job,
    index: attempt.index,
    attempt: attempt.attempt,
    graceS: attempt.stop?.graceS ?? 0,
  };
}
