import { pause } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import type { World } from '../context/context.js';
import type { Job } from '../jobs/job.js';
import { type JobRecords, type LoadedJob, NotOwner } from '../jobs/records.js';
import { type Held, type Machine, noteImage } from '../workers/machine.js';
import type { Fleet, GoneWhy } from '../workers/machineregistry.js';
import type { FailureTracker } from './failuretracker.js';
import type { JobTable } from './jobtable.js';
import type { Estimates } from './runtimeestimates.js';

/** Completed tasks of a job are stored no more often than this, until the last one. */
const GATHER_MS = 2000;
const GATHER_STEP_MS = 100;
const STORE_AGAIN_MS = 400;

export interface ProgressHooks {
  stopped(): boolean;
  requestPlan(): void;
  lostOwnership(): Error;
  /** An attempt is surely no longer on its machine, and nothing of it is still to be stored. */
  left(job: Job, h: Held): void;
  /** A task has begun to run, or a machine to hold an image. */
  running(h: Held): void;
  imaged(m: Machine): void;
  learnt(job: Job): void;
  /** When an attempt that was found running began to, as far as the former owner knew; steady milliseconds. */
  ranSince(h: Held): number | null;
  /** A job is durably over. */
  over(job: Job, status: 'done' | 'cancelled'): void;
}

/** What becomes of tasks on machines, as reported, and how that is made durable before machines may forget it. */
export class Progress {
  constructor(
    private readonly world: World,
    private readonly fleet: Fleet,
    private readonly table: JobTable,
    private readonly records: JobRecords,
    private readonly estimates: Estimates,
    private readonly failures: FailureTracker,
    private readonly log: Log,
    private readonly hooks: ProgressHooks,
  ) {}

  found(h: Held): void {
    const job = this.table.jobs.get(h.job);
    if (!job) {
      // Over, cancelled, or never accepted: nobody wants it.
      if (h.state === 'exited') h.settled = true;
      else this.fleet.halt(h, 0);
      return;
    }
    const other = job.places.get(h.index);
    if (h.state !== 'exited') {
      if (job.unwanted || job.done.has(h.index) || (other && other !== h)) this.fleet.halt(h, 0);
      if (!other) job.places.set(h.index, h);
      else if (other !== h) job.doubles.add(h);
      this.noteAttempt(job, h);
      this.noteImageOf(job, h);
      if (h.state === 'running') {
        h.runningAt = this.hooks.ranSince(h) ?? h.runningAt;
        this.runs(job, h);
      }
    } else {
      this.changed(h);
    }
    this.hooks.requestPlan();
  }

  private noteAttempt(job: Job, h: Held): void {
    if (h.attempt > job.attempt) job.attempt = h.attempt;
  }

  private noteImageOf(job: Job, h: Held): void {
    if (h.state === 'fetching') return;
    const cache = this.world.catalog.get(h.machine.type)?.cacheGb ?? 0;
    const known = h.machine.images.has(job.image);
    noteImage(h.machine, job.image, job.spec.imageGb, cache);
    if (!known) this.hooks.imaged(h.machine);
  }

  changed(h: Held): void {
    const job = this.table.jobs.get(h.job);
    if (!job) {
      if (h.state === 'exited') h.settled = true;
      return;
    }
    this.noteImageOf(job, h);
    if (h.state === 'exited') this.exited(job, h);
    else if (h.state === 'running') this.runs(job, h);
    this.hooks.requestPlan();
  }

  private runs(job: Job, h: Held): void {
    this.hooks.running(h);
    if (job.begun) return;
    job.begun = true;
    const waitS = Math.round((this.world.clock.wall() - job.acceptedWall) / 100) / 10;
    this.log.info({ job: job.spec.id, class: job.spec.class, waitS }, 'job begun');
  }

  private exited(job: Job, h: Held): void {
    this.leave(job, h);
    const m = h.machine;
    const now = this.world.clock.now();
    this.log.debug(
      { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: m.id, cause: h.cause },
      'task exited',
    );
    if (h.cause === 'done') {
      this.failures.succeeded(job, m);
      if (h.runningAt !== null && h.exitedAt !== null) {
        this.estimates.learn(job, (h.exitedAt - h.runningAt) / 1000);
        this.hooks.learnt(job);
      }
      // The tasks of a gang complete together: if one is done, all are.
      job.unsettled.push(h);
      const indexes = job.spec.kind === 'gang' ? [...Array(job.spec.tasks).keys()] : [h.index];
      for (const i of indexes) {
        if (job.done.add(i)) job.dirtyChunks.add(this.records.chunkOf(job, i));
      }
      void this.flush(job);
      return;
    }
    h.settled = true;
    if (h.cause === 'error') this.failures.failed(job, m, now);
    if (h.cause === 'no_room') m.closedUntil = Math.max(m.closedUntil, now + 4000);
    if (h.cause === 'busy' || h.cause === 'unknown') job.notBefore = Math.max(job.notBefore, now + 3000);
    this.loosenGang(job);
  }

