import { MAX_CLOCK_DRIFT } from '../clock/clock.js';
import type { AttemptReconciliation } from './attemptreconciliation.js';
import type { Machine } from './machine.js';
import type { RegistryParts } from './registryhooks.js';

const LEASE_MARGIN_MS = 500;

/** The leases of machines: when a machine that is not heard of has surely dropped its tasks. */
export class MachineLeases {
  constructor(
    private readonly parts: Pick<RegistryParts, 'clock' | 'times' | 'log' | 'hooks'>,
    private readonly attempts: AttemptReconciliation,
  ) {}

  /** When the machine has surely dropped all that it held, unless it reports before; steady milliseconds. */
  leaseEnd(m: Machine): number {
    return this.leaseFrom(m.leaseRenewedAt);
  }

  /**
   * When the machine has surely dropped all that owners before this one have started there: by the end of any incarnation that
   * began under them. That one lasts no longer than a lease from the change of owner, or from the last answer of this owner's,
   * whatever incarnations have begun since. Steady milliseconds.
   */
  unreportedTasksUntil(m: Machine): number {
    return this.leaseFrom(m.lastAcknowledgedAt);
  }

  /** Declares what is over by time alone; `now` in steady milliseconds. */
  expire(m: Machine, now: number): void {
    if (!m.leaseExpired && hasBegun(m) && now > this.leaseEnd(m)) this.expireLease(m);
    if (m.mayHoldUnreportedTasks && now > this.unreportedTasksUntil(m)) {
      m.mayHoldUnreportedTasks = false;
      this.parts.hooks.requestPlan();
    }
  }

  private leaseFrom(at: number): number {
    return at + this.parts.times.leaseS * 1000 * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  private expireLease(m: Machine): void {
    if (m.lastHeartbeatAt === null) {
      // Taken over and never heard of: what it may have held is gone, and it may well still boot.
      m.mayHoldUnreportedTasks = false;
      this.parts.hooks.requestPlan();
      return;
    }
    this.parts.log.info({ machine: m.id, held: m.attempts.size }, 'machine lease expired');
    m.leaseExpired = true;
    m.reconciled = false;
    m.mayHoldUnreportedTasks = false;
    // What its present incarnation still reports is from before its lease ended.
    if (m.incarnation > 0) m.minIncarnation = m.incarnation + 1;
    this.attempts.forgetAll(m, 'lease expired');
    this.parts.hooks.requestPlan();
  }
}

/** Whether a machine has a lease: one that still boots has none to run out, and stays in the plan. */
export function hasBegun(m: Machine): boolean {
  return m.lastHeartbeatAt !== null || m.mayHoldUnreportedTasks;
}
