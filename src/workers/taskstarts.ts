import { HttpRequestError } from '../http/client.js';
import type { WorkerCommand } from '../wire/workers.js';
import type { FencingTokens } from './fencingtokens.js';
import type { Machine, TaskAttempt } from './machine.js';
import type { MachineReconciliation } from './machinereconciliation.js';
import type { GoneReason, RegistryContext } from './registryhooks.js';
import { keyOfAttempt, type WorkerCommands } from './workercommands.js';

/** A task to start: its job, its index in the job, and the attempt number. */
export interface TaskStart {
  readonly job: string;
  readonly index: number;
  readonly attempt: number;
}

/** Starts tasks on machines, and determines which starts were executed. */
export class TaskStarts {
  constructor(
    private readonly context: Pick<RegistryContext, 'clock' | 'log' | 'hooks' | 'machines' | 'isActive'>,
    private readonly commands: WorkerCommands,
    private readonly tokens: FencingTokens,
    private readonly reconciliation: MachineReconciliation,
  ) {}

  /**
   * Starts tasks on a machine that is reconciled. From now on the machine may hold the returned attempts.
   */
  start(machine: Machine, starts: readonly TaskStart[]): TaskAttempt[] {
    const now = this.context.clock.now();
    const attempts = starts.map((taskStart): TaskAttempt => {
      const attempt: TaskAttempt = {
        ...taskStart,
        machine: machine,
        state: 'fetching',
        cause: null,
        startPhase: 'sending',
        fencingToken: machine.fencingToken,
        orderedAt: now,
        runningAt: null,
        exitedAt: null,
        stop: null,
        exitRecorded: false,
      };
      machine.attempts.set(keyOfAttempt(attempt), attempt);
      return attempt;
    });
    machine.idleSince = null;
    void this.send(machine, attempts);
    return attempts;
  }

  private async send(machine: Machine, attempts: TaskAttempt[]): Promise<void> {
    let startable = attempts;
    const announced = this.context.hooks.announceStarts(attempts);
    if (announced !== null) {
      const mayStart = await announced;
      startable = this.startable(machine, attempts, mayStart && this.context.isActive());
      if (startable.length === 0) return;
      // The token that a start is sent under is the one that later invalidates it.
      for (const attempt of startable) attempt.fencingToken = machine.fencingToken;
    }
    const commands = startable.map(
      (attempt): WorkerCommand => ({
        op: 'start',
        job: attempt.job,
        index: attempt.index,
        attempt: attempt.attempt,
      }),
    );
    const onExecuted = () => {
      for (const attempt of startable) if (attempt.startPhase === 'sending') attempt.startPhase = 'known';
    };
    try {
      const executed = await this.commands.send(machine, {
        commands,
        incarnation: machine.incarnation,
        onExecuted,
      });
      if (executed) machine.unreachableAt = null;
      else this.discard(startable, 'not executed');
    } catch (error) {
      this.onSendFailed(machine, startable, error);
    }
  }

  private onSendFailed(machine: Machine, attempts: readonly TaskAttempt[], error: unknown): void {
    machine.unreachableAt = this.context.clock.now();
    if (error instanceof HttpRequestError && !error.sent) {
      this.discard(attempts, 'never sent');
      return;
    }
    // The command may still be executed at any later time while its token and incarnation match. Only a newer token
    // or the end of the incarnation guarantees that it is not executed.
    for (const attempt of attempts) if (attempt.startPhase === 'sending') attempt.startPhase = 'unsure';
    this.context.log.info(
      { machine: machine.id, tasks: attempts.length },
      'start unanswered: token renewal started',
    );
    void this.voidUnansweredStarts(machine);
  }

  /**
   * Returns the attempts that may still be started after the wait for the announcement; the others are discarded.
   * During the wait the machine may have lost its lease or begun a new incarnation, in which case the task counts as
   * gone and may be starting elsewhere; or the task may have been ordered to stop.
   */
  private startable(machine: Machine, attempts: readonly TaskAttempt[], mayStart: boolean): TaskAttempt[] {
    const usable =
      mayStart &&
      machine.reconciled &&
      !machine.leaseExpired &&
      !machine.decommissioning &&
      machine.reclaimAt === null;
    const present = attempts.filter(
      (attempt) =>
        this.context.machines.get(machine.id) === machine &&
        machine.attempts.get(keyOfAttempt(attempt)) === attempt,
    );
    const startable = usable ? present.filter((attempt) => attempt.stop === null) : [];
    const rejected = present.filter((attempt) => !startable.includes(attempt));
    if (rejected.length > 0) this.discard(rejected, 'never sent');
    return startable;
  }

  private discard(attempts: readonly TaskAttempt[], reason: GoneReason): void {
    for (const attempt of attempts) {
      if (attempt.startPhase !== 'sending') continue;
      attempt.machine.attempts.delete(keyOfAttempt(attempt));
      this.context.hooks.onAttemptGone(attempt, reason);
    }
    this.context.hooks.requestPlan();
  }

  /** Makes unanswered starts void, and asks the machine which of them it has executed. */
  private async voidUnansweredStarts(machine: Machine): Promise<void> {
    if (await this.tokens.raiseToVoidUnansweredStarts(machine))
      void this.reconciliation.reconcile(machine, null);
  }
}
