import { type Clock, pause, type Timer } from '../clock/clock.js';
import { UnreachableError } from '../errors/errors.js';
import type { HttpResponse, Requester } from '../http/client.js';
import { readRedirect, WORKER_PATHS } from '../wire/workers.js';
import type { Random } from './random.js';
import type { Worker } from './worker.js';

const MIN_REPORT_GAP_MS = 500;
const RESPONSE_TIMEOUT_MS = 4000;
const NEXT_NODE_DELAY_MS = 1000;

/** Network links between a worker and the controllers. */
export interface ReporterLinks {
  /** Returns the delay of a message to a controller, in milliseconds. */
  delayMs(node: string): number;
  /** Returns whether a partition separates the worker from a controller. */
  isSeparated(node: string): boolean;
  /** Called when a heartbeat was answered. */
  reportAnswered(report: object, answer: unknown): void;
}

const DIRECT_LINKS: ReporterLinks = {
  delayMs: () => 0,
  isSeparated: () => false,
  reportAnswered: () => undefined,
};

/** Sends a worker's heartbeats to the controllers: one at a time, to one node at a time. */
export class Reporter {
  /** While set, the worker has no network: heartbeats get no answer and commands do not arrive. */
  disconnected = false;
  private nodeIndex = 0;
  private sentAt = Number.NEGATIVE_INFINITY;
  private reportTimer: Timer | null = null;
  private leaseTimer: Timer | null = null;
  private inFlight = false;
  private changePending = false;
  private stopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    private readonly random: Random,
    private readonly worker: Worker,
    private readonly nodes: readonly { node: string; addr: string }[],
    private readonly reportS: number,
    private readonly links: ReporterLinks = DIRECT_LINKS,
  ) {
    this.nodeIndex = Math.floor(random.next() * nodes.length);
    this.schedule(0);
    this.watchLease();
  }

  stop(): void {
    this.stopped = true;
    this.reportTimer?.cancel();
    this.leaseTimer?.cancel();
  }

  /** Expires the lease at its end rather than at the worker's next heartbeat. */
  private watchLease(): void {
    if (this.stopped) return;
    this.worker.checkLease();
    this.leaseTimer = this.clock.after(Math.max(0, this.worker.leaseLeftMs) + 1, () => this.watchLease());
  }

  /** Sends a heartbeat early after a change, but not sooner than `MIN_REPORT_GAP_MS` after the last one. */
  reportSoon(): void {
    this.changePending = true;
    if (!this.inFlight) this.schedule(Math.max(0, this.sentAt + MIN_REPORT_GAP_MS - this.clock.now()));
  }

  private schedule(ms: number): void {
    if (this.stopped) return;
    this.reportTimer?.cancel();
    this.reportTimer = this.clock.after(ms, () => void this.send());
  }

  private async send(): Promise<void> {
    if (this.inFlight || this.stopped) return;
    this.worker.checkLease();
    this.inFlight = true;
    this.changePending = false;
    this.sentAt = this.clock.now();
    const { incarnation } = this.worker;
    const sentAt = this.sentAt;
    let delayMs = this.reportS * 1000 * this.random.between(0.75, 1.25);
    try {
      const response = await this.sendReport();
      if (response.status === 200) this.worker.handleHeartbeatResponse(response.body, sentAt, incarnation);
      else delayMs = this.switchNode(response.status === 421 ? readRedirect(response.body) : null);
    } catch {
      delayMs = this.switchNode(null);
    }
    this.inFlight = false;
    this.schedule(this.changePending ? Math.min(delayMs, MIN_REPORT_GAP_MS) : delayMs);
  }

  /** Sends a heartbeat to the current node; fails when no answer arrives in time. */
  private async sendReport(): Promise<HttpResponse> {
    const { node, addr } = this.nodes[this.nodeIndex]!;
    const isUnreachable = () => this.disconnected || this.links.isSeparated(node);
    const delayMs = this.links.delayMs(node);
    const report = this.worker.report();
    if (delayMs > 0) await pause(this.clock, delayMs);
    if (isUnreachable()) throw new UnreachableError('cut off');
    const response = await this.http.request(
      addr,
      'POST',
      WORKER_PATHS.heartbeat,
      report,
      RESPONSE_TIMEOUT_MS,
    );
    if (delayMs > 0) await pause(this.clock, delayMs);
    if (isUnreachable()) throw new UnreachableError('cut off');
    this.links.reportAnswered(report, response.body);
    return response;
  }

  /** Switches to the given node, else to the next one; returns the delay of the next heartbeat, in milliseconds. */
  private switchNode(redirectedTo: string | null): number {
    const redirectIndex = this.nodes.findIndex((n) => n.node === redirectedTo);
    if (redirectIndex >= 0 && redirectIndex !== this.nodeIndex) {
      this.nodeIndex = redirectIndex;
      return this.random.next() * 500;
    }
    this.nodeIndex = (this.nodeIndex + 1) % this.nodes.length;
    return NEXT_NODE_DELAY_MS;
  }
}
