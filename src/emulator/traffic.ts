/** Number and bytes of the messages of one kind in one direction. */
export interface Flow {
  messages: number;
  bytes: number;
}

/** Traffic over the links of an emulated cluster, by kind of message; bytes are those of bodies or frames. */
export class Traffic {
  private readonly flows = new Map<string, Flow>();

  add(kind: string, bytes: number): void {
    const flow = this.flows.get(kind) ?? { messages: 0, bytes: 0 };
    this.flows.set(kind, flow);
    flow.messages++;
    flow.bytes += bytes;
  }

  /** Returns a copy of the counts so far. */
  snapshot(): Map<string, Flow> {
    return new Map([...this.flows].map(([kind, flow]) => [kind, { ...flow }]));
  }
}

/** Returns the traffic between two snapshots, per second. */
export function ratesBetween(
  before: ReadonlyMap<string, Flow>,
  after: ReadonlyMap<string, Flow>,
  seconds: number,
): Record<string, Flow> {
  const rates: Record<string, Flow> = {};
  for (const [kind, current] of [...after].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const previous = before.get(kind) ?? { messages: 0, bytes: 0 };
    rates[kind] = {
      messages: (current.messages - previous.messages) / seconds,
      bytes: (current.bytes - previous.bytes) / seconds,
    };
  }
  return rates;
}

/** Returns the size of a body as it is sent, in bytes. */
export function bodyBytes(body: unknown): number {
  return body === null || body === undefined ? 0 : Buffer.byteLength(JSON.stringify(body));
}
