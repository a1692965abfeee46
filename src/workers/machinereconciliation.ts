import { readHeartbeat, WORKER_PATHS } from '../wire/workers.js';
import type { Machine } from './machine.js';
import type { RegistryContext } from './registryhooks.js';
import type { WorkerCommands } from './workercommands.js';

const STATUS_TIMEOUT_MS = 2000;
/** Minimum interval between two requests to the same machine when its incarnation is not known. */
const RECONCILE_INTERVAL_MS = 1500;

/** Requests heartbeats under the current fencing token from machines. */
export class MachineReconciliation {
  /** Machines with a request in flight. */
  private readonly inFlight = new Set<string>();
  private readonly requestedAt = new Map<string, number>();
  /** Machines still queued in `reconcileAll`. */
  private readonly queued = new Set<string>();

  constructor(
    private readonly context: Pick<RegistryContext, 'clock' | 'http' | 'machines' | 'isStopped' | 'isActive'>,
    private readonly commands: WorkerCommands,
  ) {}

  /** Returns whether the machine is still queued in `reconcileAll`. */
  isQueued(machine: Machine): boolean {
    return this.queued.has(machine.id);
  }

  /** Discards the state kept for a machine that has been removed. */
  forget(machine: Machine): void {
    this.requestedAt.delete(machine.id);
  }

  /**
   * Requests a machine's heartbeat under the current token. Until the machine has sent one, a command of an earlier
   * owner that is delayed in the network could still be executed there. `incarnation` is the machine's expected
   * incarnation; if it is null, the machine is asked for its incarnation first, at most once per
   * `RECONCILE_INTERVAL_MS`.
   */
  async reconcile(machine: Machine, incarnation: number | null): Promise<void> {
    const { clock } = this.context;
    const lastRequestAt = this.requestedAt.get(machine.id) ?? Number.NEGATIVE_INFINITY;
    if (
      (machine.reconciled && machine.unreachableAt === null) ||
      !machine.addr ||
      this.inFlight.has(machine.id)
    )
      return;
    if (incarnation === null && clock.now() - lastRequestAt < RECONCILE_INTERVAL_MS) return;
    this.inFlight.add(machine.id);
    this.requestedAt.set(machine.id, clock.now());
    try {
      let targetIncarnation = incarnation ?? (machine.reconciled ? machine.incarnation : null);
      if (targetIncarnation === null) {
        const { http } = this.context;
        const answer = await http.request(machine.addr, 'GET', WORKER_PATHS.status, null, STATUS_TIMEOUT_MS);
        const heartbeat = readHeartbeat(answer.body);
        if (!heartbeat || heartbeat.machine !== machine.id) return;
        targetIncarnation = heartbeat.incarnation;
      }
      if (this.context.isActive())
        await this.commands.send(machine, { commands: [], incarnation: targetIncarnation });
    } catch {
      // The request is retried later, and the machine also sends heartbeats by itself. Nothing is planned on it
      // until it answers.
      if (machine.lastHeartbeatAt !== null) machine.unreachableAt = clock.now();
    } finally {
      this.inFlight.delete(machine.id);
    }
  }

  /**
   * Requests the heartbeats of machines that were taken over, in the given order and at most `maxConcurrent` at once.
   * If the incarnation known to the previous owner still holds, one request is enough; otherwise the response carries
   * the current one, and a second request uses it.
   */
  async reconcileAll(
    machines: readonly Machine[],
    incarnationOf: (machine: Machine) => number | null,
    maxConcurrent: number,
  ): Promise<void> {
    const queue = [...machines];
    for (const machine of queue) this.queued.add(machine.id);
    const processQueue = async () => {
      for (let machine = queue.shift(); machine; machine = queue.shift()) {
        this.queued.delete(machine.id);
        if (this.context.isStopped()) return;
        const expectedIncarnation = incarnationOf(machine);
        await this.reconcile(machine, expectedIncarnation);
        if (
          expectedIncarnation !== null &&
          !machine.reconciled &&
          !this.context.isStopped() &&
          this.context.machines.get(machine.id) === machine
        )
          await this.reconcile(machine, machine.incarnation > 0 ? machine.incarnation : null);
      }
    };
    await Promise.all(Array.from({ length: Math.min(maxConcurrent, queue.length) }, processQueue));
  }
}
