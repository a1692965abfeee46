import type { Log } from '../config/log.js';
import type { World } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { Warmth } from '../standby/shardreplica.js';
import { surelyNowhere } from '../standby/takeoverchecks.js';
import type { Fleet } from '../workers/machineregistry.js';

/** Machines that are there answer the first question of a new owner within this. */
const GREET_MS = 2500;
/** Told to operators once so many of the machines that were taken over have answered. */
const REACHED_SHARE = 0.9;

/** What a new owner does not know yet: which tasks of the owners before it are on machines that have not reported to it. */
export class Unseen {
  private loadedAt: number | null = null;
  private taken = 0;
  private told = false;
  private seenAll = false;
  /** When it was last found that not all machines are known. */
  private notAllAt = Number.NaN;

  constructor(
    private readonly world: World,
    private readonly fleet: Fleet,
    private readonly warmth: Warmth | null,
    private readonly log: Log,
    private readonly claimedAt: number,
  ) {}

  /** Jobs and machines have been read; from here on it can become less. */
  loaded(): void {
    this.loadedAt = this.world.clock.now();
    this.taken = this.fleet.machines.size;
  }

  /** What machines that have not reported to this owner may hold. */
  amounts(): Amounts {
    const sum = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const m of this.fleet.machines.values()) {
      if (!m.unknown) continue;
      const size = this.world.catalog.size(m.type);
      sum.cpus += size.cpus;
      sum.gpus += size.gpus;
      sum.memoryGb += size.memoryGb;
    }
    return sum;
  }

  /** Whether a task of a job that is not known to be anywhere is surely nowhere. */
  nowhereElse(job: Job): boolean {
    const of = { fresh: job.fresh, id: job.spec.id };
    return surelyNowhere(of, this.warmth, this.adopted, (id) => this.isUnseen(id));
  }

  private isUnseen(machine: string): boolean {
    return this.fleet.machines.get(machine)?.unknown === true;
  }

  /**
   * Until when a job cannot start, since a machine that may hold tasks of it does not answer; null when it can. Machines that
   * have not answered soon after the take-over may not do so before their leases are over.
   */
  heldBack(job: Job, now: number): number | null {
    if (this.nowhereElse(job) || this.loadedAt === null || now - this.loadedAt < GREET_MS) return null;
    let until = now;
    const where = this.warmth?.mayBeOn(job.spec.id) ?? null;
    for (const id of where ?? this.fleet.machines.keys()) {
      const m = this.fleet.machines.get(id);
      if (m?.unknown) until = Math.max(until, this.fleet.unknownUntil(m));
    }
    return until;
  }

  /** Whether all that an earlier owner may have started is known; once it is, it stays so. */
  get adopted(): boolean {
    const now = this.world.clock.now();
    if (this.seenAll || this.notAllAt === now || this.loadedAt === null) return this.seenAll;
    this.seenAll = [...this.fleet.machines.values()].every((m) => !m.unknown);
    this.notAllAt = now;
    return this.seenAll;
  }

  /** Tells operators once when most of the machines have been reached. */
  tell(now: number): void {
    if (this.told || this.loadedAt === null) return;
    let unseen = 0;
    for (const m of this.fleet.machines.values()) if (m.unknown) unseen++;
    if (unseen > this.taken * (1 - REACHED_SHARE)) return;
    this.told = true;
    if (this.taken > 0)
      this.log.info(
        { machines: this.taken, unseen, ms: Math.round(now - this.claimedAt) },
        'machines reached',
      );
  }
}
