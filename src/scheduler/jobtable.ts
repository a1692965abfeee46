import { Mutex } from 'async-mutex';
import { type ControllerContext, MATCHES_NOTHING } from '../context/context.js';
import { type Job, jobStatus, makeJob } from '../jobs/job.js';
import type { Amounts } from '../plan/capacityprofile.js';
import type { JobSpec } from '../wire/users.js';
import type { TaskAttempt } from '../workers/machine.js';
import type { JobStatusResponse } from './responses.js';

/** The information kept in memory about a job that has ended. */
interface EndedJob {
  status: 'done' | 'cancelled';
  tasks: number;
  team: number;
  need: Amounts;
}

/** Maximum number of ended jobs kept in memory; the ones that ended first are dropped. */
const MAX_ENDED_JOBS = 5000;

/** The jobs of one shard in memory: the unfinished ones, and the outcome of those that ended recently. */
export class JobTable {
  /** The unfinished jobs, by id. */
  readonly jobs = new Map<string, Job>();
  private readonly ended = new Map<string, EndedJob>();
  private readonly mutexes = new Map<string, { mutex: Mutex; users: number }>();
  /** The resources that a task of each job class needs, by the last job of the class. */
  readonly taskSizeByClass = new Map<string, Amounts>();
  private order = 0;

  constructor(
    private readonly context: ControllerContext,
    private readonly index: number,
    private readonly term: number,
  ) {}

  /**
   * Creates a job without adding it to the table. `accepted` and `deadline` are on the wall clock, in milliseconds;
   * `fresh` says whether the job was accepted under the present term, `version` is the version of its record.
   */
  createJob(spec: JobSpec, accepted: number, deadline: number, fresh: boolean, version: number): Job {
    const names = this.context.names;
    this.taskSizeByClass.set(spec.class, { cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb });
    return makeJob(
      spec,
      {
        accepted,
        deadline,
        order: accepted * 4096 + (this.order++ % 4096),
        fresh,
        version,
      },
      {
        team: names.teams.find(spec.team) ?? -1,
        types: spec.types && new Set(spec.types.map((t) => names.types.index(t))),
        zone: spec.zone === null ? null : names.zones.index(spec.zone),
        image: names.images.index(spec.image),
        match: spec.match ? (this.context.matchCompiler?.compile(spec.match) ?? MATCHES_NOTHING) : null,
      },
    );
  }

  /**
   * Runs `work` under the mutex of a job, which serializes acceptance, completion and cancellation of the job. The
   * mutex is dropped only with its last holder or waiter: if it were dropped earlier, a later caller would get
   * another mutex, and two operations on one job would run concurrently.
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

  /** Returns how a job has ended; null when it is unfinished or its end is not in memory. */
  endedStatus(id: string): 'done' | 'cancelled' | null {
    return this.ended.get(id)?.status ?? null;
  }

  /** Returns the status of a job; null when it is not in memory. */
  statusOf(id: string): JobStatusResponse | null {
    const job = this.jobs.get(id);
    if (job) return jobStatus(job);
    const ended = this.ended.get(id);
    return ended ? endedStatus(ended.status, ended.tasks) : null;
  }

  /** Moves a job from the unfinished to the ended jobs. */
  markEnded(job: Job, status: 'done' | 'cancelled'): void {
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

  /**
   * Returns the team of a task on a machine and the resources that the task uses there; null when its job is not in
   * memory.
   */
  usageOf(h: TaskAttempt): { team: number; need: Amounts; spec?: JobSpec } | null {
    return this.jobs.get(h.job) ?? this.ended.get(h.job) ?? null;
  }

  /**
   * Returns a name that is never used again: the same process may own the shard again, but never under the same
   * term.
   */
  uniqueName(kind: string): string {
    return `${this.context.incarnation}-${kind}${this.index}-${this.term}-${this.order++}`;
  }
}

function endedStatus(status: 'done' | 'cancelled', tasks: number): JobStatusResponse {
  return { status, done: status === 'done' ? tasks : 0, running: 0 };
}
