import type { Heartbeat } from '../wire/workers.js';
import type { AttemptReconciliation } from './attemptreconciliation.js';
import { classifyHeartbeat, type HeartbeatValidity, type Machine, nextHeartbeatWithinMs } from './machine.js';
import type { RegistryContext } from './registryhooks.js';

/** How a heartbeat arrived: sent by the machine on its own (`report`), or in the response to a command. */
export type HeartbeatChannel = 'report' | 'command';

/** Applies the heartbeats of machines, whether sent by them or returned in responses to commands. */
export class HeartbeatProcessor {
  constructor(
    private readonly context: Pick<RegistryContext, 'clock' | 'times' | 'hooks'>,
    private readonly attempts: AttemptReconciliation,
  ) {}

  /** Applies the parts of a heartbeat that its validity permits, and returns that validity. */
  apply(machine: Machine, heartbeat: Heartbeat, channel: HeartbeatChannel): HeartbeatValidity {
    const validity = classifyHeartbeat(machine, heartbeat);
    if (validity === 'late' || validity === 'foreign') return validity;
    const now = this.context.clock.now();
    this.applyIncarnation(machine, heartbeat.incarnation, now);
    machine.heartbeatSequence = heartbeat.sequence;
    machine.addr = heartbeat.addr;
    this.applyPresence(machine, channel, now);
    if (heartbeat.reclaimInS !== null) this.applyReclaim(machine, now + heartbeat.reclaimInS * 1000);
    if (validity === 'untokened') return validity;
    machine.unconfirmedResponses = 0;
    if (!machine.reconciled) {
      machine.reconciled = true;
      this.context.hooks.requestPlan();
    }
    this.attempts.reconcile(machine, heartbeat);
    machine.mayHoldUnreportedTasks = false;
    return 'ok';
  }

  private applyIncarnation(machine: Machine, incarnation: number, now: number): void {
    const isNew = incarnation > machine.incarnation;
    // The lease of an incarnation runs from the incarnation's start, which is only known to precede this heartbeat.
    // An incarnation first seen in a command response outlives the last acknowledged heartbeat, because that one
    // belonged to the incarnation before it.
    if (isNew) machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    // A new incarnation starts without tasks.
    if (isNew && machine.incarnation > 0) this.attempts.dropAll(machine, 'new incarnation');
    machine.incarnation = incarnation;
    if (isNew) this.context.hooks.onIncarnation(machine);
  }

  private applyPresence(machine: Machine, channel: HeartbeatChannel, now: number): void {
    if (machine.lastHeartbeatAt === null) {
      // The machine was booting until now, so its idle time starts here.
      machine.idleSince = now;
      this.context.hooks.requestPlan();
    }
    const staysWithThisNode =
      machine.lastHeartbeatAt !== null &&
      now - machine.lastHeartbeatAt <= nextHeartbeatWithinMs(this.context.times.reportS);
    if (channel === 'command' || staysWithThisNode) machine.unreachableAt = null;
    machine.lastHeartbeatAt = now;
    if (machine.leaseExpired) {
      machine.leaseExpired = false;
      machine.leaseRenewedAt = now;
      this.context.hooks.requestPlan();
    }
  }

  /** Records a reclaim notice from the cloud; of several notices the earliest reclaim time applies. */
  private applyReclaim(machine: Machine, reclaimAt: number): void {
    if (machine.reclaimAt === null) this.context.hooks.requestPlan();
    machine.reclaimAt = machine.reclaimAt === null ? reclaimAt : Math.min(machine.reclaimAt, reclaimAt);
  }
}
