import type { Heartbeat, TaskStatus } from '../wire/workers.js';
import { attemptKey, type Machine, type TaskAttempt } from './machine.js';
import type { GoneReason, RegistryContext } from './registryhooks.js';

/** Reconciles the attempts recorded for a machine with the attempts that its heartbeats report. */
export class AttemptReconciliation {
  constructor(private readonly context: Pick<RegistryContext, 'clock' | 'hooks'>) {}

  /** Applies the task list of a heartbeat that shows what the machine holds. */
  reconcile(machine: Machine, heartbeat: Heartbeat): void {
    const now = this.context.clock.now();
    const reported = new Set<string>();
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      reported.add(key);
      const knownAttempt = machine.attempts.get(key);
      if (knownAttempt) this.update(knownAttempt, task, now);
      else this.addReported(machine, key, task, now);
    }
    this.dropUnreported(machine, reported, heartbeat.fencingToken);
    if (machine.attempts.size === 0) machine.idleSince ??= now;
    else machine.idleSince = null;
  }

  /** Drops every attempt recorded for a machine. */
  dropAll(machine: Machine, reason: GoneReason): void {
    const attempts = [...machine.attempts.values()];
    machine.attempts.clear();
    for (const attempt of attempts)
      if (attempt.state !== 'exited' || !attempt.exitRecorded)
        this.context.hooks.onAttemptGone(attempt, reason);
  }

  private addReported(machine: Machine, key: string, task: TaskStatus, now: number): void {
    const attempt: TaskAttempt = {
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      machine: machine,
      state: task.state,
      cause: task.cause,
      startPhase: 'known',
      fencingToken: machine.fencingToken,
      orderedAt: now,
      runningAt: task.state === 'running' ? now : null,
      exitedAt: task.state === 'exited' ? now : null,
      stop: null,
      exitRecorded: false,
    };
    machine.attempts.set(key, attempt);
    this.context.hooks.onAttemptFound(attempt);
  }

  private update(attempt: TaskAttempt, task: TaskStatus, now: number): void {
    if (attempt.startPhase !== 'sending') attempt.startPhase = 'known';
    if (attempt.state === task.state && attempt.cause === task.cause) return;
    attempt.state = task.state;
    attempt.cause = task.cause;
    if (task.state === 'running' && attempt.runningAt === null) attempt.runningAt = now;
    if (task.state === 'exited') attempt.exitedAt = now;
    this.context.hooks.onAttemptChanged(attempt);
  }

  /**
   * Drops the attempts that the machine did not report and that can no longer be started there, having seen
   * `seenToken`.
   */
  private dropUnreported(machine: Machine, reported: ReadonlySet<string>, seenToken: number): void {
    for (const [key, attempt] of [...machine.attempts]) {
      if (reported.has(key) || mayStillArrive(attempt, seenToken)) continue;
      machine.attempts.delete(key);
      if (!(attempt.state === 'exited' && attempt.exitRecorded))
        this.context.hooks.onAttemptGone(attempt, 'not reported');
    }
  }
}

/** Returns whether an unreported attempt may still be started on a machine that has seen `seenToken`. */
function mayStillArrive(attempt: TaskAttempt, seenToken: number): boolean {
  if (attempt.startPhase === 'sending') return true;
  return attempt.startPhase === 'unsure' && attempt.fencingToken >= seenToken;
}
