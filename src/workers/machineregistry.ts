// This package: the machines of a shard as they report, and the orders to them.
import type { Clock } from '../clock/clock.js';
import { DRIFT } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { HttpFailure, type Requester } from '../http/client.js';
import {
  type Order,
  type Report,
  readReport,
  WORKER_PATHS,
  writeCommands,
  writeOrders,
} from '../wire/workers.js';
import { type Held, heldKey, type Machine, nextReportMs, type Weight, weigh } from './machine.js';

/** How it became sure that a task is not on its machine. */
export type GoneWhy =
  | 'never sent'
  | 'not executed'
  | 'not reported'
  | 'new session'
  | 'lease over'
  | 'machine gone';

export interface FleetHooks {
  /** True while this node surely holds the shard. */
  entitled(): boolean;
  /** Makes a newer token durable; returns the new version of the machine's record. */
  renewRecord(m: Machine): Promise<number>;
  /** A machine reports a task that was not known to be there. */
  found(h: Held): void;
  /** State or cause of a known task changed. */
  changed(h: Held): void;
  /** A task is surely no longer on its machine. */
  gone(h: Held, why: GoneWhy): void;
  /** A machine has begun a session that was not known. */
  session(m: Machine): void;
  /**
   * Says where tasks may be started before their orders are sent. Null when nothing has to be waited for; else true once
   * they may be sent, false when they must not be any more.
   */
  announce(held: readonly Held[]): Promise<boolean> | null;
  /** Something changed that the plan should take in. */
  requestPlan(): void;
}

export interface StartOrder {
  job: string;
  index: number;
  attempt: number;
}

type Via = 'report' | 'command';

const COMMAND_MS = 3000;
const SHOW_MS = 2000;
const CONTACT_EVERY_MS = 1500;
const LEASE_MARGIN_MS = 500;
/**
 * So many answers in a row may go to a machine whose reports do not show the present token. One that still does not is deaf:
 * answered on, it would count as renewed for ever, and all that may be on it would be waited for.
 */
const UNHEARD_MOST = 2;
const UNHEARD_LEASES = 2;

/** Dealings with the machines of one shard. */
export class Fleet {
  readonly machines = new Map<string, Machine>();
  /** Tasks that are to stop and have not exited, as far as is known. */
  private readonly stopping = new Set<Held>();
  private readonly contacting = new Set<string>();
  private readonly contactedAt = new Map<string, number>();
  /** Machines whose turn to be contacted is still to come. */
  private readonly awaitingContact = new Set<string>();
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly times: { reportS: number; leaseS: number },
    private readonly log: Log,
    private readonly hooks: FleetHooks,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  private get live(): boolean {
    return !this.stopped && this.hooks.entitled();
  }

  /** The orders for a reporting machine, or null when the report must not be answered with 200. */
  report(m: Machine, r: Report): object | null {
    if (!this.live) return null;
    const absorbed = this.absorb(m, r, 'report');
    if (absorbed === 'late' || absorbed === 'foreign') return null;
    if (absorbed === 'untokened') {
      void this.contact(m, r.session);
      // Now and then it is answered all the same: it may hear by now, and be out of reach for orders alone.
      const lately = this.clock.now() - m.givenAt < this.times.leaseS * 1000 * UNHEARD_LEASES;
      if (++m.unheard > UNHEARD_MOST && lately) return null;
    }
    m.answeredAt = this.clock.now();
    m.givenAt = m.answeredAt;
    return writeOrders(m.token, absorbed === 'ok' ? this.pendingOrders(m) : []);
  }

  /** Starts tasks on a machine that has reported under the present token. */
  start(m: Machine, starts: StartOrder[]): Held[] {
    const now = this.clock.now();
    const held = starts.map((s): Held => {
      const h: Held = {
        ...s,
        machine: m,
        state: 'fetching',
        cause: null,
        saved: false,
        phase: 'sending',
        token: m.token,
        orderedAt: now,
        runningAt: null,
        exitedAt: null,
        stop: null,
        settled: false,
      };
      m.held.set(keyOf(h), h);
      return h;
    });
    m.idleSince = null;
    void this.sendStarts(m, held);
    return held;
  }

  /** Stops a task; a later call can only shorten the grace. */
  halt(h: Held, graceS: number): void {
    const now = this.clock.now();
    if (h.state === 'exited') return;
    if (h.stop) {
      if (graceS < h.stop.graceS) h.stop = { graceS, since: h.stop.since, sentAt: 0, hard: graceS === 0 };
    } else {
      h.stop = { graceS, since: now, sentAt: 0, hard: graceS === 0 };
    }
    this.stopping.add(h);
  }

