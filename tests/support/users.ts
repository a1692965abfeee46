import { pause } from '../../src/clock/clock.js';
import type { Random } from '../../src/emulator/random.js';
import type { TaskEvent, Tasks } from '../../src/emulator/tasks.js';
import type { Worker } from '../../src/emulator/worker.js';
import type { HttpReply } from '../../src/http/server.js';
import type { UserEvent, Violation } from '../../src/load/history.js';
import { type JobSpec, readJob, readStatus } from '../../src/wire/users.js';
import { type FakeCluster, job } from './cluster.js';

const SUBMIT_MS = 5000;
const POLL_WAIT_MS = 2000;
const POLL_MS = 5000;
const GIVE_UP_MS = 60_000;
/** A job about which nobody has answered a question for so long, all troubles over, counts as forgotten. */
const SILENT_MS = 75_000;
/** Who looks closely asks all nodes so often, the rounds no further apart than this. */
const LOOKS = 3;
const LOOK_MS = 30;
const ODD_MS = 1300;

interface Known {
  spec: JobSpec;
  wire: object;
  accepted: boolean;
  over: boolean;
  cancelAsked: boolean;
  answeredAt: number;
}

/** Users of a scripted cluster, as the protocol describes them; what they did and heard is kept for the checker. */
export class Users {
  readonly events: UserEvent[] = [];
  readonly jobs = new Map<string, Known>();
  /** They ask at all nodes and submit again, within milliseconds of each acceptance, end and confirmation. */
  looking = true;
  private made = 0;

  constructor(
    private readonly c: FakeCluster,
    private readonly tasks: Tasks,
    private readonly random: Random,
  ) {}

  /** Submits a job with all retries, asks how it stands until it is over, and now and then afterwards. */
  async submit(wire: object, runS: number, cancelAtOnce = false): Promise<void> {
    const spec = readJob(wire);
    if (typeof spec === 'string') throw new Error(spec);
    const { id } = spec;
    const known: Known = {
      spec,
      wire,
      accepted: false,
      over: false,
      cancelAsked: false,
      answeredAt: this.now,
    };
    this.jobs.set(id, known);
    this.tasks.upload({ spec, runS, fails: false });
    this.note(id, 'submitted');
    const heard = await this.insist('/api/jobs', wire, (r) => [200, 201, 400, 422].includes(r.status));
    if (!heard) return;
    if (heard.reply.status >= 400) {
      this.note(id, 'refused', { asked: heard.asked });
      return;
    }
    known.accepted = true;
    known.answeredAt = this.now;
    this.note(id, 'accepted', { asked: heard.asked });
    if (cancelAtOnce) void this.cancel(id);
    void this.lookClosely(known);
    for (;;) {
      await pause(this.c.clock, (known.over ? 3 : 1) * POLL_MS * this.random.between(0.2, 1.2));
      await this.poll(known);
    }
  }

  /** Asks how a job stands, at a node or by way of the load balancer. */
  private async poll(known: Known, node?: string): Promise<void> {
    const { id } = known.spec;
    const asked = this.events.length;
    const r = await this.call('GET', `/api/jobs/${id}`, null, POLL_WAIT_MS, node);
    if (r?.status === 404) this.note(id, 'unknown', { asked });
    if (r?.status === 200) this.told(known, r, asked);
  }

  /** Takes an answer that says how a job stands. */
  private told(known: Known, r: HttpReply, asked: number): void {
    const view = readStatus(JSON.parse(JSON.stringify(r.body)));
    if (!view) throw new Error('an answer that cannot be read');
    known.answeredAt = this.now;
    this.note(known.spec.id, 'told', { status: view.status, asked });
    if (view.status !== 'done' && view.status !== 'cancelled') return;
    const first = !known.over;
    known.over = true;
    if (first) void this.lookClosely(known);
  }

  /** Asks all nodes, submits the job again, and cancels it again when that was wanted, again and again within milliseconds. */
  private async lookClosely(known: Known): Promise<void> {
    if (!this.looking) return;
    for (let i = 0; i < LOOKS; i++) {
      for (const node of [...this.c.nodes.keys()]) {
        const what = this.random.next();
        if (what < 0.3) void this.again(known, node);
        else if (known.cancelAsked && what < 0.5) void this.abort(known, node);
        else void this.poll(known, node);
      }
      await pause(this.c.clock, this.random.between(1, LOOK_MS));
    }
  }

  private async again(known: Known, node?: string): Promise<void> {
    const { id } = known.spec;
    const asked = this.events.length;
    const r = await this.call('POST', '/api/jobs', known.wire, SUBMIT_MS, node);
    if (r?.status === 400 || r?.status === 422) this.note(id, 'refused', { asked });
    if (r?.status === 200 || r?.status === 201) this.told(known, r, asked);
  }

  private async abort(known: Known, node?: string): Promise<void> {
    const asked = this.events.length;
    this.cancelled(
      known,
      await this.call('POST', `/api/jobs/${known.spec.id}/abort`, null, SUBMIT_MS, node),
      asked,
    );
  }

  private cancelled(known: Known, reply: HttpReply | null, asked: number): void {
    const { id } = known.spec;
    if (reply?.status === 404) this.note(id, 'unknown', { asked });
    if (reply?.status !== 200) return;
    if ((reply.body as { status?: string }).status === 'aborted') {
      this.note(id, 'cancelled', { asked });
      const first = !known.over;
      known.over = true;
      if (first) void this.lookClosely(known);
    } else this.told(known, reply, asked);
  }

