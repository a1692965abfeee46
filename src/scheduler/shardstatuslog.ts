import type { Log } from '../config/log.js';
import { type Job, unplacedCount } from '../jobs/job.js';
import type { Machine } from '../workers/machine.js';

const STATUS_LOG_INTERVAL_MS = 15_000;

/** Load of one team in the shard: unfinished jobs, tasks on machines, and tasks that wait for a machine. */
interface TeamLoad {
  jobs: number;
  placed: number;
  open: number;
}

/** Number of machines of the shard, and of those that are booting, empty, or may run unknown tasks. */
interface MachineLoad {
  all: number;
  booting: number;
  empty: number;
  unsure: number;
}

/** Periodic log line on the load of a shard, for its operators. */
export class ShardStatusLog {
  private loggedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly machines: ReadonlyMap<string, Machine>,
    private readonly log: Log,
  ) {}

  /**
   * Logs the load of the shard if the last log line is old enough, and returns whether it did; `now` in
   * milliseconds on the monotonic clock.
   */
  logIfDue(now: number): boolean {
    if (now - this.loggedAt < STATUS_LOG_INTERVAL_MS) return false;
    this.loggedAt = now;
    this.log.info({ teams: this.loadByTeam(), machines: this.machineLoad() }, 'shard load');
    return true;
  }

  private loadByTeam(): Record<string, TeamLoad> {
    const teams: Record<string, TeamLoad> = {};
    for (const job of this.jobs.values()) {
      teams[job.spec.team] ??= { jobs: 0, placed: 0, open: 0 };
      const team = teams[job.spec.team]!;
      team.jobs++;
      team.placed += job.placements.size;
      team.open += unplacedCount(job);
    }
    return teams;
  }

  private machineLoad(): MachineLoad {
    const load = { all: 0, booting: 0, empty: 0, unsure: 0 };
    for (const m of this.machines.values()) {
      load.all++;
      if (m.lastHeartbeatAt === null) load.booting++;
      else if (!m.reconciled || m.leaseExpired || m.mayHoldUnreportedTasks) load.unsure++;
      else if (m.attempts.size === 0) load.empty++;
    }
    return load;
  }
}
