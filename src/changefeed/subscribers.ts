import type { Clock, Timer } from '../clock/clock.js';
import type { ChangeLog } from './changelog.js';
import type { ChangesRequest, ChangesResponse, LatestRevisionResponse } from './messages.js';

/** A request that is waiting for a change. */
interface PendingRequest {
  readonly since: number;
  readonly answer: (response: ChangesResponse) => void;
  readonly timer: Timer;
}

/** Maximum number of requests waiting for a change at once; each ends within the wait that it specifies. */
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
   * Whether this node answers with changes. A node that is cut off from the key-value store keeps its watch open but
   * learns nothing from it; two such sources would hold all their followers back.
   */
  private get isServing(): boolean {
    return this.open && this.isStateStoreReachable();
  }

  /** Sets whether this node passes changes on, which it does only while it watches the key-value store itself. */
  setOpen(open: boolean): void {
    this.open = open;
    if (open) return;
    for (const request of [...this.pending]) this.respond(request);
  }

  /** Called when the log has grown; answers the waiting requests. */
  onAppend(): void {
    for (const request of [...this.pending]) this.respond(request);
  }

  /** Returns the progress of this node. */
  latestRevision(): LatestRevisionResponse {
    return { lastChange: this.isServing ? this.log.lastChange : null };
  }

  /**
   * Answers at once if there are changes, otherwise with the first change or after the wait that the request
   * specifies.
   */
  changesAfter(request: ChangesRequest): Promise<ChangesResponse> {
    const response = this.answerNow(request.since);
    if ('refused' in response || response.changes.length > 0 || request.waitMs === 0)
      return Promise.resolve(response);
    if (this.pending.size >= MAX_PENDING_REQUESTS) return Promise.resolve({ refused: 'follows' });
    return new Promise((answer) => {
      const timer = this.clock.after(request.waitMs, () => this.respond(pending));
      const pending: PendingRequest = { since: request.since, answer, timer };
      this.pending.add(pending);
    });
  }

  private answerNow(since: number): ChangesResponse {
    if (!this.isServing) return { refused: 'follows' };
    return this.log.after(since) ?? { refused: 'gap' };
  }

  private respond(request: PendingRequest): void {
    if (!this.pending.delete(request)) return;
    request.timer.cancel();
    request.answer(this.answerNow(request.since));
  }
}
