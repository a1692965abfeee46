import { MAX_CLOCK_DRIFT } from '../clock/clock.js';
import type { AttemptReconciliation } from './attemptreconciliation.js';
import type { Machine } from './machine.js';
import type { RegistryContext } from './registryhooks.js';

const LEASE_MARGIN_MS = 500;

/** The leases of machines: decides when a machine that sends no more heartbeats must have dropped its tasks. */
export class MachineLeases {
  constructor(
    private readonly context: Pick<RegistryContext, 'clock' | 'times' | 'log' | 'hooks'>,
    private readonly attempts: AttemptReconciliation,
  ) {}

  /**
   * Returns the monotonic time in ms by which the machine has dropped all its tasks unless it sends a heartbeat
   * before.
   */
  leaseEnd(machine: Machine): number {
    return this.leaseFrom(machine.leaseRenewedAt);
  }

  /**
   * Returns the monotonic time in ms by which the machine has dropped everything that previous owners started there,
   * because every incarnation that began under those owners has ended. Such an incarnation lasts at most one lease
   * after the change of owner or after this owner's last acknowledgement, regardless of which incarnations have begun
   * since.
   */
  unreportedTasksUntil(machine: Machine): number {
    return this.leaseFrom(machine.lastAcknowledgedAt);
  }

  /** Applies the lease expiries that are due at `now`, in monotonic milliseconds. */
  expire(machine: Machine, now: number): void {
    if (!machine.leaseExpired && hasLeaseStarted(machine) && now > this.leaseEnd(machine))
      this.expireLease(machine);
    if (machine.mayHoldUnreportedTasks && now > this.unreportedTasksUntil(machine)) {
      machine.mayHoldUnreportedTasks = false;
      this.context.hooks.requestPlan();
    }
  }

  private leaseFrom(renewedAt: number): number {
    return renewedAt + this.context.times.leaseS * 1000 * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  private expireLease(machine: Machine): void {
    if (machine.lastHeartbeatAt === null) {
      // The machine was taken over and has never sent a heartbeat to this owner: any tasks it held are gone, and
      // it may still be booting.
      machine.mayHoldUnreportedTasks = false;
      this.context.hooks.requestPlan();
      return;
    }
    this.context.log.info({ machine: machine.id, held: machine.attempts.size }, 'machine lease expired');
    machine.leaseExpired = true;
    machine.reconciled = false;
    machine.mayHoldUnreportedTasks = false;
    // Later heartbeats of the current incarnation were sent before the lease expired, so they are rejected.
    if (machine.incarnation > 0) machine.minIncarnation = machine.incarnation + 1;
    this.attempts.dropAll(machine, 'lease expired');
    this.context.hooks.requestPlan();
  }
}

/**
 * Returns whether the machine has a lease that can run out. A machine that is still booting has none and stays in the
 * plan.
 */
export function hasLeaseStarted(machine: Machine): boolean {
  return machine.lastHeartbeatAt !== null || machine.mayHoldUnreportedTasks;
}
