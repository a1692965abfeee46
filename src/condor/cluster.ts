import { Mutex } from 'async-mutex';
import { type Ad, isLiteral } from '../classad/ast.js';
import { evaluate } from '../classad/evaluate.js';
import type { ProcState } from '../wire/condor.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { ClusterPlan, Proc } from './procs.js';
import { type ClusterRecord, type Exception, PROCS_PER_CHUNK } from './records.js';

/** HTCondor's codes (`JobStatus`) for the states of a process. */
const JOB_STATUS: Record<ProcState, bigint> = {
  idle: 1n,
  running: 2n,
  removed: 3n,
  completed: 4n,
  held: 5n,
};

const MAX_CACHED_PROCS = 2000;

/** Returns the job id of one start of a process; no other code creates ids of this form. */
export function jobId(cluster: number, proc: number, start: number): string {
  return `wk-condor-${cluster}-${proc}${start === 0 ? '' : `-r${start}`}`;
}

/** Returns the common prefix of the ids of all jobs of a cluster. */
export const jobIdPrefix = (cluster: number) => `wk-condor-${cluster}-`;

/** The expander's state of one cluster: which processes are jobs, and which were held, released or removed. */
export class Cluster {
  /** The next process to become a job. */
  cursor: number;
  /** Unfinished jobs by id, as of the listing at `listedAt`, which covers the processes below `listedCursor`. */
  jobs = new Map<string, ListedJob>();
  listedAt = Number.NEGATIVE_INFINITY;
  listedCursor = 0;
  /** Ids of jobs that still have to be cancelled. */
  readonly pendingCancellations = new Set<string>();
  readonly stateSince = new Map<number, { state: ProcState; at: number }>();
  checkedAt = 0;
  /** Released processes whose new start has not become a job yet. */
  readonly pendingRestarts = new Set<number>();
  /** Whether the cluster is being removed and its jobs have not been listed under this term yet. */
  cancellationSweepDue = false;
  /** Serializes changes to the records of the cluster. */
  readonly mutex = new Mutex();
  private readonly procCache = new Map<number, Proc>();

  constructor(
    readonly number: number,
    public record: ClusterRecord,
    public version: number,
    readonly plan: ClusterPlan,
    readonly exceptions: Map<number, Exception>,
    readonly chunkVersions: Map<number, number>,
  ) {
    this.cursor = record.from;
    // The previous expander may have stopped after it stored an exception and before it cancelled the affected jobs.
    for (const [proc, exception] of exceptions) {
      this.cancelSupersededStarts(proc, exception);
      if (exception.state === 'idle' && proc < this.cursor) this.pendingRestarts.add(proc);
    }
    this.cancellationSweepDue = record.state === 'removing';
  }

  /** Queues the cancellation of all starts of a process that no longer count. */
  cancelSupersededStarts(proc: number, exception: Exception): void {
    if (proc >= this.record.upTo) return;
    const starts = exception.state === 'removed' ? exception.start + 1 : exception.start;
    for (let s = 0; s < starts; s++) this.pendingCancellations.add(jobId(this.number, proc, s));
  }

  proc(n: number): Proc {
    let proc = this.procCache.get(n);
    if (!proc) {
      proc = this.plan.proc(this.number, n);
      if (this.procCache.size >= MAX_CACHED_PROCS) this.procCache.delete(this.procCache.keys().next().value!);
      this.procCache.set(n, proc);
    }
    return proc;
  }

  /** Returns the current job of a process. */
  spec(n: number): JobSpec {
    return { ...this.proc(n).spec, id: jobId(this.number, n, this.exceptions.get(n)?.start ?? 0) };
  }

  get priority(): bigint {
    const expr = this.proc(0).ad.get('JobPrio');
    return expr?.node === 'literal' && typeof expr.value === 'bigint' ? expr.value : 0n;
  }

  /**
   * Returns whether a process is submitted on hold. Most clusters never set this; their processes need no
   * expansion here.
   */
  private heldFromStart(n: number): boolean {
    return this.plan.mayHold(n) && this.proc(n).held;
  }

  /** Returns whether a process is to become a job, that is, its owner has neither held nor removed it. */
  shouldBecomeJob(n: number): boolean {
    const exception = this.exceptions.get(n);
    if (exception) return exception.state === 'idle';
    return !this.heldFromStart(n);
  }

  state(n: number): ProcState {
    const exception = this.exceptions.get(n);
    if (exception && exception.state !== 'idle') return exception.state;
    if (!exception && this.heldFromStart(n)) return 'held';
    if (this.record.state === 'removing') return 'removed';
    const job = this.jobs.get(jobId(this.number, n, exception?.start ?? 0));
    if (job) return job.running > 0 ? 'running' : 'idle';
    // A job that was listed before and is no longer listed has ended; one that was submitted since is not
    // listed yet.
    return n < Math.min(this.listedCursor, this.cursor) && !this.pendingRestarts.has(n)
      ? 'completed'
      : 'idle';
  }

  /** Returns the ad of a process in its current state, for constraints and periodic expressions. */
  adOf(n: number, now: number): Ad {
    const state = this.state(n);
    const lastState = this.stateSince.get(n);
    if (lastState?.state !== state) this.stateSince.set(n, { state, at: now });
    const ad = this.proc(n).ad.copy();
    ad.setValue('JobStatus', JOB_STATUS[state])
      .setValue('EnteredCurrentStatus', BigInt(Math.floor(this.stateSince.get(n)!.at)))
      .setValue('NumJobStarts', BigInt(this.exceptions.get(n)?.start ?? 0))
      .setValue('CurrentTime', BigInt(Math.floor(now)));
    const why = this.exceptions.get(n)?.why;
    if (state === 'held' && why) ad.setValue('HoldReason', why);
    return ad;
  }

  attributeIsTrue(n: number, attribute: string, now: number): boolean {
    const ad = this.adOf(n, now);
    const expr = ad.get(attribute);
    if (!expr) return false;
    const value = evaluate(expr, { my: ad, now });
    return isLiteral(value) && value === true;
  }

  get counts(): Record<ProcState, number> {
    const counts = { idle: 0, running: 0, held: 0, removed: 0, completed: 0 };
    for (let n = 0; n < this.record.total; n++) counts[this.state(n)]++;
    return counts;
  }

  chunkNumbers(procs: Iterable<number>): number[] {
    return [...new Set([...procs].map((p) => Math.floor(p / PROCS_PER_CHUNK)))];
  }
}