  /** Sends stops that have not been sent, or long ago, straight to the machines. */
  pushStops(): void {
    const now = this.clock.now();
    const due = new Map<Machine, Held[]>();
    for (const h of this.stopping) {
      const m = h.machine;
      if (h.state === 'exited' || this.machines.get(m.id) !== m || !m.held.has(keyOf(h))) {
        this.stopping.delete(h);
        continue;
      }
      if (!h.stop || now - h.stop.sentAt <= 2000 || !m.synced || !m.addr) continue;
      const list = due.get(m);
      if (list) list.push(h);
      else due.set(m, [h]);
    }
    for (const [m, stops] of due) {
      if (!this.live) return;
      for (const h of stops) h.stop!.sentAt = now;
      void this.command(m, stops.map(stopOrder)).catch(() => undefined);
    }
  }

  /** What time alone decides: leases that ran out, machines to be asked. */
  tick(): void {
    const now = this.clock.now();
    for (const m of this.machines.values()) {
      // A machine that still boots has no lease to run out, and stays in the plan.
      const begun = m.heardAt !== null || m.unknown;
      if (!m.lost && begun && now > this.leaseEnd(m)) this.lose(m);
      if (m.unknown && now > this.unknownUntil(m)) {
        m.unknown = false;
        this.hooks.requestPlan();
      }
      // One that was taken over and could not be asked at first (no socket free, no answer) is asked again as well.
      // So is one that gave no answer, until it gives one: its reports alone do not show that it hears.
      const asked = !m.synced || m.unreachableAt !== null;
      if (asked && m.addr && !m.lost && begun && !this.awaitingContact.has(m.id)) void this.contact(m, null);
    }
  }

  /**
   * Another node was reported to by a machine of this shard and sent it here. As long as it neither comes nor answers it gets
   * nothing new: it may hear no answers, which is a fault of its own.
   */
  reportedElsewhere(id: string): void {
    const m = this.machines.get(id);
    if (!m?.synced || m.heardAt === null || this.clock.now() - m.heardAt <= nextReportMs(this.times.reportS))
      return;
    m.unreachableAt ??= this.clock.now();
    void this.contact(m, null);
  }

  /** When the machine has surely dropped all that it held, unless it reports before. */
  leaseEnd(m: Machine): number {
    return this.leaseFrom(m.answeredAt);
  }

  /**
   * When the machine has surely dropped all that owners before this one have started there: by the end of any session that
   * began under them. That one lasts no longer than a lease from the change of owner, or from the last answer of this owner's,
   * whatever sessions have begun since.
   */
  unknownUntil(m: Machine): number {
    return this.leaseFrom(m.givenAt);
  }

  private leaseFrom(at: number): number {
    return at + this.times.leaseS * 1000 * (1 + 2 * DRIFT) + LEASE_MARGIN_MS;
  }

  /** The machine is no more. */
  remove(m: Machine): void {
    this.machines.delete(m.id);
    this.contactedAt.delete(m.id);
    this.dropAll(m, 'machine gone');
    m.unknown = false;
  }

  /**
   * Asks a machine for its report under the present token. Until it has given one, a command of an earlier owner that
   * the network holds back could still be executed there.
   */
  async contact(m: Machine, session: number | null): Promise<void> {
    const last = this.contactedAt.get(m.id) ?? Number.NEGATIVE_INFINITY;
    if ((m.synced && m.unreachableAt === null) || !m.addr || this.contacting.has(m.id)) return;
    if (session === null && this.clock.now() - last < CONTACT_EVERY_MS) return;
    this.contacting.add(m.id);
    this.contactedAt.set(m.id, this.clock.now());
    try {
      let shift = session ?? (m.synced ? m.session : null);
      if (shift === null) {
        const shown = await this.http.request(m.addr, 'GET', WORKER_PATHS.show, null, SHOW_MS);
        const r = readReport(shown.body);
        if (!r || r.machine !== m.id) return;
        shift = r.session;
      }
      if (this.live) await this.command(m, [], shift);
    } catch {
      // It is asked again, and its own reports come as well. Until it answers, nothing is planned on it.
      if (m.heardAt !== null) m.unreachableAt = this.clock.now();
    } finally {
      this.contacting.delete(m.id);
    }
  }

