// This package: the machines of a shard as they report, and the orders to them.
import type { Clock } from '../clock/clock.js';
import { MAX_CLOCK_DRIFT } from '../clock/clock.js';
import type { Log } from '../config/log.js';
import { HttpRequestError, type Requester } from '../http/client.js';
import {
  type Heartbeat,
  readHeartbeat,
  WORKER_PATHS,
  type WorkerCommand,
  writeCommands,
  writeHeartbeatResponse,
} from '../wire/workers.js';
import {
  attemptKey,
  classifyHeartbeat,
  type HeartbeatValidity,
  type Machine,
  nextHeartbeatWithinMs,
  type TaskAttempt,
} from './machine.js';

/** How it became sure that a task is not on its machine. */
export type GoneReason =
  | 'never sent'
  | 'not executed'
  | 'not reported'
  | 'new session'
  | 'lease over'
  | 'machine gone';

export interface MachineRegistryHooks {
  /** True while this node surely holds the shard. */
  holdsShard(): boolean;
  /** Makes a newer token durable; returns the new version of the machine's record. */
  renewFencingToken(m: Machine): Promise<number>;
  /** A machine reports a task that was not known to be there. */
  onAttemptFound(h: TaskAttempt): void;
  /** State or cause of a known task changed. */
  onAttemptChanged(h: TaskAttempt): void;
  /** A task is surely no longer on its machine. */
  onAttemptGone(h: TaskAttempt, why: GoneReason): void;
  /** A machine has begun a session that was not known. */
  onIncarnation(m: Machine): void;
  /**
   * Says where tasks may be started before their orders are sent. Null when nothing has to be waited for; else true once
   * they may be sent, false when they must not be any more.
   */
  announceStarts(held: readonly TaskAttempt[]): Promise<boolean> | null;
  /** Something changed that the plan should take in. */
  requestPlan(): void;
}

export interface TaskStart {
  job: string;
  index: number;
  attempt: number;
}

type HeartbeatChannel = 'report' | 'command';

const COMMAND_TIMEOUT_MS = 3000;
const STATUS_TIMEOUT_MS = 2000;
const RECONCILE_INTERVAL_MS = 1500;
const LEASE_MARGIN_MS = 500;
/**
 * So many answers in a row may go to a machine whose reports do not show the present token. One that still does not is deaf:
 * answered on, it would count as renewed for ever, and all that may be on it would be waited for.
 */
const MAX_UNCONFIRMED_RESPONSES = 2;
const UNCONFIRMED_RESPONSE_LEASES = 2;

/** Dealings with the machines of one shard. */
export class MachineRegistry {
  readonly machines = new Map<string, Machine>();
  /** Tasks that are to stop and have not exited, as far as is known. */
  private readonly stopping = new Set<TaskAttempt>();
  private readonly reconciling = new Set<string>();
  private readonly reconcileStartedAt = new Map<string, number>();
  /** Machines whose turn to be contacted is still to come. */
  private readonly awaitingReconciliation = new Set<string>();
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly times: { reportS: number; leaseS: number },
    private readonly log: Log,
    private readonly hooks: MachineRegistryHooks,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  private get isActive(): boolean {
    return !this.stopped && this.hooks.holdsShard();
  }

  /** The orders for a reporting machine, or null when the report must not be answered with 200. */
  onHeartbeat(m: Machine, r: Heartbeat): object | null {
    if (!this.isActive) return null;
    const absorbed = this.applyHeartbeat(m, r, 'report');
    if (absorbed === 'late' || absorbed === 'foreign') return null;
    if (absorbed === 'untokened') {
      void this.reconcile(m, r.incarnation);
      // Now and then it is answered all the same: it may hear by now, and be out of reach for orders alone.
      const lately =
        this.clock.now() - m.lastAcknowledgedAt < this.times.leaseS * 1000 * UNCONFIRMED_RESPONSE_LEASES;
      if (++m.unconfirmedResponses > MAX_UNCONFIRMED_RESPONSES && lately) return null;
    }
    m.leaseRenewedAt = this.clock.now();
    m.lastAcknowledgedAt = m.leaseRenewedAt;
    return writeHeartbeatResponse(m.fencingToken, absorbed === 'ok' ? this.pendingCommands(m) : []);
  }

