import { pause } from '../../src/clock/clock.js';
import type { Random } from '../../src/emulator/random.js';
import type { TaskEvent, Tasks } from '../../src/emulator/tasks.js';
import type { Worker } from '../../src/emulator/worker.js';
import type { HttpReply } from '../../src/http/server.js';
import type { UserEvent, Violation } from '../../src/load/history.js';
import { type JobSpec, readJob, readStatus } from '../../src/wire/users.js';
import { type FakeCluster, job } from './cluster.js';

const REQUEST_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_MS = 5000;
const RETRY_PERIOD_MS = 60_000;
/** A job counts as forgotten when no status request for it was answered for this long after the end of all faults. */
const FORGOTTEN_AFTER_MS = 75_000;
/** A user that polls closely asks all nodes in this many rounds, at most `CLOSE_POLL_INTERVAL_MS` apart. */
const CLOSE_POLL_ROUNDS = 3;
const CLOSE_POLL_INTERVAL_MS = 30;
const INVALID_REQUEST_INTERVAL_MS = 1300;

interface SubmittedJob {
  spec: JobSpec;
  wire: object;
  accepted: boolean;
  ended: boolean;
  cancelAsked: boolean;
  answeredAt: number;
}

/**
 * Users of a scripted cluster that follow the protocol; their requests and the responses are recorded for the
 * checker.
 */
export class Users {
  readonly events: UserEvent[] = [];
  readonly jobs = new Map<string, SubmittedJob>();
  /**
   * Whether users poll all nodes and resubmit within milliseconds of each acceptance, end and confirmed
   * cancellation.
   */
  pollsClosely = true;
  private generatedIds = 0;

  constructor(
    private readonly cluster: FakeCluster,
    private readonly tasks: Tasks,
    private readonly random: Random,
  ) {}

  /** Submits a job with retries and polls its status until it has ended, and less often afterwards. */
  async submit(wire: object, runS: number, cancelAtOnce = false): Promise<void> {
    const spec = readJob(wire);
    if (typeof spec === 'string') throw new Error(spec);
    const { id } = spec;
    const submitted: SubmittedJob = {
      spec,
      wire,
      accepted: false,
      ended: false,
      cancelAsked: false,
      answeredAt: this.now,
    };
    this.jobs.set(id, submitted);
    this.tasks.upload({ spec, runS, fails: false });
    this.recordEvent(id, 'submitted');
    const final = await this.requestUntilFinal('/api/jobs', wire, (reply) =>
      [200, 201, 400, 422].includes(reply.status),
    );
    if (!final) return;
    if (final.reply.status >= 400) {
      this.recordEvent(id, 'refused', { eventsBeforeRequest: final.asked });
      return;
    }
    submitted.accepted = true;
    submitted.answeredAt = this.now;
    this.recordEvent(id, 'accepted', { eventsBeforeRequest: final.asked });
    if (cancelAtOnce) void this.cancel(id);
    void this.pollAllNodes(submitted);
    for (;;) {
      await pause(this.cluster.clock, (submitted.ended ? 3 : 1) * POLL_MS * this.random.between(0.2, 1.2));
      await this.poll(submitted);
    }
  }

  /** Requests the status of a job, from a node or through the load balancer. */
  private async poll(submitted: SubmittedJob, node?: string): Promise<void> {
    const { id } = submitted.spec;
    const asked = this.events.length;
    const reply = await this.call('GET', `/api/jobs/${id}`, null, POLL_TIMEOUT_MS, node);
    if (reply?.status === 404) this.recordEvent(id, 'unknown', { eventsBeforeRequest: asked });
    if (reply?.status === 200) this.recordStatus(submitted, reply, asked);
  }

  /** Records a response that contains the status of a job. */
  private recordStatus(submitted: SubmittedJob, reply: HttpReply, asked: number): void {
    const view = readStatus(JSON.parse(JSON.stringify(reply.body)));
    if (!view) throw new Error('unreadable status response');
    submitted.answeredAt = this.now;
    this.recordEvent(submitted.spec.id, 'told', { status: view.status, eventsBeforeRequest: asked });
    if (view.status !== 'done' && view.status !== 'cancelled') return;
    const first = !submitted.ended;
    submitted.ended = true;
    if (first) void this.pollAllNodes(submitted);
  }

  /**
   * Polls all nodes, resubmits the job and repeats a requested cancellation, in several rounds within milliseconds.
   */
  private async pollAllNodes(submitted: SubmittedJob): Promise<void> {
    if (!this.pollsClosely) return;
    for (let i = 0; i < CLOSE_POLL_ROUNDS; i++) {
      for (const node of [...this.cluster.nodes.keys()]) {
        const action = this.random.next();
        if (action < 0.3) void this.resubmit(submitted, node);
        else if (submitted.cancelAsked && action < 0.5) void this.abort(submitted, node);
        else void this.poll(submitted, node);
      }
      await pause(this.cluster.clock, this.random.between(1, CLOSE_POLL_INTERVAL_MS));
    }
  }