  /**
   * Asks machines that were taken over for their reports, so many at once, in this order. With the session that the former
   * owner knew one question is enough; a machine that has another says so.
   */
  async greet(
    machines: readonly Machine[],
    sessionOf: (m: Machine) => number | null,
    atOnce: number,
  ): Promise<void> {
    const waiting = [...machines];
    for (const m of waiting) this.awaitingContact.add(m.id);
    const one = async () => {
      for (let m = waiting.shift(); m; m = waiting.shift()) {
        this.awaitingContact.delete(m.id);
        if (this.stopped) return;
        const guess = sessionOf(m);
        await this.contact(m, guess);
        if (guess !== null && !m.synced && !this.stopped && this.machines.get(m.id) === m)
          await this.contact(m, m.session > 0 ? m.session : null);
      }
    };
    await Promise.all(Array.from({ length: Math.min(atOnce, waiting.length) }, one));
  }

  private lose(m: Machine): void {
    if (m.heardAt === null) {
      // Taken over and never heard of: what it may have held is gone, and it may well still boot.
      m.unknown = false;
      this.hooks.requestPlan();
      return;
    }
    this.log.info({ machine: m.id, held: m.held.size }, 'machine lost: its lease ran out');
    m.lost = true;
    m.synced = false;
    m.unknown = false;
    // What its present session still reports is from before its lease ended.
    if (m.session > 0) m.minSession = m.session + 1;
    this.dropAll(m, 'lease over');
    this.hooks.requestPlan();
  }

  private dropAll(m: Machine, why: GoneWhy): void {
    const all = [...m.held.values()];
    m.held.clear();
    for (const h of all) if (h.state !== 'exited' || !h.settled) this.hooks.gone(h, why);
  }

  private async sendStarts(m: Machine, held: Held[]): Promise<void> {
    const announced = this.hooks.announce(held);
    if (announced !== null) {
      const clear = await announced;
      held = this.stillWanted(m, held, clear && this.live);
      if (held.length === 0) return;
      // What it is sent under is what makes it void later.
      for (const h of held) h.token = m.token;
    }
    const orders = held.map((h): Order => ({ op: 'start', job: h.job, index: h.index, attempt: h.attempt }));
    try {
      const executed = await this.command(m, orders, m.session, () => {
        for (const h of held) if (h.phase === 'sending') h.phase = 'known';
      });
      if (executed) m.unreachableAt = null;
      else this.refuse(held, 'not executed');
    } catch (error) {
      m.unreachableAt = this.clock.now();
      if (error instanceof HttpFailure && !error.sent) {
        this.refuse(held, 'never sent');
        return;
      }
      // The command may be executed at any later time while token and session match. Only a newer token, or the end of
      // the session, makes sure that it is not.
      for (const h of held) if (h.phase === 'sending') h.phase = 'unsure';
      this.log.info({ machine: m.id, tasks: held.length }, 'start unanswered, renewing the token');
      void this.renewToken(m);
    }
  }

  /**
   * Of starts that had to wait before they could be sent, those that may still be. Meanwhile the machine may have lost its lease
   * or begun a new session, so that the task counts as gone and may be starting elsewhere, or the task may be to stop.
   */
  private stillWanted(m: Machine, held: Held[], mayStart: boolean): Held[] {
    const usable = mayStart && m.synced && !m.lost && !m.leaving && m.noticeUntil === null;
    const there = held.filter((h) => this.machines.get(m.id) === m && m.held.get(keyOf(h)) === h);
    const wanted = usable ? there.filter((h) => h.stop === null) : [];
    const not = there.filter((h) => !wanted.includes(h));
    if (not.length > 0) this.refuse(not, 'never sent');
    return wanted;
  }

  private refuse(held: Held[], why: GoneWhy): void {
    for (const h of held) {
      if (h.phase !== 'sending') continue;
      h.machine.held.delete(keyOf(h));
      this.hooks.gone(h, why);
    }
    this.hooks.requestPlan();
  }

  private async renewToken(m: Machine): Promise<void> {
    while (
      !this.stopped &&
      this.machines.get(m.id) === m &&
      [...m.held.values()].some((h) => h.phase === 'unsure')
    ) {
      try {
        const version = await this.hooks.renewRecord(m);
        m.version = version;
        m.token = Math.max(m.token, version);
        m.synced = false;
        void this.contact(m, null);
        return;
      } catch {
        await new Promise<void>((resolve) => {
          this.clock.after(1000, resolve);
        });
      }
    }
  }