  /** When a gang has lost a task, the rest of the attempt is of no use; the next waits until all are gone. */
  private loosenGang(job: Job): void {
    if (job.spec.kind !== 'gang' || job.places.size === 0) return;
    for (const h of job.places.values()) if (!h.stop) this.fleet.halt(h, 0);
  }

  gone(h: Held, why: GoneWhy): void {
    this.log.debug(
      { task: `${h.job}/${h.index}`, attempt: h.attempt, machine: h.machine.id, phase: h.phase, why },
      'task gone',
    );
    const job = this.table.jobs.get(h.job);
    if (!job) return;
    this.leave(job, h);
    this.loosenGang(job);
    this.hooks.requestPlan();
  }

  /**
   * An attempt is surely no longer on its machine. As long as another attempt of the same task is on one, and is only
   * being stopped, the task has its place there: started meanwhile it would run twice.
   */
  private leave(job: Job, h: Held): void {
    job.doubles.delete(h);
    // A completed one counts until its completion is stored: who takes over would start it again elsewhere.
    if (h.cause !== 'done') this.hooks.left(job, h);
    if (job.places.get(h.index) !== h) return;
    job.places.delete(h.index);
    for (const other of job.doubles) {
      if (other.index !== h.index || other.state === 'exited') continue;
      job.doubles.delete(other);
      job.places.set(other.index, other);
      return;
    }
  }

  adopt(l: LoadedJob): Job {
    const id = l.record.spec.id;
    const known = this.table.jobs.get(id);
    if (known) return known;
    const job = this.table.make(l.record.spec, l.record.accepted, l.record.deadline, false, l.version);
    job.partsUnder = l.partsUnder;
    this.records.restore(job, l.chunks);
    this.table.jobs.set(id, job);
    if (job.done.count === job.spec.tasks || job.stored < job.done.count) void this.flush(job);
    return job;
  }

  /**
   * Makes done tasks durable; only then may the machines forget them. Completions that come close together are stored
   * together: an array of tiny tasks would take the state service's rate away from acceptances.
   */
  private async flush(job: Job): Promise<void> {
    if (job.writing) return;
    job.writing = true;
    const unfinished = () =>
      !this.hooks.stopped() && job.state === 'active' && job.done.count < job.spec.tasks;
    try {
      while (unfinished() && this.world.clock.now() < job.storeAfter)
        await pause(this.world.clock, GATHER_STEP_MS);
      await this.table.exclusive(job.spec.id, async () => {
        if (this.hooks.stopped() || job.state !== 'active' || job.stored >= job.done.count) return;
        try {
          if (job.done.count === job.spec.tasks) this.end(job, await this.records.finish(job, 'done'));
          else await this.records.storeDone(job);
        } catch (error) {
          if (error instanceof NotOwner) throw this.hooks.lostOwnership();
          this.log.debug({ job: job.spec.id, error: String(error) }, 'storing progress failed');
          await pause(this.world.clock, STORE_AGAIN_MS);
        }
      });
    } catch (error) {
      if (!(error instanceof NotOwner)) this.log.error({ error: String(error) }, 'storing progress ended');
    } finally {
      job.storeAfter = this.world.clock.now() + GATHER_MS;
      job.writing = false;
      this.settle(job);
    }
  }

  private settle(job: Job): void {
    // A shard that is lost leaves what it could not store to its next owner; to try on would never end.
    if (this.hooks.stopped()) return;
    if (job.stored < job.done.count && job.state === 'active') {
      void this.flush(job);
      return;
    }
    for (const h of job.unsettled.splice(0)) {
      h.settled = true;
      this.hooks.left(job, h);
    }
  }

  /**
   * A job's user has asked to cancel it. That is enough to stop it: its tasks end whether or not the end can be stored soon, and
   * before anybody else can have read it. It is called cancelled only once that is stored.
   */
  unwant(job: Job): void {
    job.unwanted = true;
    job.notBefore = Number.POSITIVE_INFINITY;
    for (const h of [...job.places.values(), ...job.doubles]) this.fleet.halt(h, 0);
    this.fleet.pushStops();
  }

  /** A job has been stored as over: nothing of it is wanted on machines any more. */
  end(job: Job, status: 'done' | 'cancelled'): void {
    const id = job.spec.id;
    this.table.end(job, status);
    for (const m of this.fleet.machines.values()) {
      for (const h of m.held.values()) {
        if (h.job !== id) continue;
        if (h.state === 'exited') h.settled = true;
        else this.fleet.halt(h, 0);
      }
    }
    this.fleet.pushStops();
    this.log.info({ job: id, status }, 'job over');
    this.hooks.over(job, status);
    this.hooks.requestPlan();
  }
}
