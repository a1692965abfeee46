import { type Clock, pause, type Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import type { HttpAnswer, Requester } from '../http/client.js';
import { readRedirect, WORKER_PATHS } from '../wire/workers.js';
import type { Random } from './random.js';
import type { Worker } from './worker.js';

const CHANGE_GAP_MS = 500;
const ANSWER_MS = 4000;
const NEXT_MS = 1000;

/** The links between a worker and the controllers. */
export interface ReporterLinks {
  /** Delay of a message to a controller, in milliseconds. */
  delayMs(node: string): number;
  /** Whether nothing passes to a controller and back. */
  apart(node: string): boolean;
  /** A report was answered. */
  answered(report: object, answer: unknown): void;
}

const DIRECT: ReporterLinks = { delayMs: () => 0, apart: () => false, answered: () => undefined };

/** A worker's reports to the controllers: one at a time, to one node at a time. */
export class Reporter {
  /** No network: reports get no answer and commands do not arrive. */
  cut = false;
  private at = 0;
  private sentAt = Number.NEGATIVE_INFINITY;
  private timer: Timer | null = null;
  private leaseTimer: Timer | null = null;
  private flying = false;
  private changed = false;
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly random: Random,
    private readonly worker: Worker,
    private readonly nodes: readonly { node: string; addr: string }[],
    private readonly reportS: number,
    private readonly links: ReporterLinks = DIRECT,
  ) {
    this.at = Math.floor(random.next() * nodes.length);
    this.schedule(0);
    this.watchLease();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.leaseTimer?.cancel();
  }

  /** Ends the lease when its time is over, and not only when the worker next reports. */
  private watchLease(): void {
    if (this.stopped) return;
    this.worker.checkLease();
    this.leaseTimer = this.clock.after(Math.max(0, this.worker.leaseLeftMs) + 1, () => this.watchLease());
  }

  /** Something changed that is told soon. */
  touch(): void {
    this.changed = true;
    if (!this.flying) this.schedule(Math.max(0, this.sentAt + CHANGE_GAP_MS - this.clock.now()));
  }

  private schedule(ms: number): void {
    if (this.stopped) return;
    this.timer?.cancel();
    this.timer = this.clock.after(ms, () => void this.send());
  }

  private async send(): Promise<void> {
    if (this.flying || this.stopped) return;
    this.worker.checkLease();
    this.flying = true;
    this.changed = false;
    this.sentAt = this.clock.now();
    const { session } = this.worker;
    const sent = this.sentAt;
    let wait = this.reportS * 1000 * this.random.between(0.75, 1.25);
    try {
      const reply = await this.ask();
      if (reply.status === 200) this.worker.answer(reply.body, sent, session);
      else wait = this.turn(reply.status === 421 ? readRedirect(reply.body) : null);
    } catch {
      wait = this.turn(null);
    }
    this.flying = false;
    this.schedule(this.changed ? Math.min(wait, CHANGE_GAP_MS) : wait);
  }

  /** Sends a report to the present node; fails when no answer arrives in time. */
  private async ask(): Promise<HttpAnswer> {
    const { node, addr } = this.nodes[this.at]!;
    const unreached = () => this.cut || this.links.apart(node);
    const delayMs = this.links.delayMs(node);
    const report = this.worker.report();
    if (delayMs > 0) await pause(this.clock, delayMs);
    if (unreached()) throw new UnreachableError('cut off');
    const reply = await this.http.request(addr, 'POST', WORKER_PATHS.heartbeat, report, ANSWER_MS);
    if (delayMs > 0) await pause(this.clock, delayMs);
    if (unreached()) throw new UnreachableError('cut off');
    this.links.answered(report, reply.body);
    return reply;
  }

  /** Goes to another node; returns when. */
  private turn(to: string | null): number {
    const named = this.nodes.findIndex((n) => n.node === to);
    if (named >= 0 && named !== this.at) {
      this.at = named;
      return this.random.next() * 500;
    }
    this.at = (this.at + 1) % this.nodes.length;
    return NEXT_MS;
  }
}