  /** True when executed, false when the machine surely did not execute it. */
  private async command(
    m: Machine,
    orders: Order[],
    session = m.session,
    executed: () => void = () => undefined,
  ): Promise<boolean> {
    const body = writeCommands(m.token, session, orders);
    const answer = await this.http.request(m.addr, 'POST', WORKER_PATHS.commands, body, COMMAND_MS);
    const r = readReport(answer.body);
    if (answer.status === 200) executed();
    if (r && r.machine === m.id && this.machines.get(m.id) === m && !this.stopped)
      this.absorb(m, r, 'command');
    return answer.status === 200;
  }

  private absorb(m: Machine, r: Report, via: Via): Weight {
    const weight = weigh(m, r);
    if (weight === 'late' || weight === 'foreign') return weight;
    const now = this.clock.now();
    const fresh = r.session > m.session;
    // The lease of a session counts from its beginning, which is known only to lie before this report. A session that shows
    // itself in the answer to a command outlasts the last answered report, which was of the session before it.
    if (fresh) m.answeredAt = Math.max(m.answeredAt, now);
    if (fresh && m.session > 0) {
      // A new session begins with no tasks.
      this.dropAll(m, 'new session');
    }
    m.session = r.session;
    if (fresh) this.hooks.session(m);
    m.seq = r.seq;
    m.addr = r.addr;
    if (m.heardAt === null) {
      // Until now it booted; only from here on does it stand idle.
      m.idleSince = now;
      this.hooks.requestPlan();
    }
    const stays = m.heardAt !== null && now - m.heardAt <= nextReportMs(this.times.reportS);
    if (via === 'command' || stays) m.unreachableAt = null;
    m.heardAt = now;
    if (m.lost) {
      m.lost = false;
      m.answeredAt = now;
      this.hooks.requestPlan();
    }
    if (r.noticeS !== null) {
      const until = now + r.noticeS * 1000;
      if (m.noticeUntil === null) this.hooks.requestPlan();
      m.noticeUntil = m.noticeUntil === null ? until : Math.min(m.noticeUntil, until);
    }
    if (weight === 'untokened') return weight;
    m.unheard = 0;
    if (!m.synced) {
      m.synced = true;
      this.hooks.requestPlan();
    }
    this.reconcile(m, r, via);
    m.unknown = false;
    return 'ok';
  }

  private reconcile(m: Machine, r: Report, via: Via): void {
    const now = this.clock.now();
    const seen = new Set<string>();
    for (const t of r.tasks) {
      const key = heldKey(t.job, t.index, t.attempt);
      seen.add(key);
      let h = m.held.get(key);
      const isNew = !h;
      if (!h) {
        h = {
          job: t.job,
          index: t.index,
          attempt: t.attempt,
          machine: m,
          state: t.state,
          cause: t.cause,
          saved: t.saved,
          phase: 'known',
          token: m.token,
          orderedAt: now,
          runningAt: t.state === 'running' ? now : null,
          exitedAt: t.state === 'exited' ? now : null,
          stop: null,
          settled: false,
        };
        m.held.set(key, h);
        this.hooks.found(h);
        continue;
      }
      if (h.phase !== 'sending') h.phase = 'known';
      if (!isNew && (h.state !== t.state || h.cause !== t.cause)) {
        h.state = t.state;
        h.cause = t.cause;
        h.saved = t.saved;
        if (t.state === 'running' && h.runningAt === null) h.runningAt = now;
        if (t.state === 'exited') h.exitedAt = now;
        this.hooks.changed(h);
      }
    }
    for (const [key, h] of [...m.held]) {
      if (seen.has(key)) continue;
      if (h.phase === 'sending') continue;
      // An answer under way to the worker is not yet in what a direct command returns.
      if (h.phase === 'answer' && via === 'command') continue;
      if (h.phase === 'unsure' && h.token >= m.token) continue;
      m.held.delete(key);
      if (!(h.state === 'exited' && h.settled)) this.hooks.gone(h, 'not reported');
    }
    if (m.held.size === 0) m.idleSince ??= now;
    else m.idleSince = null;
  }

  private pendingOrders(m: Machine): Order[] {
    const orders: Order[] = [];
    for (const h of m.held.values()) {
      if (h.state === 'exited') {
        if (h.settled) orders.push({ op: 'forget', job: h.job, index: h.index, attempt: h.attempt });
      } else if (h.stop) {
        orders.push(stopOrder(h));
      }
    }
    return orders;
  }
}

function keyOf(h: Held): string {
  return heldKey(h.job, h.index, h.attempt);
}

function stopOrder(h: Held): Order {
  return { op: 'stop', job: h.job, index: h.index, attempt: h.attempt, graceS: h.stop?.graceS ?? 0 };
}
