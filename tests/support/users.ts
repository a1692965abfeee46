import { pause } from '../../src/clock/clock.js';
import type { Random } from '../../src/emulator/random.js';
import type { Tasks } from '../../src/emulator/tasks.js';
import type { HttpReply } from '../../src/http/server.js';
import type { UserEvent, Violation } from '../../src/load/check.js';
import { type JobSpec, readJob, readStatus } from '../../src/wire/users.js';
import type { FakeCluster } from './cluster.js';

const SUBMIT_MS = 5000;
const POLL_WAIT_MS = 2000;
const POLL_MS = 5000;
const GIVE_UP_MS = 60_000;
/** A job about which nobody has answered a question for so long, all troubles over, counts as forgotten. */
const SILENT_MS = 75_000;

interface Known {
  spec: JobSpec;
  accepted: boolean;
  over: boolean;
  answeredAt: number;
}

/** Users of a scripted cluster, as the protocol describes them; what they did and heard is kept for the checker. */
export class Users {
  readonly events: UserEvent[] = [];
  readonly jobs = new Map<string, Known>();

  constructor(
    private readonly c: FakeCluster,
    private readonly tasks: Tasks,
    private readonly random: Random,
  ) {}

  /** Submits a job with all retries, asks how it stands until it is over, and now and then afterwards. */
  async submit(wire: object, runS: number): Promise<void> {
    const spec = readJob(wire);
    if (typeof spec === 'string') throw new Error(spec);
    const { id } = spec;
    const known: Known = { spec, accepted: false, over: false, answeredAt: this.now };
    this.jobs.set(id, known);
    this.tasks.upload({ spec, runS, fails: false });
    this.note(id, 'submitted');
    const reply = await this.insist('/api/jobs', wire, (r) => [200, 201, 400, 422].includes(r.status));
    if (!reply) return;
    if (reply.status >= 400) {
      this.note(id, 'refused');
      return;
    }
    known.accepted = true;
    known.answeredAt = this.now;
    this.note(id, 'accepted');
    for (;;) {
      await pause(this.c.clock, (known.over ? 3 : 1) * POLL_MS * this.random.between(0.2, 1.2));
      await this.poll(known);
    }
  }

  private async poll(known: Known): Promise<void> {
    const { id } = known.spec;
    const heard = this.finals(id);
    const r = await this.call('GET', `/api/jobs/${id}`, null, POLL_WAIT_MS);
    if (r?.status === 404) this.note(id, 'unknown');
    if (r?.status !== 200) return;
    const view = readStatus(JSON.parse(JSON.stringify(r.body)));
    if (!view) throw new Error('an answer that cannot be read');
    known.answeredAt = this.now;
    const over = view.status === 'done' || view.status === 'cancelled';
    // Told by the answer to another request meanwhile: this one was asked before, and either order is right.
    if (!over && this.finals(id) > heard) return;
    known.over ||= over;
    this.events.push({ at: this.now, job: id, kind: 'told', status: view.status });
  }

  /** How often the user was told that the job is over. */
  private finals(id: string): number {
    const final = (e: UserEvent) => e.kind === 'cancelled' || e.status === 'done' || e.status === 'cancelled';
    return this.events.filter((e) => e.job === id && final(e)).length;
  }

  async cancel(id: string): Promise<void> {
    if (!this.jobs.get(id)?.accepted) return;
    this.note(id, 'cancel asked');
    const reply = await this.insist(`/api/jobs/${id}/abort`, null, (r) => r.status === 200);
    const status = (reply?.body as { status?: string } | undefined)?.status;
    if (status === 'aborted') this.note(id, 'cancelled');
    else if (status === 'done') this.events.push({ at: this.now, job: id, kind: 'told', status: 'done' });
  }

  /** Jobs of which nobody has said anything for too long, and that have not ended although nobody wanted them cancelled. */
  forgotten(since: number, atEnd: boolean): Violation[] {
    const found: Violation[] = [];
    const asked = new Set(this.events.filter((e) => e.kind === 'cancel asked').map((e) => e.job));
    for (const [id, k] of this.jobs) {
      if (!k.accepted || k.over) continue;
      if (this.now - Math.max(since, k.answeredAt) > SILENT_MS)
        found.push({ rule: 'forgotten', at: this.now, what: `no question about ${id} is answered` });
      else if (atEnd && !asked.has(id) && k.spec.kind !== 'service')
        found.push({ rule: 'never done', at: this.now, what: `${id} was accepted and is not done` });
    }
    return found;
  }

  private get now(): number {
    return this.c.clock.now();
  }

  private note(job: string, kind: UserEvent['kind']): void {
    this.events.push({ at: this.now, job, kind });
  }

  /** Repeats a request until the answer is one to keep, for a minute. */
  private async insist(
    path: string,
    body: object | null,
    good: (r: HttpReply) => boolean,
  ): Promise<HttpReply | null> {
    const until = this.now + GIVE_UP_MS;
    while (this.now < until) {
      const r = await this.call('POST', path, body, SUBMIT_MS);
      if (r && good(r)) return r;
      await pause(this.c.clock, 1000 + 500 * this.random.next());
    }
    return null;
  }

  /** A request by way of the load balancer; null when there was no answer in time. */
  private async call(
    method: string,
    path: string,
    body: object | null,
    withinMs: number,
  ): Promise<HttpReply | null> {
    const all = [...this.c.nodes.values()].filter((n) => !n.cut);
    const healthy = all.filter((n) => n.node.healthy);
    const among = healthy.length > 0 ? healthy : all;
    if (among.length === 0) return null;
    const to = this.random.pick(among);
    return new Promise((resolve) => {
      const timer = this.c.clock.after(withinMs, () => resolve(null));
      void to.api.handle(this.c.request(method, path, body)).then((r) => {
        if (to.stopped.value) return;
        timer.cancel();
        resolve(r);
      });
    });
  }
}
