import { readHeartbeat, WORKER_PATHS } from '../wire/workers.js';
import type { Machine } from './machine.js';
import type { RegistryParts } from './registryhooks.js';
import type { WorkerCommands } from './workercommands.js';

const STATUS_TIMEOUT_MS = 2000;
/** A machine is asked no more often than this. */
const RECONCILE_INTERVAL_MS = 1500;

/** Asks machines for their heartbeat under the present token. */
export class MachineReconciliation {
  /** Machines that are being asked. */
  private readonly inFlight = new Set<string>();
  private readonly startedAt = new Map<string, number>();
  /** Machines whose turn to be asked is still to come. */
  private readonly waiting = new Set<string>();

  constructor(
    private readonly parts: Pick<RegistryParts, 'clock' | 'http' | 'machines' | 'isStopped' | 'isActive'>,
    private readonly commands: WorkerCommands,
  ) {}

  /** Whether the machine's turn in `reconcileAll` is still to come. */
  isWaiting(m: Machine): boolean {
    return this.waiting.has(m.id);
  }

  /** The machine is no more. */
  forget(m: Machine): void {
    this.startedAt.delete(m.id);
  }

  /**
   * Asks a machine for its heartbeat under the present token. Until it has given one, a command of an earlier owner that
   * the network holds back could still be executed there. `incarnation` is the machine's as it is supposed to be; with null
   * the machine is asked for it first, but not again soon.
   */
  async reconcile(m: Machine, incarnation: number | null): Promise<void> {
    const { clock } = this.parts;
    const last = this.startedAt.get(m.id) ?? Number.NEGATIVE_INFINITY;
    if ((m.reconciled && m.unreachableAt === null) || !m.addr || this.inFlight.has(m.id)) return;
    if (incarnation === null && clock.now() - last < RECONCILE_INTERVAL_MS) return;
    this.inFlight.add(m.id);
    this.startedAt.set(m.id, clock.now());
    try {
      let target = incarnation ?? (m.reconciled ? m.incarnation : null);
      if (target === null) {
        const { http } = this.parts;
        const answer = await http.request(m.addr, 'GET', WORKER_PATHS.status, null, STATUS_TIMEOUT_MS);
        const r = readHeartbeat(answer.body);
        if (!r || r.machine !== m.id) return;
        target = r.incarnation;
      }
      if (this.parts.isActive()) await this.commands.send(m, { commands: [], incarnation: target });
    } catch {
      // It is asked again, and its own reports come as well. Until it answers, nothing is planned on it.
      if (m.lastHeartbeatAt !== null) m.unreachableAt = clock.now();
    } finally {
      this.inFlight.delete(m.id);
    }
  }

  /**
   * Asks machines that were taken over for their heartbeats, so many at once, in this order. With the incarnation that the
   * former owner knew one request is enough; a machine that has another says so.
   */
  async reconcileAll(
    machines: readonly Machine[],
    incarnationOf: (m: Machine) => number | null,
    maxConcurrent: number,
  ): Promise<void> {
    const queue = [...machines];
    for (const m of queue) this.waiting.add(m.id);
    const work = async () => {
      for (let m = queue.shift(); m; m = queue.shift()) {
        this.waiting.delete(m.id);
        if (this.parts.isStopped()) return;
        const supposed = incarnationOf(m);
        await this.reconcile(m, supposed);
        if (
          supposed !== null &&
          !m.reconciled &&
          !this.parts.isStopped() &&
          this.parts.machines.get(m.id) === m
        )
          await this.reconcile(m, m.incarnation > 0 ? m.incarnation : null);
      }
    };
    await Promise.all(Array.from({ length: Math.min(maxConcurrent, queue.length) }, work));
  }
}
