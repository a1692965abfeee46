import type { Clock, Timer } from '../clock/clock.js';
import type { ChangeLog } from './changelog.js';
import type { ChangesRequest, ChangesResponse, LatestRevisionResponse } from './messages.js';

/** A request that waits for a change. */
interface PendingRequest {
  readonly since: number;
  readonly answer: (response: ChangesResponse) => void;
  readonly timer: Timer;
}

/** The most requests that wait for a change at once; each ends within the time that it gives. */
const MAX_PENDING_REQUESTS = 256;

/** Answers followers from the log of a node that watches the key-value store itself. */
export class Subscribers {
  private readonly pending = new Set<PendingRequest>();
  private open = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: ChangeLog,
    private readonly isStateStoreReachable: () => boolean,
  ) {}

  /**
   * A node that is cut off from the key-value store keeps its watch, and learns nothing by it: two such sources would keep
   * all their followers where they are.
   */
  private get isServing(): boolean {
    return this.open && this.isStateStoreReachable();
  }

  /** Whether this node passes changes on: only while it watches the key-value store itself. */
  setOpen(open: boolean): void {
    this.open = open;
    if (open) return;
    for (const request of [...this.pending]) this.settle(request);
  }

  /** The log has grown. */
  onAppend(): void {
    for (const request of [...this.pending]) this.settle(request);
  }

  /** How far this node is. */
  latestRevision(): LatestRevisionResponse {
    return { lastChange: this.isServing ? this.log.lastChange : null };
  }

  /** Answers at once when there are changes, or when it waited as long as it was asked to. */
  changesAfter(request: ChangesRequest): Promise<ChangesResponse> {
    const now = this.answerNow(request.since);
    if ('refused' in now || now.changes.length > 0 || request.waitMs === 0) return Promise.resolve(now);
    if (this.pending.size >= MAX_PENDING_REQUESTS) return Promise.resolve({ refused: 'follows' });
    return new Promise((answer) => {
      const timer = this.clock.after(request.waitMs, () => this.settle(pending));
      const pending: PendingRequest = { since: request.since, answer, timer };
      this.pending.add(pending);
    });
  }

  private answerNow(since: number): ChangesResponse {
    if (!this.isServing) return { refused: 'follows' };
    return this.log.after(since) ?? { refused: 'gap' };
  }

  private settle(request: PendingRequest): void {
    if (!this.pending.delete(request)) return;
    request.timer.cancel();
    request.answer(this.answerNow(request.since));
  }
}
