/** Resources that a task requires or that a machine provides. */
export interface Amounts {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Tolerance for rounding errors in sums of fractional resources. */
const ROUNDING_TOLERANCE = 1e-6;
/**
 * Horizon of reserved time that counts as load, so that a service, which has no end, does not outweigh
 * everything else.
 */
const LOAD_HORIZON_S = 3600;

/**
 * Reserved use of one machine or one team over time, stored as a step function of the free capacity: a query
 * walks along the steps once, whatever the number of reservations. Times are seconds on the monotonic clock.
 */
export class CapacityProfile {
  /**
   * `cpus[i]`, `gpus[i]` and `memory[i]` are free from `times[i]` until `times[i + 1]`; the last step has no
   * end.
   */
  private readonly times: number[] = [Number.NEGATIVE_INFINITY];
  private readonly cpus: number[];
  private readonly gpus: number[];
  private readonly memory: number[];
  private reservationCount = 0;
  private reservedLoad = 0;

  /**
   * Creates a profile with `capacity` free from `readyAt` until `until`; load counts reserved time from `now`
   * on.
   */
  constructor(
    private readonly capacity: Amounts,
    private readonly now: number,
    readonly readyAt: number,
    private readonly until: number,
  ) {
    this.cpus = [capacity.cpus];
    this.gpus = [capacity.gpus];
    this.memory = [capacity.memoryGb];
  }

  /** Number of reservations. */
  get size(): number {
    return this.reservationCount;
  }

  /** Reserved time that is left, in seconds, weighted by the reserved share of the capacity. */
  get load(): number {
    return this.reservedLoad;
  }

  /** Reserves `need` from `start` until `end`. */
  add(start: number, end: number, need: Amounts): void {
    this.reservationCount++;
    this.reservedLoad += this.weight(start, end, need);
    this.adjust(start, end, need, -1);
  }

  /** Releases a reservation made by `add`. */
  remove(start: number, end: number, need: Amounts): void {
    this.reservationCount--;
    this.reservedLoad -= this.weight(start, end, need);
    this.adjust(start, end, need, 1);
  }

  /** Returns how many times `need` fits throughout [time, time + span), up to `max`. */
  capacityFor(time: number, span: number, need: Amounts, max: number): number {
    const end = time + span;
    if (time < this.readyAt || end > this.until) return 0;
    let count = max;
    let i = this.stepAt(time);
    do {
      count = Math.min(count, this.countAt(i, need, count));
      i++;
    } while (count > 0 && i < this.times.length && this.times[i]! < end);
    return count;
  }

  /**
   * Returns the earliest start at or after `time` at which `need` fits for `span`; null when there is none.
   */
  earliest(time: number, span: number, need: Amounts): number | null {
    const last = this.times.length;
    let start = Math.max(time, this.readyAt);
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

  /** Time after which nothing is reserved. */
  get unreservedFrom(): number {
    return Math.max(this.readyAt, this.now, this.times.at(-1)!);
  }

  private weight(start: number, end: number, need: Amounts): number {
    const remaining = Math.min(end, this.now + LOAD_HORIZON_S) - Math.max(start, this.now);
    if (remaining <= 0) return 0;
    let share = this.capacity.cpus > 0 ? need.cpus / this.capacity.cpus : 0;
    if (this.capacity.gpus > 0) share = Math.max(share, need.gpus / this.capacity.gpus);
    if (this.capacity.memoryGb > 0) share = Math.max(share, need.memoryGb / this.capacity.memoryGb);
    return remaining * share;
  }

  private adjust(start: number, end: number, need: Amounts, sign: number): void {
    if (end <= start) return;
    const from = this.splitStepAt(start);
    const to = end === Number.POSITIVE_INFINITY ? this.times.length : this.splitStepAt(end);
    for (let i = from; i < to; i++) {
      this.cpus[i]! += sign * need.cpus;
      this.gpus[i]! += sign * need.gpus;
      this.memory[i]! += sign * need.memoryGb;
    }
  }

  /** Returns the index of the step that contains `time`. */
  private stepAt(time: number): number {
    let low = 0;
    let high = this.times.length - 1;
    while (low < high) {
      const mid = (low + high + 1) >> 1;
      if (this.times[mid]! <= time) low = mid;
      else high = mid - 1;
    }
    return low;
  }

  /** Splits the step that contains `time` so that a step begins there; returns the index of that step. */
  private splitStepAt(time: number): number {
    const i = this.stepAt(time);
    if (this.times[i] === time) return i;
    insert(this.times, i + 1, time);
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

/** Returns how many times `need` fits into `free`, up to `max`. */
export function fitCount(free: Amounts, need: Amounts, max: number): number {
  let count = max;
  if (need.cpus > 0) count = Math.min(count, Math.floor((free.cpus + ROUNDING_TOLERANCE) / need.cpus));
  if (need.gpus > 0) count = Math.min(count, Math.floor((free.gpus + ROUNDING_TOLERANCE) / need.gpus));
  if (need.memoryGb > 0)
    count = Math.min(count, Math.floor((free.memoryGb + ROUNDING_TOLERANCE) / need.memoryGb));
  return Math.max(0, count);
}
