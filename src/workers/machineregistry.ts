// This package: the machines of a shard as they report, and the commands to them.
import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { Requester } from '../http/client.js';
import { type Heartbeat, writeHeartbeatResponse } from '../wire/workers.js';
import { AttemptReconciliation } from './attemptreconciliation.js';
import { HeartbeatIntake } from './heartbeats.js';
import { type Machine, nextHeartbeatWithinMs, type TaskAttempt } from './machine.js';
import { hasBegun, MachineLeases } from './machineleases.js';
import { MachineReconciliation } from './machinereconciliation.js';
import type { MachineRegistryHooks, RegistryParts, WorkerTimes } from './registryhooks.js';
import { type TaskStart, TaskStarts } from './taskstarts.js';
import { WorkerCommands } from './workercommands.js';

/**
 * So many answers in a row may go to a machine whose reports do not show the present token. One that still does not is deaf:
 * answered on, it would count as renewed for ever, and all that may be on it would be waited for.
 */
const MAX_UNCONFIRMED_RESPONSES = 2;
const UNCONFIRMED_RESPONSE_LEASES = 2;

/** The machines of one shard: what is known of them, and all that passes between them and the shard's owner. */
export class MachineRegistry {
  /** The machines of the shard, by id. */
  readonly machines = new Map<string, Machine>();
  private readonly attempts: AttemptReconciliation;
  private readonly heartbeats: HeartbeatIntake;
  private readonly leases: MachineLeases;
  private readonly commands: WorkerCommands;
  private readonly reconciliation: MachineReconciliation;
  private readonly starts: TaskStarts;
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    http: Requester,
    private readonly times: WorkerTimes,
    log: Log,
    private readonly hooks: MachineRegistryHooks,
  ) {
    const parts: RegistryParts = {
      clock,
      http,
      times,
      log,
      hooks,
      machines: this.machines,
      isStopped: () => this.stopped,
      isActive: () => this.isActive,
    };
    this.attempts = new AttemptReconciliation(parts);
    this.heartbeats = new HeartbeatIntake(parts, this.attempts);
    this.leases = new MachineLeases(parts, this.attempts);
    this.commands = new WorkerCommands(parts, this.heartbeats);
    this.reconciliation = new MachineReconciliation(parts, this.commands);
    this.starts = new TaskStarts(parts, this.commands, this.reconciliation);
  }

  /** The shard is lost: nothing more is sent or taken up. */
  stop(): void {
    this.stopped = true;
  }

  private get isActive(): boolean {
    return !this.stopped && this.hooks.holdsShard();
  }

  /** The answer to a reporting machine, with commands for it; null when the report must not be answered with 200. */
  onHeartbeat(m: Machine, r: Heartbeat): object | null {
    if (!this.isActive) return null;
    const validity = this.heartbeats.apply(m, r, 'report');
    if (validity === 'late' || validity === 'foreign') return null;
    if (validity === 'untokened') {
      void this.reconciliation.reconcile(m, r.incarnation);
      // Now and then it is answered all the same: it may hear by now, and be out of reach for commands alone.
      const acknowledgedLately =
        this.clock.now() - m.lastAcknowledgedAt < this.times.leaseS * 1000 * UNCONFIRMED_RESPONSE_LEASES;
      if (++m.unconfirmedResponses > MAX_UNCONFIRMED_RESPONSES && acknowledgedLately) return null;
    }
    m.leaseRenewedAt = this.clock.now();
    m.lastAcknowledgedAt = m.leaseRenewedAt;
    return writeHeartbeatResponse(m.fencingToken, validity === 'ok' ? this.commands.pending(m) : []);
  }

  /**
   * A machine of this shard has reported to another node, which redirected it here. As long as it neither reports here nor
   * answers it gets nothing new: it may hear no answers, which is a fault of its own.
   */
  onHeartbeatElsewhere(id: string): void {
    const m = this.machines.get(id);
    if (
      !m?.reconciled ||
      m.lastHeartbeatAt === null ||
      this.clock.now() - m.lastHeartbeatAt <= nextHeartbeatWithinMs(this.times.reportS)
    )
      return;
    m.unreachableAt ??= this.clock.now();
    void this.reconciliation.reconcile(m, null);
  }

  /** Starts tasks on a machine that has reported under the present token. */
  startTasks(m: Machine, starts: readonly TaskStart[]): TaskAttempt[] {
    return this.starts.start(m, starts);
  }

  /** Stops a task with so many seconds to save its state; a later call can only shorten the grace. */
  stopTask(h: TaskAttempt, graceS: number): void {
    this.commands.stopTask(h, graceS);
  }

  /** Sends stops that have not been sent, or long ago, straight to the machines. */
  sendStops(): void {
    this.commands.sendStops();
  }

  /** What time alone decides: leases that ran out, machines to be asked. */
  tick(): void {
    const now = this.clock.now();
    for (const m of this.machines.values()) {
      const begun = hasBegun(m);
      this.leases.expire(m, now);
      // One that was taken over and could not be asked at first (no socket free, no answer) is asked again as well.
      // So is one that gave no answer, until it gives one: its reports alone do not show that it hears.
      const isDue = !m.reconciled || m.unreachableAt !== null;
      if (isDue && m.addr && !m.leaseExpired && begun && !this.reconciliation.isWaiting(m))
        void this.reconciliation.reconcile(m, null);
    }
  }

  /** When the machine has surely dropped all that it held, unless it reports before; steady milliseconds. */
  leaseEnd(m: Machine): number {
    return this.leases.leaseEnd(m);
  }

  /** When the machine has surely dropped all that owners before this one have started there; steady milliseconds. */
  unreportedTasksUntil(m: Machine): number {
    return this.leases.unreportedTasksUntil(m);
  }

  /** The machine is no more, or no longer this shard's. */
  remove(m: Machine): void {
    this.machines.delete(m.id);
    this.reconciliation.forget(m);
    this.attempts.forgetAll(m, 'machine removed');
    m.mayHoldUnreportedTasks = false;
  }

  /** Asks a machine for its heartbeat under the present token; see `MachineReconciliation.reconcile`. */
  reconcile(m: Machine, incarnation: number | null): Promise<void> {
    return this.reconciliation.reconcile(m, incarnation);
  }

  /** Asks machines that were taken over; see `MachineReconciliation.reconcileAll`. */
  reconcileAll(
    machines: readonly Machine[],
    incarnationOf: (m: Machine) => number | null,
    maxConcurrent: number,
  ): Promise<void> {
    return this.reconciliation.reconcileAll(machines, incarnationOf, maxConcurrent);
  }
}