  /** Starts tasks on a machine that has reported under the present token. */
  startTasks(m: Machine, starts: TaskStart[]): TaskAttempt[] {
    const now = this.clock.now();
    const held = starts.map((s): TaskAttempt => {
      const h: TaskAttempt = {
        ...s,
        machine: m,
        state: 'fetching',
        cause: null,
        saved: false,
        startPhase: 'sending',
        fencingToken: m.fencingToken,
        orderedAt: now,
        runningAt: null,
        exitedAt: null,
        stop: null,
        exitRecorded: false,
      };
      m.attempts.set(keyOf(h), h);
      return h;
    });
    m.idleSince = null;
    void this.sendStarts(m, held);
    return held;
  }

  /** Stops a task; a later call can only shorten the grace. */
  stopTask(h: TaskAttempt, graceS: number): void {
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
  sendStops(): void {
    const now = this.clock.now();
    const due = new Map<Machine, TaskAttempt[]>();
    for (const h of this.stopping) {
      const m = h.machine;
      if (h.state === 'exited' || this.machines.get(m.id) !== m || !m.attempts.has(keyOf(h))) {
        this.stopping.delete(h);
        continue;
      }
      if (!h.stop || now - h.stop.sentAt <= 2000 || !m.reconciled || !m.addr) continue;
      const list = due.get(m);
      if (list) list.push(h);
      else due.set(m, [h]);
    }
    for (const [m, stops] of due) {
      if (!this.isActive) return;
      for (const h of stops) h.stop!.sentAt = now;
      void this.sendCommands(m, stops.map(stopCommand)).catch(() => undefined);
    }
  }

  /** What time alone decides: leases that ran out, machines to be asked. */
  tick(): void {
    const now = this.clock.now();
    for (const m of this.machines.values()) {
      // A machine that still boots has no lease to run out, and stays in the plan.
      const begun = m.lastHeartbeatAt !== null || m.mayHoldUnreportedTasks;
      if (!m.leaseExpired && begun && now > this.leaseEnd(m)) this.expireLease(m);
      if (m.mayHoldUnreportedTasks && now > this.unreportedTasksUntil(m)) {
        m.mayHoldUnreportedTasks = false;
        this.hooks.requestPlan();
      }
      // One that was taken over and could not be asked at first (no socket free, no answer) is asked again as well.
      // So is one that gave no answer, until it gives one: its reports alone do not show that it hears.
      const asked = !m.reconciled || m.unreachableAt !== null;
      if (asked && m.addr && !m.leaseExpired && begun && !this.awaitingReconciliation.has(m.id))
        void this.reconcile(m, null);
    }
  }

  /**
   * Another node was reported to by a machine of this shard and sent it here. As long as it neither comes nor answers it gets
   * nothing new: it may hear no answers, which is a fault of its own.
   */
  onHeartbeatElsewhere(id: string): void {
    const m = this.machines.get(id);
    if (
      !m?.reconciled ||
      m.lastHeartbeatAt === null ||
      this.clock.now() - m.lastHeartbeatAt <= nextHeartbeatWithinMs(this.times.reportS)
    )
      return;
    m.unreachableAt ??= this.clock.now();
    void this.reconcile(m, null);
  }

  /** When the machine has surely dropped all that it held, unless it reports before. */
  leaseEnd(m: Machine): number {
    return this.leaseFrom(m.leaseRenewedAt);
  }

  /**
   * When the machine has surely dropped all that owners before this one have started there: by the end of any session that
   * began under them. That one lasts no longer than a lease from the change of owner, or from the last answer of this owner's,
   * whatever sessions have begun since.
   */
  unreportedTasksUntil(m: Machine): number {
    return this.leaseFrom(m.lastAcknowledgedAt);
  }

  private leaseFrom(at: number): number {
    return at + this.times.leaseS * 1000 * (1 + 2 * MAX_CLOCK_DRIFT) + LEASE_MARGIN_MS;
  }

  /** The machine is no more. */
  remove(m: Machine): void {
    this.machines.delete(m.id);
    this.reconcileStartedAt.delete(m.id);
    this.forgetAttempts(m, 'machine gone');
    m.mayHoldUnreportedTasks = false;
  }

  /**
   * Asks a machine for its report under the present token. Until it has given one, a command of an earlier owner that
   * the network holds back could still be executed there.
   */
  async reconcile(m: Machine, incarnation: number | null): Promise<void> {
    const last = this.reconcileStartedAt.get(m.id) ?? Number.NEGATIVE_INFINITY;
    if ((m.reconciled && m.unreachableAt === null) || !m.addr || this.reconciling.has(m.id)) return;
    if (incarnation === null && this.clock.now() - last < RECONCILE_INTERVAL_MS) return;
    this.reconciling.add(m.id);
    this.reconcileStartedAt.set(m.id, this.clock.now());
    try {
      let target = incarnation ?? (m.reconciled ? m.incarnation : null);
      if (target === null) {
        const shown = await this.http.request(m.addr, 'GET', WORKER_PATHS.status, null, STATUS_TIMEOUT_MS);
        const r = readHeartbeat(shown.body);
        if (!r || r.machine !== m.id) return;
        target = r.incarnation;
      }
      if (this.isActive) await this.sendCommands(m, [], target);
    } catch {
      // It is asked again, and its own reports come as well. Until it answers, nothing is planned on it.
      if (m.lastHeartbeatAt !== null) m.unreachableAt = this.clock.now();
    } finally {
      this.reconciling.delete(m.id);
    }
  }

  /**
   * Asks machines that were taken over for their reports, so many at once, in this order. With the session that the former
   * owner knew one question is enough; a machine that has another says so.
   */
  async reconcileAll(
    machines: readonly Machine[],
    sessionOf: (m: Machine) => number | null,
    atOnce: number,
  ): Promise<void> {
    const waiting = [...machines];
    for (const m of waiting) this.awaitingReconciliation.add(m.id);
    const one = async () => {
      for (let m = waiting.shift(); m; m = waiting.shift()) {
        this.awaitingReconciliation.delete(m.id);
        if (this.stopped) return;
        const guess = sessionOf(m);
        await this.reconcile(m, guess);
        if (guess !== null && !m.reconciled && !this.stopped && this.machines.get(m.id) === m)
          await this.reconcile(m, m.incarnation > 0 ? m.incarnation : null);
      }
    };
    await Promise.all(Array.from({ length: Math.min(atOnce, waiting.length) }, one));
  }

  private expireLease(m: Machine): void {
    if (m.lastHeartbeatAt === null) {
      // Taken over and never heard of: what it may have held is gone, and it may well still boot.
      m.mayHoldUnreportedTasks = false;
      this.hooks.requestPlan();
      return;
    }
    this.log.info({ machine: m.id, held: m.attempts.size }, 'machine lost: its lease ran out');
    m.leaseExpired = true;
    m.reconciled = false;
    m.mayHoldUnreportedTasks = false;
    // What its present session still reports is from before its lease ended.
    if (m.incarnation > 0) m.minIncarnation = m.incarnation + 1;
    this.forgetAttempts(m, 'lease over');
    this.hooks.requestPlan();
  }

  private forgetAttempts(m: Machine, why: GoneReason): void {
    const all = [...m.attempts.values()];
    m.attempts.clear();
    for (const h of all) if (h.state !== 'exited' || !h.exitRecorded) this.hooks.onAttemptGone(h, why);
  }

  private async sendStarts(m: Machine, held: TaskAttempt[]): Promise<void> {
    const announced = this.hooks.announceStarts(held);
    if (announced !== null) {
      const clear = await announced;
      held = this.startableAttempts(m, held, clear && this.isActive);
      if (held.length === 0) return;
      // What it is sent under is what makes it void later.
      for (const h of held) h.fencingToken = m.fencingToken;
    }
    const orders = held.map(
      (h): WorkerCommand => ({ op: 'start', job: h.job, index: h.index, attempt: h.attempt }),
    );
    try {
      const executed = await this.sendCommands(m, orders, m.incarnation, () => {
        for (const h of held) if (h.startPhase === 'sending') h.startPhase = 'known';
      });
      if (executed) m.unreachableAt = null;
      else this.rejectStarts(held, 'not executed');
    } catch (error) {
      m.unreachableAt = this.clock.now();
      if (error instanceof HttpRequestError && !error.sent) {
        this.rejectStarts(held, 'never sent');
        return;
      }
      // The command may be executed at any later time while token and session match. Only a newer token, or the end of
      // the session, makes sure that it is not.
      for (const h of held) if (h.startPhase === 'sending') h.startPhase = 'unsure';
      this.log.info({ machine: m.id, tasks: held.length }, 'start unanswered, renewing the token');
      void this.renewFencingToken(m);
    }
  }

  /**
   * Of starts that had to wait before they could be sent, those that may still be. Meanwhile the machine may have lost its lease
   * or begun a new session, so that the task counts as gone and may be starting elsewhere, or the task may be to stop.
   */
  private startableAttempts(m: Machine, held: TaskAttempt[], mayStart: boolean): TaskAttempt[] {
    const usable = mayStart && m.reconciled && !m.leaseExpired && !m.decommissioning && m.reclaimAt === null;
    const there = held.filter((h) => this.machines.get(m.id) === m && m.attempts.get(keyOf(h)) === h);
    const wanted = usable ? there.filter((h) => h.stop === null) : [];
    const not = there.filter((h) => !wanted.includes(h));
    if (not.length > 0) this.rejectStarts(not, 'never sent');
    return wanted;
  }

  private rejectStarts(held: TaskAttempt[], why: GoneReason): void {
    for (const h of held) {
      if (h.startPhase !== 'sending') continue;
      h.machine.attempts.delete(keyOf(h));
      this.hooks.onAttemptGone(h, why);
    }
    this.hooks.requestPlan();
  }

  private async renewFencingToken(m: Machine): Promise<void> {
    while (
      !this.stopped &&
      this.machines.get(m.id) === m &&
      [...m.attempts.values()].some((h) => h.startPhase === 'unsure')
    ) {
      try {
        const version = await this.hooks.renewFencingToken(m);
        m.version = version;
        m.fencingToken = Math.max(m.fencingToken, version);
        m.reconciled = false;
        void this.reconcile(m, null);
        return;
      } catch {
        await new Promise<void>((resolve) => {
          this.clock.after(1000, resolve);
        });
      }
    }
  }

  /** True when executed, false when the machine surely did not execute it. */
  private async sendCommands(
    m: Machine,
    orders: WorkerCommand[],
    session = m.incarnation,
    executed: () => void = () => undefined,
  ): Promise<boolean> {
    const body = writeCommands(m.fencingToken, session, orders);
    const answer = await this.http.request(m.addr, 'POST', WORKER_PATHS.commands, body, COMMAND_TIMEOUT_MS);
    const r = readHeartbeat(answer.body);
    if (answer.status === 200) executed();
    if (r && r.machine === m.id && this.machines.get(m.id) === m && !this.stopped)
      this.applyHeartbeat(m, r, 'command');
    return answer.status === 200;
  }

  private applyHeartbeat(m: Machine, r: Heartbeat, via: HeartbeatChannel): HeartbeatValidity {
    const weight = classifyHeartbeat(m, r);
    if (weight === 'late' || weight === 'foreign') return weight;
    const now = this.clock.now();
    const fresh = r.incarnation > m.incarnation;
    // The lease of a session counts from its beginning, which is known only to lie before this report. A session that shows
    // itself in the answer to a command outlasts the last answered report, which was of the session before it.
    if (fresh) m.leaseRenewedAt = Math.max(m.leaseRenewedAt, now);
    if (fresh && m.incarnation > 0) {
      // A new session begins with no tasks.
      this.forgetAttempts(m, 'new session');
    }
    m.incarnation = r.incarnation;
    if (fresh) this.hooks.onIncarnation(m);
    m.heartbeatSequence = r.sequence;
    m.addr = r.addr;
    if (m.lastHeartbeatAt === null) {
      // Until now it booted; only from here on does it stand idle.
      m.idleSince = now;
      this.hooks.requestPlan();
    }
    const stays =
      m.lastHeartbeatAt !== null && now - m.lastHeartbeatAt <= nextHeartbeatWithinMs(this.times.reportS);
    if (via === 'command' || stays) m.unreachableAt = null;
    m.lastHeartbeatAt = now;
    if (m.leaseExpired) {
      m.leaseExpired = false;
      m.leaseRenewedAt = now;
      this.hooks.requestPlan();
    }
    if (r.reclaimInS !== null) {
      const until = now + r.reclaimInS * 1000;
      if (m.reclaimAt === null) this.hooks.requestPlan();
      m.reclaimAt = m.reclaimAt === null ? until : Math.min(m.reclaimAt, until);
    }
    if (weight === 'untokened') return weight;
    m.unconfirmedResponses = 0;
    if (!m.reconciled) {
      m.reconciled = true;
      this.hooks.requestPlan();
    }
    this.reconcileAttempts(m, r, via);
    m.mayHoldUnreportedTasks = false;
    return 'ok';
  }

  private reconcileAttempts(m: Machine, r: Heartbeat, via: HeartbeatChannel): void {
    const now = this.clock.now();
    const seen = new Set<string>();
    for (const t of r.tasks) {
      const key = attemptKey(t.job, t.index, t.attempt);
      seen.add(key);
      let h = m.attempts.get(key);
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
          startPhase: 'known',
          fencingToken: m.fencingToken,
          orderedAt: now,
          runningAt: t.state === 'running' ? now : null,
          exitedAt: t.state === 'exited' ? now : null,
          stop: null,
          exitRecorded: false,
        };
        m.attempts.set(key, h);
        this.hooks.onAttemptFound(h);
        continue;
      }
      if (h.startPhase !== 'sending') h.startPhase = 'known';
      if (!isNew && (h.state !== t.state || h.cause !== t.cause)) {
        h.state = t.state;
        h.cause = t.cause;
        h.saved = t.saved;
        if (t.state === 'running' && h.runningAt === null) h.runningAt = now;
        if (t.state === 'exited') h.exitedAt = now;
        this.hooks.onAttemptChanged(h);
      }
    }
    for (const [key, h] of [...m.attempts]) {
      if (seen.has(key)) continue;
      if (h.startPhase === 'sending') continue;
      // An answer under way to the worker is not yet in what a direct command returns.
      if (h.startPhase === 'answer' && via === 'command') continue;
      if (h.startPhase === 'unsure' && h.fencingToken >= m.fencingToken) continue;
      m.attempts.delete(key);
      if (!(h.state === 'exited' && h.exitRecorded)) this.hooks.onAttemptGone(h, 'not reported');
    }
    if (m.attempts.size === 0) m.idleSince ??= now;
    else m.idleSince = null;
  }

  private pendingCommands(m: Machine): WorkerCommand[] {
    const orders: WorkerCommand[] = [];
    for (const h of m.attempts.values()) {
      if (h.state === 'exited') {
        if (h.exitRecorded) orders.push({ op: 'forget', job: h.job, index: h.index, attempt: h.attempt });
      } else if (h.stop) {
        orders.push(stopCommand(h));
      }
    }
    return orders;
  }
}

function keyOf(h: TaskAttempt): string {
  return attemptKey(h.job, h.index, h.attempt);
}

function stopCommand(h: TaskAttempt): WorkerCommand {
  return { op: 'stop', job: h.job, index: h.index, attempt: h.attempt, graceS: h.stop?.graceS ?? 0 };
}
