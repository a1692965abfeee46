import { Mutex } from 'async-mutex';
import { type ControllerContext, MATCHES_NOTHING } from '../context/context.js';
import { type Job, jobStatus, makeJob } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { JobSpec } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { StatusAnswer } from './responses.js';

/** What is remembered of a job that has ended. */
interface EndedJob {
  status: 'done' | 'cancelled';
  tasks: number;
  team: number;
  need: Amounts;
}

/** So many are remembered, the last to end. */
const MAX_ENDED_JOBS = 5000;

/** The jobs of one shard in memory: the unfinished ones, and how those ended that ended not long ago. */
export class JobTable {
  /** The unfinished jobs, by id. */
  readonly jobs = new Map<string, Job>();
  private readonly ended = new Map<string, EndedJob>();
  private readonly mutexes = new Map<string, { mutex: Mutex; users: number }>();
  /** What a task of each class takes, as last seen. */
  readonly taskSizeByClass = new Map<string, Amounts>();
  private order = 0;

  constructor(
    private readonly context: ControllerContext,
    private readonly index: number,
    private readonly term: number,
  ) {}

  /**
   * A job for the table, which does not hold it yet. `accepted` and `deadline` in milliseconds of the time of day, `fresh` when
   * it was accepted under this term, `version` that of its record.
   */
  make(spec: JobSpec, accepted: number, deadline: number, fresh: boolean, version: number): Job {
    const n = this.context.names;
    this.taskSizeByClass.set(spec.class, { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb });
    return makeJob(
      spec,
      { accepted, deadline, order: accepted * 4096 + (this.order++ % 4096), fresh, version },
      {
        team: n.teams.find(spec.team) ?? -1,
        types: spec.types && new Set(spec.types.map((t) => n.types.index(t))),
        zone: spec.zone === null ? null : n.zones.index(spec.zone),
        image: n.images.index(spec.image),
        match: spec.match ? (this.context.matchCompiler?.compile(spec.match) ?? MATCHES_NOTHING) : null,
      },
    );
  }

  /**
   * Acceptance, completion and cancellation of one job go one after the other. The mutex of a job is dropped with the last that
   * holds it or waits for it: dropped earlier, one that comes then would get another, and two of one job would go side by side.
   */
  async exclusive<T>(id: string, work: () => Promise<T>): Promise<T> {
    const entry = this.mutexes.get(id) ?? { mutex: new Mutex(), users: 0 };
    this.mutexes.set(id, entry);
    entry.users++;
    try {
      return await entry.mutex.runExclusive(work);
    } finally {
      if (--entry.users === 0) this.mutexes.delete(id);
    }
  }

  /** How a job has ended; null when it is unfinished or not remembered. */
  endedStatus(id: string): 'done' | 'cancelled' | null {
    return this.ended.get(id)?.status ?? null;
  }

  /** The status of a job; null when it is not in memory. */
  statusOf(id: string): StatusAnswer | null {
    const job = this.jobs.get(id);
    if (job) return jobStatus(job);
    const ended = this.ended.get(id);
    return ended ? endedStatus(ended.status, ended.tasks) : null;
  }

  /** Moves a job to those that have ended. */
  end(job: Job, status: 'done' | 'cancelled'): void {
    job.state = status;
    job.storedCount = job.done.count;
    const id = job.spec.id;
    this.jobs.delete(id);
    this.ended.set(id, { status, tasks: job.spec.tasks, team: job.team, need: job.need });
    for (const old of this.ended.keys()) {
      if (this.ended.size <= MAX_ENDED_JOBS) break;
      this.ended.delete(old);
    }
  }

  /** The team of a task on a machine and what the task takes there; null when its job is not in memory. */
  usageOf(h: TaskAttempt): { team: number; need: Amounts; spec?: JobSpec } | null {
    return this.jobs.get(h.job) ?? this.ended.get(h.job) ?? null;
  }

  /** A name that nobody ever uses again: a shard can come back to the same process, but never with the same term. */
  uniqueName(kind: string): string {
    return `${this.context.incarnation}-${kind}${this.index}-${this.term}-${this.order++}`;
  }
}

function endedStatus(status: 'done' | 'cancelled', tasks: number): StatusAnswer {
  return { status, done: status === 'done' ? tasks : 0, running: 0 };
}