  private async resubmit(submitted: SubmittedJob, node?: string): Promise<void> {
    const { id } = submitted.spec;
    const asked = this.events.length;
    const reply = await this.call('POST', '/api/jobs', submitted.wire, REQUEST_TIMEOUT_MS, node);
    if (reply?.status === 400 || reply?.status === 422)
      this.recordEvent(id, 'refused', { eventsBeforeRequest: asked });
    if (reply?.status === 200 || reply?.status === 201) this.recordStatus(submitted, reply, asked);
  }

  private async abort(submitted: SubmittedJob, node?: string): Promise<void> {
    const asked = this.events.length;
    this.recordCancellation(
      submitted,
      await this.call('POST', `/api/jobs/${submitted.spec.id}/abort`, null, REQUEST_TIMEOUT_MS, node),
      asked,
    );
  }

  private recordCancellation(submitted: SubmittedJob, reply: HttpReply | null, asked: number): void {
    const { id } = submitted.spec;
    if (reply?.status === 404) this.recordEvent(id, 'unknown', { eventsBeforeRequest: asked });
    if (reply?.status !== 200) return;
    if ((reply.body as { status?: string }).status === 'aborted') {
      this.recordEvent(id, 'cancelled', { eventsBeforeRequest: asked });
      const first = !submitted.ended;
      submitted.ended = true;
      if (first) void this.pollAllNodes(submitted);
    } else this.recordStatus(submitted, reply, asked);
  }

  async cancel(id: string): Promise<void> {
    const submitted = this.jobs.get(id);
    if (!submitted?.accepted) return;
    submitted.cancelAsked = true;
    this.recordEvent(id, 'cancel asked');
    const final = await this.requestUntilFinal(
      `/api/jobs/${id}/abort`,
      null,
      (reply) => reply.status === 200 || reply.status === 404,
    );
    if (final) this.recordCancellation(submitted, final.reply, final.asked);
  }

  /** Cancels a share of the running jobs within 200 ms; returns the machines that run their tasks. */
  cancelNow(share: number): Worker[] {
    const running = new Set(this.cluster.workers.flatMap((w) => w.attempts.map((a) => a.job)));
    const cancelled = [...this.jobs.values()].filter(
      (j) => j.accepted && !j.ended && !j.cancelAsked && running.has(j.spec.id) && this.random.chance(share),
    );
    for (const j of cancelled)
      this.cluster.clock.after(this.random.between(0, 200), () => void this.cancel(j.spec.id));
    const ids = new Set(cancelled.map((j) => j.spec.id));
    return this.cluster.workers.filter((w) => w.attempts.some((a) => ids.has(a.job) && a.state !== 'exited'));
  }

  /** Submits `count` jobs at once, of different priorities. */
  burst(count: number): void {
    for (let i = 0; i < count; i++) {
      const runS = this.random.between(3, 15);
      const change = {
        owner: this.random.pick(['red', 'blue']),
        shape: this.random.pick(['sweep', 'sweep', 'ensemble']),
        urgency: this.random.pick(['urgent', 'standard', 'low']),
        pieces: 1 + Math.floor(this.random.between(0, 3)),
        cpus: this.random.pick([2, 4, 8]),
        expectedS: runS,
      };
      void this.submit(job(`wk-burst-${++this.generatedIds}`, change), runS);
    }
  }

  /**
   * Cancels a share of the jobs within 400 ms of the completion of their last task, until the returned function is
   * called.
   */
  cancelAtEnd(share: number): () => void {
    this.tasks.onEvent = (event: TaskEvent) => {
      const submitted = this.jobs.get(event.job);
      if (event.kind !== 'off' || event.cause !== 'done' || !submitted || submitted.cancelAsked) return;
      const done = new Set(
        this.tasks.history.filter((x) => x.job === event.job && x.cause === 'done').map((x) => x.index),
      );
      if (submitted.spec.kind !== 'gang' && done.size < submitted.spec.tasks) return;
      if (!this.random.chance(share)) return;
      this.cluster.clock.after(this.random.between(0, 400), () => void this.cancel(event.job));
    };
    return () => {
      this.tasks.onEvent = null;
    };
  }

