/** Messages and bytes of one kind in one direction. */
export interface Flow {
  messages: number;
  bytes: number;
}

/** What has passed over the links of an emulated cluster, by kind of message; bytes are those of bodies or frames. */
export class Traffic {
  private readonly flows = new Map<string, Flow>();

  add(kind: string, bytes: number): void {
    const flow = this.flows.get(kind) ?? { messages: 0, bytes: 0 };
    this.flows.set(kind, flow);
    flow.messages++;
    flow.bytes += bytes;
  }

  /** A copy of the counts so far. */
  snapshot(): Map<string, Flow> {
    return new Map([...this.flows].map(([kind, flow]) => [kind, { ...flow }]));
  }
}

/** What has been added between two snapshots, a second. */
export function ratesBetween(
  before: ReadonlyMap<string, Flow>,
  after: ReadonlyMap<string, Flow>,
  seconds: number,
): Record<string, Flow> {
  const rates: Record<string, Flow> = {};
  for (const [kind, now] of [...after].sort(([a], [b]) => (a < b ? -1 : 1))) {
    const then = before.get(kind) ?? { messages: 0, bytes: 0 };
    rates[kind] = {
      messages: (now.messages - then.messages) / seconds,
      bytes: (now.bytes - then.bytes) / seconds,
    };
  }
  return rates;
}

/** The size of a body as it is sent. */
export function bodyBytes(body: unknown): number {
  return body === null || body === undefined ? 0 : Buffer.byteLength(JSON.stringify(body));
}
