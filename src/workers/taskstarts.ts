import { HttpRequestError } from '../http/client.js';
import type { WorkerCommand } from '../wire/workers.js';
import type { Machine, TaskAttempt } from './machine.js';
import type { MachineReconciliation } from './machinereconciliation.js';
import type { GoneReason, RegistryParts } from './registryhooks.js';
import { keyOf, type WorkerCommands } from './workercommands.js';

const TOKEN_RETRY_MS = 1000;

/** A task to be started, by its job, its index there and the number of the attempt. */
export interface TaskStart {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
}

/** Starts tasks on machines, and finds out which starts were executed. */
export class TaskStarts {
  constructor(
    private readonly parts: Pick<
      RegistryParts,
      'clock' | 'log' | 'hooks' | 'machines' | 'isStopped' | 'isActive'
    >,
    private readonly commands: WorkerCommands,
    private readonly reconciliation: MachineReconciliation,
  ) {}

  /** Starts tasks on a machine that has reported under the present token; returns their attempts, which it may hold from now on. */
  start(m: Machine, starts: readonly TaskStart[]): TaskAttempt[] {
    const now = this.parts.clock.now();
    const attempts = starts.map((s): TaskAttempt => {
      const h: TaskAttempt = {
        ...s,
        machine: m,
        state: 'fetching',
        cause: null,
        startPhase: 'sending',
        fencingToken: m.fencingToken,
        orderedAt: now,
        runningAt: null,
        exitedAt: null,
        stop: null,
        exitRecorded: false,
      };
      m.attempts.set(keyOf(h), h);
      return h;
    });
    m.idleSince = null;
    void this.send(m, attempts);
    return attempts;
  }

  private async send(m: Machine, attempts: TaskAttempt[]): Promise<void> {
    let startable = attempts;
    const announced = this.parts.hooks.announceStarts(attempts);
    if (announced !== null) {
      const mayStart = await announced;
      startable = this.startable(m, attempts, mayStart && this.parts.isActive());
      if (startable.length === 0) return;
      // The token that a start is sent under is what makes it void later.
      for (const h of startable) h.fencingToken = m.fencingToken;
    }
    const commands = startable.map(
      (h): WorkerCommand => ({ op: 'start', job: h.job, index: h.index, attempt: h.attempt }),
    );
    const onExecuted = () => {
      for (const h of startable) if (h.startPhase === 'sending') h.startPhase = 'known';
    };
    try {
      const executed = await this.commands.send(m, { commands, incarnation: m.incarnation, onExecuted });
      if (executed) m.unreachableAt = null;
      else this.reject(startable, 'not executed');
    } catch (error) {
      this.onSendFailed(m, startable, error);
    }
  }

  private onSendFailed(m: Machine, attempts: readonly TaskAttempt[], error: unknown): void {
    m.unreachableAt = this.parts.clock.now();
    if (error instanceof HttpRequestError && !error.sent) {
      this.reject(attempts, 'never sent');
      return;
    }
    // The command may be executed at any later time while token and incarnation match. Only a newer token, or the end of
    // the incarnation, makes sure that it is not.
    for (const h of attempts) if (h.startPhase === 'sending') h.startPhase = 'unsure';
    this.parts.log.info({ machine: m.id, tasks: attempts.length }, 'start unanswered: token renewal started');
    void this.renewFencingToken(m);
  }

  /**
   * Of starts that had to wait before they could be sent, those that may still be. Meanwhile the machine may have lost its lease
   * or begun a new incarnation, so that the task counts as gone and may be starting elsewhere, or the task may be to stop.
   */
  private startable(m: Machine, attempts: readonly TaskAttempt[], mayStart: boolean): TaskAttempt[] {
    const usable = mayStart && m.reconciled && !m.leaseExpired && !m.decommissioning && m.reclaimAt === null;
    const present = attempts.filter(
      (h) => this.parts.machines.get(m.id) === m && m.attempts.get(keyOf(h)) === h,
    );
    const startable = usable ? present.filter((h) => h.stop === null) : [];
    const rejected = present.filter((h) => !startable.includes(h));
    if (rejected.length > 0) this.reject(rejected, 'never sent');
    return startable;
  }

  private reject(attempts: readonly TaskAttempt[], why: GoneReason): void {
    for (const h of attempts) {
      if (h.startPhase !== 'sending') continue;
      h.machine.attempts.delete(keyOf(h));
      this.parts.hooks.onAttemptGone(h, why);
    }
    this.parts.hooks.requestPlan();
  }

  /** Renews the token, so that starts without an answer cannot be executed any more; tried again until it works. */
  private async renewFencingToken(m: Machine): Promise<void> {
    const { clock, hooks, machines } = this.parts;
    while (
      !this.parts.isStopped() &&
      machines.get(m.id) === m &&
      [...m.attempts.values()].some((h) => h.startPhase === 'unsure')
    ) {
      try {
        const version = await hooks.renewFencingToken(m);
        m.version = version;
        m.fencingToken = Math.max(m.fencingToken, version);
        m.reconciled = false;
        void this.reconciliation.reconcile(m, null);
        return;
      } catch {
        await new Promise<void>((resolve) => {
          clock.after(TOKEN_RETRY_MS, resolve);
        });
      }
    }
  }
}
