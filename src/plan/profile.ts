/** What a task takes of its machine, or a machine has. */
export interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

const SLACK = 1e-6;

/** Booked use of one machine, or of one team, over time. Times are seconds on the steady clock. */
export class Profile {
  private readonly starts: number[] = [];
  private readonly ends: number[] = [];
  private readonly needs: Amounts[] = [];

  constructor(
    private readonly cap: Amounts,
    private readonly from: number,
    private readonly until: number,
  ) {}

  get size(): number {
    return this.starts.length;
  }

  add(start: number, end: number, need: Amounts): void {
    this.starts.push(start);
    this.ends.push(end);
    this.needs.push(need);
  }

  remove(start: number, end: number, need: Amounts): void {
    for (let i = this.starts.length - 1; i >= 0; i--) {
      if (this.starts[i] === start && this.ends[i] === end && this.needs[i] === need) {
        const last = this.starts.length - 1;
        this.starts[i] = this.starts[last]!;
        this.ends[i] = this.ends[last]!;
        this.needs[i] = this.needs[last]!;
        this.starts.pop();
        this.ends.pop();
        this.needs.pop();
        return;
      }
    }
  }

  /** How many times `need` fits throughout [t, t + span), up to `most`. */
  room(t: number, span: number, need: Amounts, most: number): number {
    const end = t + span;
    if (t < this.from || end > this.until) return 0;
    let count = this.roomAt(t, need, most);
    for (let i = 0; i < this.starts.length && count > 0; i++) {
      const s = this.starts[i]!;
      if (s > t && s < end) count = Math.min(count, this.roomAt(s, need, most));
    }
    return count;
  }

  /** The first moment not before `t` from which `need` fits for `span`; null when there is none. */
  earliest(t: number, span: number, need: Amounts): number | null {
    if (
      need.cpus > this.cap.cpus + SLACK ||
      need.gpus > this.cap.gpus + SLACK ||
      need.memoryGb > this.cap.memoryGb + SLACK
    ) {
      return null;
    }
    const first = Math.max(t, this.from);
    if (this.room(first, span, need, 1) > 0) return first;
    let best: number | null = null;
    for (let i = 0; i < this.ends.length; i++) {
      const e = this.ends[i]!;
      if (e > first && (best === null || e < best) && this.room(e, span, need, 1) > 0) best = e;
    }
    return best;
  }

  /** Ends of bookings after `t`. */
  endsAfter(t: number): number[] {
    return this.ends.filter((e) => e > t && Number.isFinite(e));
  }

  get readyAt(): number {
    return this.from;
  }

  /** Booked time left, weighted by the share of the machine that it takes. */
  load(now: number): number {
    let sum = 0;
    for (let i = 0; i < this.starts.length; i++) {
      const left = Math.min(this.ends[i]!, now + 3600) - Math.max(this.starts[i]!, now);
      if (left > 0) sum += left * this.share(this.needs[i]!);
    }
    return sum;
  }

  private share(need: Amounts): number {
    let share = this.cap.cpus > 0 ? need.cpus / this.cap.cpus : 0;
    if (this.cap.gpus > 0) share = Math.max(share, need.gpus / this.cap.gpus);
    if (this.cap.memoryGb > 0 && Number.isFinite(this.cap.memoryGb)) {
      share = Math.max(share, need.memoryGb / this.cap.memoryGb);
    }
    return share;
  }

  private roomAt(t: number, need: Amounts, most: number): number {
    let { cpus, gpus, memoryGb } = this.cap;
    for (let i = 0; i < this.starts.length; i++) {
      if (this.starts[i]! <= t && t < this.ends[i]!) {
        const n = this.needs[i]!;
        cpus -= n.cpus;
        gpus -= n.gpus;
        memoryGb -= n.memoryGb;
      }
    }
    return fitCount({ cpus, gpus, memoryGb }, need, most);
  }
}

/** How many times `need` fits into `free`, up to `most`. */
export function fitCount(free: Amounts, need: Amounts, most: number): number {
  let count = most;
  if (need.cpus > 0) count = Math.min(count, Math.floor((free.cpus + SLACK) / need.cpus));
  if (need.gpus > 0) count = Math.min(count, Math.floor((free.gpus + SLACK) / need.gpus));
  if (need.memoryGb > 0) count = Math.min(count, Math.floor((free.memoryGb + SLACK) / need.memoryGb));
  return Math.max(0, count);
}
