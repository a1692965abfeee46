/** Set of task numbers that is stored in chunks which fit into the key-value store's values. */
export class TaskSet {
  private readonly bytes: Uint8Array;
  /** Number of tasks in the set. */
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Whether the set contains a task. */
  has(i: number): boolean {
    return (this.bytes[i >> 3]! & (1 << (i & 7))) !== 0;
  }

  /** Adds a task. Returns false if the set already contains it or the number is out of range. */
  add(i: number): boolean {
    if (i < 0 || i >= this.size || this.has(i)) return false;
    this.bytes[i >> 3]! |= 1 << (i & 7);
    this.count++;
    return true;
  }

  /** Encodes `count` tasks starting at `from` as text; both numbers are multiples of eight. */
  chunk(from: number, count: number): string {
    const end = Math.min(this.bytes.length, (from + count) / 8);
    return Buffer.from(this.bytes.subarray(from / 8, end)).toString('base64');
  }

  /** Adds the tasks encoded by `chunk`, starting at the same task. */
  load(from: number, text: string): void {
    const bytes = Buffer.from(text, 'base64');
    for (let i = 0; i < bytes.length * 8 && from + i < this.size; i++) {
      if (bytes[i >> 3]! & (1 << (i & 7))) this.add(from + i);
    }
  }
}

/** Returns the number of tasks per chunk for which the encoded chunk fits into a value; a multiple of eight. */
export function tasksPerChunk(valueKb: number): number {
  const textBytes = Math.max(64, Math.min(48 * 1024, valueKb * 1024 - 128));
  return Math.floor(textBytes / 4) * 3 * 8;
}
