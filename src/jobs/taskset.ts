/** A set of task numbers, stored in chunks that fit the key-value store's values. */
export class TaskSet {
  private readonly bytes: Uint8Array;
  /** How many tasks are in it. */
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Whether a task is in it. */
  has(i: number): boolean {
    return (this.bytes[i >> 3]! & (1 << (i & 7))) !== 0;
  }

  /** Adds a task; false when it is in it already, or there is none of this number. */
  add(i: number): boolean {
    if (i < 0 || i >= this.size || this.has(i)) return false;
    this.bytes[i >> 3]! |= 1 << (i & 7);
    this.count++;
    return true;
  }

  /** `count` tasks from one on as text; both are multiples of eight. */
  chunk(from: number, count: number): string {
    const end = Math.min(this.bytes.length, (from + count) / 8);
    return Buffer.from(this.bytes.subarray(from / 8, end)).toString('base64');
  }

  /** Adds the tasks that `chunk` has written, from the same one on. */
  load(from: number, text: string): void {
    const bytes = Buffer.from(text, 'base64');
    for (let i = 0; i < bytes.length * 8 && from + i < this.size; i++) {
      if (bytes[i >> 3]! & (1 << (i & 7))) this.add(from + i);
    }
  }
}

/** Tasks per chunk so that a chunk's text fits a value; a multiple of eight. */
export function chunkTasks(valueKb: number): number {
  const textBytes = Math.max(64, Math.min(48 * 1024, valueKb * 1024 - 128));
  return Math.floor(textBytes / 4) * 3 * 8;
}