  async cancel(id: string): Promise<void> {
    const known = this.jobs.get(id);
    if (!known?.accepted) return;
    known.cancelAsked = true;
    this.note(id, 'cancel asked');
    const heard = await this.insist(
      `/api/jobs/${id}/abort`,
      null,
      (r) => r.status === 200 || r.status === 404,
    );
    if (heard) this.cancelled(known, heard.reply, heard.asked);
  }

  /** Calls off a share of the jobs that run, within a fifth of a second; returns the machines that have tasks of them. */
  cancelNow(share: number): Worker[] {
    const running = new Set(this.c.workers.flatMap((w) => w.attempts.map((a) => a.job)));
    const off = [...this.jobs.values()].filter(
      (j) => j.accepted && !j.over && !j.cancelAsked && running.has(j.spec.id) && this.random.chance(share),
    );
    for (const j of off) this.c.clock.after(this.random.between(0, 200), () => void this.cancel(j.spec.id));
    const ids = new Set(off.map((j) => j.spec.id));
    return this.c.workers.filter((w) => w.attempts.some((a) => ids.has(a.job) && a.state !== 'exited'));
  }

  /** Submits so many jobs at once, urgent and not. */
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
      void this.submit(job(`wk-burst-${++this.made}`, change), runS);
    }
  }

  /** From now on that share of the jobs is called off at the moment at which their last task completes; returns what ends it. */
  cancelAtEnd(share: number): () => void {
    this.tasks.noted = (e: TaskEvent) => {
      const known = this.jobs.get(e.job);
      if (e.kind !== 'off' || e.cause !== 'done' || !known || known.cancelAsked) return;
      const done = new Set(
        this.tasks.history.filter((x) => x.job === e.job && x.cause === 'done').map((x) => x.index),
      );
      if (known.spec.kind !== 'gang' && done.size < known.spec.tasks) return;
      if (!this.random.chance(share)) return;
      this.c.clock.after(this.random.between(0, 400), () => void this.cancel(e.job));
    };
    return () => {
      this.tasks.noted = null;
    };
  }

  /** Repeats submissions, cancels jobs that are over, and sends what can never run or is malformed, until it is ended. */
  odd(): () => void {
    let going = true;
    const loop = async () => {
      while (going) {
        await pause(this.c.clock, ODD_MS * this.random.between(0.4, 1.6));
        const known = [...this.jobs.values()].filter((j) => j.accepted);
        if (known.length > 0) {
          const one = this.random.pick(known);
          if (one.over) void this.abort(one);
          else void this.again(one);
        }
        void this.submitUnfit(this.random.pick(UNFIT));
      }
    };
    void loop();
    return () => {
      going = false;
    };
  }

  private async submitUnfit([why, change]: (typeof UNFIT)[number]): Promise<void> {
    const id = `wk-odd-${++this.made}`;
    const wire: Record<string, unknown> = { ...job(id), ...change };
    for (const [field, value] of Object.entries(change)) if (value === undefined) delete wire[field];
    const r = await this.call('POST', '/api/jobs', wire, SUBMIT_MS);
    if (r?.status === 200 || r?.status === 201) this.note(id, 'accepted', { unfit: why });
  }

  /** Jobs of which nobody has said anything for too long, and that have not ended although nobody wanted them cancelled. */
  forgotten(since: number, atEnd: boolean): Violation[] {
    const found: Violation[] = [];
    for (const [id, k] of this.jobs) {
      if (!k.accepted || k.over) continue;
      if (this.now - Math.max(since, k.answeredAt) > SILENT_MS)
        found.push({ rule: 'forgotten', at: this.now, what: `no question about ${id} is answered` });
      else if (atEnd && !k.cancelAsked && k.spec.kind !== 'service')
        found.push({ rule: 'never done', at: this.now, what: `${id} was accepted and is not done` });
    }
    return found;
  }

  private get now(): number {
    return this.c.clock.now();
  }

  private note(job: string, kind: UserEvent['kind'], more: Partial<UserEvent> = {}): void {
    this.events.push({ at: this.now, job, kind, ...more });
  }

  /** Repeats a request until the answer is one to keep, for a minute; `asked` tells what had been heard when it was sent. */
  private async insist(
    path: string,
    body: object | null,
    good: (r: HttpReply) => boolean,
  ): Promise<{ reply: HttpReply; asked: number } | null> {
    const until = this.now + GIVE_UP_MS;
    while (this.now < until) {
      const asked = this.events.length;
      const reply = await this.call('POST', path, body, SUBMIT_MS);
      if (reply && good(reply)) return { reply, asked };
      await pause(this.c.clock, 1000 + 500 * this.random.next());
    }
    return null;
  }

  /** A request to a node, or by way of the load balancer; null when there was no answer in time. */
  private async call(
    method: string,
    path: string,
    body: object | null,
    withinMs: number,
    node?: string,
  ): Promise<HttpReply | null> {
    const all = [...this.c.nodes]
      .filter(([name, n]) => !n.cut && !this.c.zoneIsCut(name) && (node === undefined || name === node))
      .map(([, n]) => n);
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

/** Submissions that must not be accepted: why, and what is changed in a good one (undefined: left out). */
const UNFIT: [string, Record<string, unknown>][] = [
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
