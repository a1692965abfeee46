import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { ReplicationRecord } from '../standby/replicationrecord.js';
import type { ReplicationSource } from '../standby/replicationstream.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** Callbacks into the shard that `ShardReplicationSource` needs. */
export interface ShardReplicationSourceHooks {
  /**
   * Returns whether all machines that may run tasks of a job are known, so that it certainly runs nowhere
   * else.
   */
  placementsKnown(job: Job): boolean;
}

/** Replicates a shard from its owner to the standby: a full snapshot first, then the changes. */
export class ShardReplicationSource implements ReplicationSource {
  constructor(
    private readonly context: ControllerContext,
    private readonly registry: MachineRegistry,
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimates: RuntimeEstimates,
    private readonly replicator: StandbyReplicator,
    private readonly hooks: ShardReplicationSourceHooks,
  ) {}

  *snapshot(): Iterator<ReplicationRecord> {
    for (const [jobClass, r] of this.estimates.classes()) yield { kind: 'runtimeEstimate', jobClass, ...r };
    for (const m of this.registry.machines.values()) if (m.incarnation > 0) yield this.machineRecord(m);
    for (const job of this.jobs.values()) {
      const placementsKnown = this.hooks.placementsKnown(job);
      const attempts = placementsKnown ? [...this.attemptsOf(job)] : [];
      // A job that runs nowhere and never did needs no record.
      if (!placementsKnown || attempts.length > 0) {
        const machines = placementsKnown ? [...new Set(attempts.map((attempt) => attempt.machine.id))] : null;
        yield { kind: 'runsOnlyOn', job: job.spec.id, machines };
      }
      for (const attempt of attempts)
        if (attempt.runningAt !== null) yield this.attemptRunningRecord(attempt, attempt.runningAt);
      if (job.quarantined) yield this.quarantineRecord(job);
    }
  }

  private *attemptsOf(job: Job): Iterable<TaskAttempt> {
    yield* job.placements.values();
    yield* job.duplicateAttempts;
    yield* job.unacknowledgedExits;
  }

  private machineRecord(m: Machine): ReplicationRecord {
    const { images: names } = this.context.names;
    const images = [...m.images].map(([image, gb]) => ({ image: names.name(image), gb }));
    return { kind: 'machine', id: m.id, incarnation: m.incarnation, images };
  }

  private attemptRunningRecord(attempt: TaskAttempt, runningAt: number): ReplicationRecord {
    const runningSince = Math.round(this.context.clock.wall() - (this.context.clock.now() - runningAt));
    return {
      kind: 'attemptRunning',
      task: `${attempt.job}/${attempt.index}`,
      attempt: attempt.attempt,
      runningSince,
    };
  }

  private quarantineRecord(job: Job): ReplicationRecord {
    const until = this.context.clock.wall() + Math.max(0, job.notBefore - this.context.clock.now());
    // `notBefore` is infinite while a cancellation is pending. The cancellation ends the job permanently, and
    // the next owner finds that by itself, so 0 is sent.
    return {
      kind: 'quarantined',
      job: job.spec.id,
      failures: job.failures,
      until: Number.isFinite(until) ? Math.round(until) : 0,
    };
  }

  /** Handles an attempt that is known to have left its machine, and of which nothing remains to be stored. */
  onAttemptLeft(job: Job, attempt: TaskAttempt): void {
    for (const other of this.attemptsOf(job))
      if (other !== attempt && other.machine === attempt.machine) return;
    this.replicator.replicate({ kind: 'leftMachine', job: job.spec.id, machine: attempt.machine.id });
  }

  onRunning(attempt: TaskAttempt): void {
    if (attempt.runningAt !== null)
      this.replicator.replicate(this.attemptRunningRecord(attempt, attempt.runningAt));
  }

  onMachineChanged(m: Machine): void {
    this.replicator.replicate(this.machineRecord(m));
  }

  onRuntimeLearnt(jobClass: string): void {
    const r = this.estimates.classOf(jobClass);
    if (r) this.replicator.replicate({ kind: 'runtimeEstimate', jobClass, ...r });
  }

  onQuarantineChanged(job: Job): void {
    this.replicator.replicate(
      job.quarantined ? this.quarantineRecord(job) : { kind: 'quarantineLifted', job: job.spec.id },
    );
  }

  onJobEnded(job: Job): void {
    this.replicator.replicate({ kind: 'jobEnded', job: job.spec.id });
  }
}
