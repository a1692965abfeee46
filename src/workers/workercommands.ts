import { readHeartbeat, WORKER_PATHS, type WorkerCommand, writeCommands } from '../wire/workers.js';
import type { HeartbeatIntake } from './heartbeats.js';
import { attemptKey, type Machine, type TaskAttempt } from './machine.js';
import type { RegistryParts } from './registryhooks.js';

const COMMAND_TIMEOUT_MS = 3000;
/** A stop that has not shown an effect is sent again after this. */
const STOP_RESEND_MS = 2000;

/** A request to a machine that carries commands. */
export interface CommandRequest {
  readonly commands: readonly WorkerCommand[];
  /** The incarnation that may execute them. */
  readonly incarnation: number;
  /** Called once they are known to be executed, before the answer's heartbeat is taken up. */
  readonly onExecuted?: () => void;
}

/** Commands to the machines of a shard, sent straight to them or with the answers to their heartbeats. */
export class WorkerCommands {
  /** Tasks that are to stop and have not exited, as far as is known. */
  private readonly stopping = new Set<TaskAttempt>();

  constructor(
    private readonly parts: Pick<RegistryParts, 'clock' | 'http' | 'machines' | 'isStopped' | 'isActive'>,
    private readonly heartbeats: HeartbeatIntake,
  ) {}

  /**
   * Sends commands under the machine's present token, and takes up the heartbeat in the answer. True when they were executed,
   * false when the machine surely did not execute them. Throws `HttpRequestError` when there is no answer.
   */
  async send(m: Machine, { commands, incarnation, onExecuted }: CommandRequest): Promise<boolean> {
    const { http, machines } = this.parts;
    const body = writeCommands(m.fencingToken, incarnation, [...commands]);
    const answer = await http.request(m.addr, 'POST', WORKER_PATHS.commands, body, COMMAND_TIMEOUT_MS);
    const r = readHeartbeat(answer.body);
    if (answer.status === 200) onExecuted?.();
    if (r && r.machine === m.id && machines.get(m.id) === m && !this.parts.isStopped())
      this.heartbeats.apply(m, r, 'command');
    return answer.status === 200;
  }

  /** Stops a task with so many seconds to save its state; a later call can only shorten the grace. */
  stopTask(h: TaskAttempt, graceS: number): void {
    if (h.state === 'exited') return;
    if (!h.stop || graceS < h.stop.graceS) h.stop = { graceS, sentAt: 0 };
    this.stopping.add(h);
  }

  /** Sends stops that have not been sent, or long ago, straight to the machines. */
  sendStops(): void {
    const now = this.parts.clock.now();
    for (const [m, stops] of this.dueStops(now)) {
      if (!this.parts.isActive()) return;
      for (const h of stops) h.stop!.sentAt = now;
      void this.send(m, { commands: stops.map(stopCommand), incarnation: m.incarnation }).catch(
        () => undefined,
      );
    }
  }

  private dueStops(now: number): Map<Machine, TaskAttempt[]> {
    const due = new Map<Machine, TaskAttempt[]>();
    for (const h of this.stopping) {
      const m = h.machine;
      if (h.state === 'exited' || this.parts.machines.get(m.id) !== m || !m.attempts.has(keyOf(h))) {
        this.stopping.delete(h);
        continue;
      }
      if (!h.stop || now - h.stop.sentAt <= STOP_RESEND_MS || !m.reconciled || !m.addr) continue;
      const stops = due.get(m);
      if (stops) stops.push(h);
      else due.set(m, [h]);
    }
    return due;
  }

  /** The commands that go with the answer to a machine's heartbeat. */
  pending(m: Machine): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const h of m.attempts.values()) {
      if (h.state === 'exited') {
        if (h.exitRecorded) commands.push({ op: 'forget', job: h.job, index: h.index, attempt: h.attempt });
      } else if (h.stop) {
        commands.push(stopCommand(h));
      }
    }
    return commands;
  }
}

/** The key of an attempt among those of its machine. */
export function keyOf(h: TaskAttempt): string {
  return attemptKey(h.job, h.index, h.attempt);
}

function stopCommand(h: TaskAttempt): WorkerCommand {
  return { op: 'stop', job: h.job, index: h.index, attempt: h.attempt, graceS: h.stop?.graceS ?? 0 };
}
