import type { ControllerContext } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import type { ReplicationRecord } from '../standby/replicationrecord.js';
import type { ReplicationSource } from '../standby/replicationstream.js';
import type { StandbyReplicator } from '../standby/standbyreplicator.js';
import type { Machine, TaskAttempt } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';
import type { RuntimeEstimates } from './runtimeestimates.js';

/** What `ShardReplicationSource` asks of its shard. */
export interface ShardReplicationSourceHooks {
  /** Whether all machines on which tasks of a job may be are known, so that it is surely nowhere else. */
  placementsKnown(job: Job): boolean;
}

/** What an owner replicates of a shard to its standby: all of it at first, then what changes. */
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
    for (const m of this.registry.machines.values()) if (m.incarnation > 0) yield this.recordOf(m);
    for (const job of this.jobs.values()) {
      const sure = this.hooks.placementsKnown(job);
      const places = sure ? [...this.placesOf(job)] : [];
      // Of a job that is nowhere and never was, nothing need be said.
      if (!sure || places.length > 0) {
        const machines = sure ? [...new Set(places.map((h) => h.machine.id))] : null;
        yield { kind: 'runsOnlyOn', job: job.spec.id, machines };
      }
      for (const h of places) if (h.runningAt !== null) yield this.runs(h, h.runningAt);
      if (job.quarantined) yield this.suspectOf(job);
    }
  }

  private *placesOf(job: Job): Iterable<TaskAttempt> {
    yield* job.placements.values();
    yield* job.duplicateAttempts;
    yield* job.unacknowledgedExits;
  }

  private recordOf(m: Machine): ReplicationRecord {
    const { images: names } = this.context.names;
    const images = [...m.images].map(([image, gb]) => ({ image: names.name(image), gb }));
    return { kind: 'machine', id: m.id, incarnation: m.incarnation, images };
  }

  private runs(h: TaskAttempt, runningAt: number): ReplicationRecord {
    const runningSince = Math.round(this.context.clock.wall() - (this.context.clock.now() - runningAt));
    return { kind: 'attemptRunning', task: `${h.job}/${h.index}`, attempt: h.attempt, runningSince };
  }

  private suspectOf(job: Job): ReplicationRecord {
    const until = this.context.clock.wall() + Math.max(0, job.notBefore - this.context.clock.now());
    // A cancellation under way closes a job for good; the next owner finds that by itself.
    return {
      kind: 'quarantined',
      job: job.spec.id,
      failures: job.failures,
      until: Number.isFinite(until) ? Math.round(until) : 0,
    };
  }

  /** An attempt is surely no longer on its machine, and nothing of it is still to be stored. */
  onAttemptLeft(job: Job, h: TaskAttempt): void {
    for (const other of this.placesOf(job)) if (other !== h && other.machine === h.machine) return;
    this.replicator.replicate({ kind: 'leftMachine', job: job.spec.id, machine: h.machine.id });
  }

  onRunning(h: TaskAttempt): void {
    if (h.runningAt !== null) this.replicator.replicate(this.runs(h, h.runningAt));
  }

  onMachineChanged(m: Machine): void {
    this.replicator.replicate(this.recordOf(m));
  }

  onRuntimeLearnt(jobClass: string): void {
    const r = this.estimates.classOf(jobClass);
    if (r) this.replicator.replicate({ kind: 'runtimeEstimate', jobClass, ...r });
  }

  onQuarantineChanged(job: Job): void {
    this.replicator.replicate(
      job.quarantined ? this.suspectOf(job) : { kind: 'quarantineLifted', job: job.spec.id },
    );
  }

  onJobEnded(job: Job): void {
    this.replicator.replicate({ kind: 'jobEnded', job: job.spec.id });
  }
}