  /**
   * Repeats submissions, cancels ended jobs, and submits jobs that are malformed or can never run, until it is
   * stopped.
   */
  startInvalidRequests(): () => void {
    let active = true;
    const loop = async () => {
      while (active) {
        await pause(this.cluster.clock, INVALID_REQUEST_INTERVAL_MS * this.random.between(0.4, 1.6));
        const accepted = [...this.jobs.values()].filter((j) => j.accepted);
        if (accepted.length > 0) {
          const picked = this.random.pick(accepted);
          if (picked.ended) void this.abort(picked);
          else void this.resubmit(picked);
        }
        void this.submitInvalid(this.random.pick(INVALID_SUBMISSIONS));
      }
    };
    void loop();
    return () => {
      active = false;
    };
  }

  private async submitInvalid([why, change]: (typeof INVALID_SUBMISSIONS)[number]): Promise<void> {
    const id = `wk-odd-${++this.generatedIds}`;
    const wire: Record<string, unknown> = { ...job(id), ...change };
    for (const [field, value] of Object.entries(change)) if (value === undefined) delete wire[field];
    const reply = await this.call('POST', '/api/jobs', wire, REQUEST_TIMEOUT_MS);
    if (reply?.status === 200 || reply?.status === 201) this.recordEvent(id, 'accepted', { unfit: why });
  }

  /**
   * Finds jobs whose status requests were unanswered for too long and, at the end, jobs that neither ended nor were
   * cancelled.
   */
  findForgotten(since: number, atEnd: boolean): Violation[] {
    const found: Violation[] = [];
    for (const [id, k] of this.jobs) {
      if (!k.accepted || k.ended) continue;
      if (this.now - Math.max(since, k.answeredAt) > FORGOTTEN_AFTER_MS)
        found.push({ rule: 'forgotten', at: this.now, what: `no question about ${id} is answered` });
      else if (atEnd && !k.cancelAsked && k.spec.kind !== 'service')
        found.push({ rule: 'never done', at: this.now, what: `${id} was accepted and is not done` });
    }
    return found;
  }

  private get now(): number {
    return this.cluster.clock.now();
  }

  private recordEvent(job: string, kind: UserEvent['kind'], more: Partial<UserEvent> = {}): void {
    this.events.push({ at: this.now, job, kind, ...more });
  }

  /**
   * Retries a request for a minute until its reply is final; `asked` is the number of events recorded before it was
   * sent.
   */
  private async requestUntilFinal(
    path: string,
    body: object | null,
    isFinal: (reply: HttpReply) => boolean,
  ): Promise<{ reply: HttpReply; asked: number } | null> {
    const until = this.now + RETRY_PERIOD_MS;
    while (this.now < until) {
      const asked = this.events.length;
      const reply = await this.call('POST', path, body, REQUEST_TIMEOUT_MS);
      if (reply && isFinal(reply)) return { reply, asked };
      await pause(this.cluster.clock, 1000 + 500 * this.random.next());
    }
    return null;
  }

  /** Sends a request to a node or through the load balancer; returns null if there was no response in time. */
  private async call(
    method: string,
    path: string,
    body: object | null,
    withinMs: number,
    node?: string,
  ): Promise<HttpReply | null> {
    const all = [...this.cluster.nodes]
      .filter(
        ([name, n]) =>
          !n.disconnected && !this.cluster.isZoneIsolated(name) && (node === undefined || name === node),
      )
      .map(([, n]) => n);
    const healthy = all.filter((n) => n.node.healthy);
    const candidates = healthy.length > 0 ? healthy : all;
    if (candidates.length === 0) return null;
    const target = this.random.pick(candidates);
    return new Promise((resolve) => {
      const timer = this.cluster.clock.after(withinMs, () => resolve(null));
      void target.api.handle(this.cluster.request(method, path, body)).then((reply) => {
        if (target.stopped.value) return;
        timer.cancel();
        resolve(reply);
      });
    });
  }
}

/** Submissions that must be rejected: the reason, and the changes to a valid one (undefined removes the field). */
const INVALID_SUBMISSIONS: [string, Record<string, unknown>][] = [
  ['a task fits no machine', { cpus: 900 }],
  ['a gang is beyond its team’s limit', { shape: 'ensemble', pieces: 50, cpus: 4 }],
  ['its team is unknown', { owner: 'nobody' }],
  ['no type of it is in its zone', { yard: 'z' }],
  ['it allows no type that there is', { flavors: ['none'] }],
  ['it has no id', { id: undefined }],
  ['it has no number of tasks', { pieces: undefined }],
  ['it has half a task', { pieces: 1.5 }],
  ['its shape is unknown', { shape: 'circle' }],
  ['it does not say whether it may use spot machines', { loaner: undefined }],
  ['it is due in the past', { dueS: -1 }],
];
