import type { Clock, Timer } from '../clock/clock.js';
import type { ChangeLog } from './changelog.js';
import type { ChangesRequest, ChangesResponse, LatestRevisionResponse } from './messages.js';

interface PendingRequest {
  since: number;
  answer: (a: ChangesResponse) => void;
  timer: Timer;
}

/** Questions that wait for a change at once; each ends within the time that it gives. */
const MOST_WAITING = 256;

/** Answers followers from the log of a node that watches the state service itself. */
export class Subscribers {
  private readonly waiting = new Set<PendingRequest>();
  private open = false;

  constructor(
    private readonly clock: Clock,
    private readonly log: ChangeLog,
    private readonly isStateStoreReachable: () => boolean,
  ) {}

  /**
   * A node that is cut off from the state service keeps its watch, and learns nothing by it: two such sources would keep
   * all their followers where they are.
   */
  private get isServing(): boolean {
    return this.open && this.isStateStoreReachable();
  }

  /** Whether this node passes changes on: only while it watches the state service itself. */
  setOpen(open: boolean): void {
    this.open = open;
    if (open) return;
    for (const w of [...this.waiting]) this.settle(w);
  }

  /** The log has grown. */
  onAppend(): void {
    for (const w of [...this.waiting]) this.settle(w);
  }

  latestRevision(): LatestRevisionResponse {
    return { lastChange: this.isServing ? this.log.lastChange : null };
  }

  /** Answers at once when there are changes, or when it waited as long as it was asked to. */
  changesAfter(question: ChangesRequest): Promise<ChangesResponse> {
    const now = this.answerNow(question.since);
    if ('refused' in now || now.changes.length > 0 || question.waitMs === 0) return Promise.resolve(now);
    if (this.waiting.size >= MOST_WAITING) return Promise.resolve({ refused: 'follows' });
    return new Promise((answer) => {
      const timer = this.clock.after(question.waitMs, () => this.settle(waiting));
      const waiting: PendingRequest = { since: question.since, answer, timer };
      this.waiting.add(waiting);
    });
  }

  private answerNow(since: number): ChangesResponse {
    if (!this.isServing) return { refused: 'follows' };
    return this.log.after(since) ?? { refused: 'gap' };
  }

  private settle(w: PendingRequest): void {
    if (!this.waiting.delete(w)) return;
    w.timer.cancel();
    w.answer(this.answerNow(w.since));
  }
}
