/** What a task takes of its machine, or a machine has. */
export interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** By so much a sum of fractions may exceed what is free. */
const ROUNDING_TOLERANCE = 1e-6;
/** Load counts reserved time no further ahead than this, so that a service does not outweigh everything. */
const LOAD_HORIZON_S = 3600;

/**
 * Reserved use of one machine, or of one team, over time, as steps of what is free: a query costs one walk along the
 * steps, whatever the number of reservations. Times are seconds on the steady clock.
 */
export class CapacityProfile {
  /** `cpus[i]`, `gpus[i]` and `memory[i]` are free from `times[i]` until `times[i + 1]`, the last ones for good. */
  private readonly times: number[] = [Number.NEGATIVE_INFINITY];
  private readonly cpus: number[];
  private readonly gpus: number[];
  private readonly memory: number[];
  private reservationCount = 0;
  private reservedLoad = 0;

  /** `cap` is free from `readyAt` until `until`; load counts from `now`. */
  constructor(
    private readonly cap: Amounts,
    private readonly now: number,
    readonly readyAt: number,
    private readonly until: number,
  ) {
    this.cpus = [cap.cpus];
    this.gpus = [cap.gpus];
    this.memory = [cap.memoryGb];
  }

  /** How many reservations there are. */
  get size(): number {
    return this.reservationCount;
  }

  /** Reserved time left, in seconds, weighted by the share of the machine that it takes. */
  get load(): number {
    return this.reservedLoad;
  }

  /** Reserves `need` from `start` until `end`. */
  add(start: number, end: number, need: Amounts): void {
    this.reservationCount++;
    this.reservedLoad += this.weight(start, end, need);
    this.change(start, end, need, -1);
  }

  /** Takes back what `add` has reserved. */
  remove(start: number, end: number, need: Amounts): void {
    this.reservationCount--;
    this.reservedLoad -= this.weight(start, end, need);
    this.change(start, end, need, 1);
  }

  /** How many times `need` fits throughout [t, t + span), up to `max`. */
  capacityFor(t: number, span: number, need: Amounts, max: number): number {
    const end = t + span;
    if (t < this.readyAt || end > this.until) return 0;
    let count = max;
    let i = this.stepAt(t);
    do {
      count = Math.min(count, this.countAt(i, need, count));
      i++;
    } while (count > 0 && i < this.times.length && this.times[i]! < end);
    return count;
  }

  /** The first moment not before `t` from which `need` fits for `span`; null when there is none. */
  earliest(t: number, span: number, need: Amounts): number | null {
    const last = this.times.length;
    let start = Math.max(t, this.readyAt);
    let i = this.stepAt(start);
    for (;;) {
      if (start + span > this.until) return null;
      if (this.fits(i, need)) {
        let j = i + 1;
        while (j < last && this.times[j]! < start + span && this.fits(j, need)) j++;
        if (j >= last || this.times[j]! >= start + span) return start;
        i = j;
      }
      do i++;
      while (i < last && !this.fits(i, need));
      if (i >= last) return null;
      start = this.times[i]!;
    }
  }

  /** From when on nothing is reserved any more. */
  get freeFrom(): number {
    return Math.max(this.readyAt, this.now, this.times.at(-1)!);
  }

  private weight(start: number, end: number, need: Amounts): number {
    const left = Math.min(end, this.now + LOAD_HORIZON_S) - Math.max(start, this.now);
    if (left <= 0) return 0;
    let share = this.cap.cpus > 0 ? need.cpus / this.cap.cpus : 0;
    if (this.cap.gpus > 0) share = Math.max(share, need.gpus / this.cap.gpus);
    if (this.cap.memoryGb > 0) share = Math.max(share, need.memoryGb / this.cap.memoryGb);
    return left * share;
  }

  private change(start: number, end: number, need: Amounts, sign: number): void {
    if (end <= start) return;
    const from = this.cut(start);
    const to = end === Number.POSITIVE_INFINITY ? this.times.length : this.cut(end);
    for (let i = from; i < to; i++) {
      this.cpus[i]! += sign * need.cpus;
      this.gpus[i]! += sign * need.gpus;
      this.memory[i]! += sign * need.memoryGb;
    }
  }

  /** The step that holds `t`. */
  private stepAt(t: number): number {
    let low = 0;
    let high = this.times.length - 1;
    while (low < high) {
      const mid = (low + high + 1) >> 1;
      if (this.times[mid]! <= t) low = mid;
      else high = mid - 1;
    }
    return low;
  }

  /** Makes a step begin at `t`; returns its index. */
  private cut(t: number): number {
    const i = this.stepAt(t);
    if (this.times[i] === t) return i;
    insert(this.times, i + 1, t);
    insert(this.cpus, i + 1, this.cpus[i]!);
    insert(this.gpus, i + 1, this.gpus[i]!);
    insert(this.memory, i + 1, this.memory[i]!);
    return i + 1;
  }

  private fits(i: number, need: Amounts): boolean {
    return (
      need.cpus <= this.cpus[i]! + ROUNDING_TOLERANCE &&
      need.gpus <= this.gpus[i]! + ROUNDING_TOLERANCE &&
      need.memoryGb <= this.memory[i]! + ROUNDING_TOLERANCE
    );
  }

  private countAt(i: number, need: Amounts, max: number): number {
    let count = max;
    if (need.cpus > 0) count = Math.min(count, Math.floor((this.cpus[i]! + ROUNDING_TOLERANCE) / need.cpus));
    if (need.gpus > 0) count = Math.min(count, Math.floor((this.gpus[i]! + ROUNDING_TOLERANCE) / need.gpus));
    if (need.memoryGb > 0)
      count = Math.min(count, Math.floor((this.memory[i]! + ROUNDING_TOLERANCE) / need.memoryGb));
    return Math.max(0, count);
  }
}

function insert(list: number[], at: number, value: number): void {
  list.push(value);
  for (let i = list.length - 1; i > at; i--) list[i] = list[i - 1]!;
  list[at] = value;
}

/** How many times `need` fits into `free`, up to `max`. */
export function fitCount(free: Amounts, need: Amounts, max: number): number {
  let count = max;
  if (need.cpus > 0) count = Math.min(count, Math.floor((free.cpus + ROUNDING_TOLERANCE) / need.cpus));
  if (need.gpus > 0) count = Math.min(count, Math.floor((free.gpus + ROUNDING_TOLERANCE) / need.gpus));
  if (need.memoryGb > 0)
    count = Math.min(count, Math.floor((free.memoryGb + ROUNDING_TOLERANCE) / need.memoryGb));
  return Math.max(0, count);
}
