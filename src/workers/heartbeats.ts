import type { Heartbeat } from '../wire/workers.js';
import type { AttemptReconciliation } from './attemptreconciliation.js';
import { classifyHeartbeat, type HeartbeatValidity, type Machine, nextHeartbeatWithinMs } from './machine.js';
import type { RegistryParts } from './registryhooks.js';

/** How a heartbeat came: by itself as a report, or in the answer to a command. */
export type HeartbeatChannel = 'report' | 'command';

/** Takes up what machines report, by themselves and in the answers to commands. */
export class HeartbeatIntake {
  constructor(
    private readonly parts: Pick<RegistryParts, 'clock' | 'times' | 'hooks'>,
    private readonly attempts: AttemptReconciliation,
  ) {}

  /** Takes up a heartbeat of a machine as far as it counts; returns what it counts for. */
  apply(m: Machine, r: Heartbeat, via: HeartbeatChannel): HeartbeatValidity {
    const validity = classifyHeartbeat(m, r);
    if (validity === 'late' || validity === 'foreign') return validity;
    const now = this.parts.clock.now();
    this.applyIncarnation(m, r.incarnation, now);
    m.heartbeatSequence = r.sequence;
    m.addr = r.addr;
    this.applyPresence(m, via, now);
    if (r.reclaimInS !== null) this.applyReclaim(m, now + r.reclaimInS * 1000);
    if (validity === 'untokened') return validity;
    m.unconfirmedResponses = 0;
    if (!m.reconciled) {
      m.reconciled = true;
      this.parts.hooks.requestPlan();
    }
    this.attempts.reconcile(m, r);
    m.mayHoldUnreportedTasks = false;
    return 'ok';
  }

  private applyIncarnation(m: Machine, incarnation: number, now: number): void {
    const isNew = incarnation > m.incarnation;
    // The lease of an incarnation counts from its beginning, which is known only to lie before this report. An incarnation that
    // shows itself in the answer to a command outlasts the last answered report, which was of the incarnation before it.
    if (isNew) m.leaseRenewedAt = Math.max(m.leaseRenewedAt, now);
    // A new incarnation begins with no tasks.
    if (isNew && m.incarnation > 0) this.attempts.forgetAll(m, 'new incarnation');
    m.incarnation = incarnation;
    if (isNew) this.parts.hooks.onIncarnation(m);
  }

  private applyPresence(m: Machine, via: HeartbeatChannel, now: number): void {
    if (m.lastHeartbeatAt === null) {
      // Until now it booted; only from here on is it idle.
      m.idleSince = now;
      this.parts.hooks.requestPlan();
    }
    const staysWithThisNode =
      m.lastHeartbeatAt !== null &&
      now - m.lastHeartbeatAt <= nextHeartbeatWithinMs(this.parts.times.reportS);
    if (via === 'command' || staysWithThisNode) m.unreachableAt = null;
    m.lastHeartbeatAt = now;
    if (m.leaseExpired) {
      m.leaseExpired = false;
      m.leaseRenewedAt = now;
      this.parts.hooks.requestPlan();
    }
  }

  /** The cloud has given notice that it takes the machine away; the earliest notice counts. */
  private applyReclaim(m: Machine, reclaimAt: number): void {
    if (m.reclaimAt === null) this.parts.hooks.requestPlan();
    m.reclaimAt = m.reclaimAt === null ? reclaimAt : Math.min(m.reclaimAt, reclaimAt);
  }
}
