import type { Heartbeat, TaskStatus } from '../wire/workers.js';
import { attemptKey, type Machine, type TaskAttempt } from './machine.js';
import type { GoneReason, RegistryParts } from './registryhooks.js';

/** Matches the task attempts that are known to be on a machine with those that it reports. */
export class AttemptReconciliation {
  constructor(private readonly parts: Pick<RegistryParts, 'clock' | 'hooks'>) {}

  /** Takes up what a machine holds by a heartbeat under the present token. */
  reconcile(m: Machine, r: Heartbeat): void {
    const now = this.parts.clock.now();
    const reported = new Set<string>();
    for (const task of r.tasks) {
      const key = attemptKey(task.job, task.index, task.attempt);
      reported.add(key);
      const known = m.attempts.get(key);
      if (known) this.update(known, task, now);
      else this.addFound(m, key, task, now);
    }
    this.dropUnreported(m, reported);
    if (m.attempts.size === 0) m.idleSince ??= now;
    else m.idleSince = null;
  }

  /** Drops all that a machine is known to hold. */
  forgetAll(m: Machine, why: GoneReason): void {
    const all = [...m.attempts.values()];
    m.attempts.clear();
    for (const h of all) if (h.state !== 'exited' || !h.exitRecorded) this.parts.hooks.onAttemptGone(h, why);
  }

  private addFound(m: Machine, key: string, task: TaskStatus, now: number): void {
    const found: TaskAttempt = {
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      machine: m,
      state: task.state,
      cause: task.cause,
      startPhase: 'known',
      fencingToken: m.fencingToken,
      orderedAt: now,
      runningAt: task.state === 'running' ? now : null,
      exitedAt: task.state === 'exited' ? now : null,
      stop: null,
      exitRecorded: false,
    };
    m.attempts.set(key, found);
    this.parts.hooks.onAttemptFound(found);
  }

  private update(h: TaskAttempt, task: TaskStatus, now: number): void {
    if (h.startPhase !== 'sending') h.startPhase = 'known';
    if (h.state === task.state && h.cause === task.cause) return;
    h.state = task.state;
    h.cause = task.cause;
    if (task.state === 'running' && h.runningAt === null) h.runningAt = now;
    if (task.state === 'exited') h.exitedAt = now;
    this.parts.hooks.onAttemptChanged(h);
  }

  /** Drops the attempts that are surely not on the machine, since it has not reported them. */
  private dropUnreported(m: Machine, reported: ReadonlySet<string>): void {
    for (const [key, h] of [...m.attempts]) {
      if (reported.has(key) || mayStillArrive(m, h)) continue;
      m.attempts.delete(key);
      if (!(h.state === 'exited' && h.exitRecorded)) this.parts.hooks.onAttemptGone(h, 'not reported');
    }
  }
}

/** Whether the start of an attempt that a machine does not report may reach it after this heartbeat. */
function mayStillArrive(m: Machine, h: TaskAttempt): boolean {
  if (h.startPhase === 'sending') return true;
  return h.startPhase === 'unsure' && h.fencingToken >= m.fencingToken;
}
