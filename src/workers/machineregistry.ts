// This package: the registry of a shard's machines, fed by their heartbeats, and the commands sent to them.
import type { Clock } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { Requester } from '../http/client.js';
import { type Heartbeat, writeHeartbeatResponse } from '../wire/workers.js';
import { AttemptReconciliation } from './attemptreconciliation.js';
import { FencingTokens } from './fencingtokens.js';
import { HeartbeatProcessor } from './heartbeats.js';
import { type Machine, nextHeartbeatWithinMs, type TaskAttempt } from './machine.js';
import { hasLeaseStarted, MachineLeases } from './machineleases.js';
import { MachineReconciliation } from './machinereconciliation.js';
import type { MachineRegistryHooks, RegistryContext, WorkerTimes } from './registryhooks.js';
import { type TaskStart, TaskStarts } from './taskstarts.js';
import { WorkerCommands } from './workercommands.js';

/**
 * How many consecutive responses go to a machine whose heartbeats show too old a token. A machine that still
 * does not show it receives no responses: if it were acknowledged further, its lease would count as renewed forever,
 * and the owner would wait indefinitely for the tasks that may be on it.
 */
const MAX_UNCONFIRMED_RESPONSES = 2;
const UNCONFIRMED_RESPONSE_INTERVAL_LEASES = 2;

/**
 * The machines of one shard: their known state, and the exchange of heartbeats and commands with the shard's owner.
 */
export class MachineRegistry {
  /** The machines of the shard, by id. */
  readonly machines = new Map<string, Machine>();
  private readonly attempts: AttemptReconciliation;
  private readonly heartbeats: HeartbeatProcessor;
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
    const context: RegistryContext = {
      clock,
      http,
      times,
      log,
      hooks,
      machines: this.machines,
      isStopped: () => this.stopped,
      isActive: () => this.isActive,
    };
    this.attempts = new AttemptReconciliation(context);
    this.heartbeats = new HeartbeatProcessor(context, this.attempts);
    this.leases = new MachineLeases(context, this.attempts);
    const tokens = new FencingTokens(context);
    this.commands = new WorkerCommands(context, this.heartbeats, tokens);
    this.reconciliation = new MachineReconciliation(context, this.commands);
    this.starts = new TaskStarts(context, this.commands, tokens, this.reconciliation);
  }

  /** Stops the registry because the shard is lost: it sends no commands and applies no heartbeats from now on. */
  stop(): void {
    this.stopped = true;
  }

  private get isActive(): boolean {
    return !this.stopped && this.hooks.holdsShard();
  }

  /**
   * Returns the response to a heartbeat, with pending commands; null if the heartbeat must not be answered with 200.
   */
  onHeartbeat(machine: Machine, heartbeat: Heartbeat): object | null {
    if (!this.isActive) return null;
    const validity = this.heartbeats.apply(machine, heartbeat, 'report');
    if (validity === 'late' || validity === 'foreign') return null;
    if (validity === 'untokened') {
      void this.reconciliation.reconcile(machine, heartbeat.incarnation);
      // The machine is still acknowledged occasionally: it may receive responses again and only be unreachable for
      // commands.
      const recentlyAcknowledged =
        this.clock.now() - machine.lastAcknowledgedAt <
        this.times.leaseS * 1000 * UNCONFIRMED_RESPONSE_INTERVAL_LEASES;
      if (++machine.unconfirmedResponses > MAX_UNCONFIRMED_RESPONSES && recentlyAcknowledged) return null;
    }
    machine.leaseRenewedAt = this.clock.now();
    machine.lastAcknowledgedAt = machine.leaseRenewedAt;
    const commands = validity === 'ok' ? this.commands.pending(machine) : [];
    return writeHeartbeatResponse(machine.fencingToken, commands);
  }

  /**
   * Handles a heartbeat that a machine of this shard sent to another node, which redirected it here. Until the
   * machine sends a heartbeat here or answers a request it is given no new tasks: it may not be receiving
   * responses, which is a fault in its own right.
   */
  onRedirectedHeartbeat(id: string): void {
    const machine = this.machines.get(id);
    if (
      !machine?.reconciled ||
      machine.lastHeartbeatAt === null ||
      this.clock.now() - machine.lastHeartbeatAt <= nextHeartbeatWithinMs(this.times.reportS)
    )
      return;
    machine.unreachableAt ??= this.clock.now();
    void this.reconciliation.reconcile(machine, null);
  }

  /** Starts tasks on a machine that is reconciled. */
  startTasks(machine: Machine, starts: readonly TaskStart[]): TaskAttempt[] {
    return this.starts.start(machine, starts);
  }

  /**
   * Stops a task, allowing it `graceS` seconds to save its state; a later call can only shorten that grace period.
   */
  stopTask(attempt: TaskAttempt, graceS: number): void {
    this.commands.stopTask(attempt, graceS);
  }

  /** Sends stops directly to the machines if they have not been sent yet or were sent too long ago. */
  sendStops(): void {
    this.commands.sendStops();
  }

  /** Handles everything that depends on time alone: expires leases and retries the reconciliation of machines. */
  tick(): void {
    const now = this.clock.now();
    for (const machine of this.machines.values()) {
      const leaseStarted = hasLeaseStarted(machine);
      this.leases.expire(machine, now);
      // A machine that was taken over and could not be reached at first (no socket free, no answer) is asked again. A
      // machine that failed to answer is also asked until it does, because its heartbeats alone do not show that it
      // receives responses.
      const isDue = !machine.reconciled || machine.unreachableAt !== null;
      if (
        isDue &&
        machine.addr &&
        !machine.leaseExpired &&
        leaseStarted &&
        !this.reconciliation.isQueued(machine)
      )
        void this.reconciliation.reconcile(machine, null);
    }
  }

  /**
   * Returns the monotonic time in ms by which the machine has dropped all its tasks unless it sends a heartbeat
   * before.
   */
  leaseEnd(machine: Machine): number {
    return this.leases.leaseEnd(machine);
  }

  /**
   * Returns the monotonic time in ms by which the machine has dropped everything that previous owners started there.
   */
  unreportedTasksUntil(machine: Machine): number {
    return this.leases.unreportedTasksUntil(machine);
  }

  /** Removes a machine that no longer exists or no longer belongs to this shard. */
  remove(machine: Machine): void {
    this.machines.delete(machine.id);
    this.reconciliation.forget(machine);
    this.attempts.dropAll(machine, 'machine removed');
    machine.mayHoldUnreportedTasks = false;
  }

  /** Requests a machine's heartbeat under the current token; see `MachineReconciliation.reconcile`. */
  reconcile(machine: Machine, incarnation: number | null): Promise<void> {
    return this.reconciliation.reconcile(machine, incarnation);
  }

  /** Requests the heartbeats of machines that were taken over; see `MachineReconciliation.reconcileAll`. */
  reconcileAll(
    machines: readonly Machine[],
    incarnationOf: (machine: Machine) => number | null,
    maxConcurrent: number,
  ): Promise<void> {
    return this.reconciliation.reconcileAll(machines, incarnationOf, maxConcurrent);
  }
}
