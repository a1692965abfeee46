import type { Clock } from '../../src/clock/clock.js';
import type { Served } from './net.js';

interface Piece {
  piece: string;
  try: number;
  status: string;
  cause?: string;
  kept?: boolean;
}

interface Order {
  verb: string;
  piece: string;
  try: number;
  windDownS?: number;
}

/** A stand-in for a worker, as its protocol describes it. Tasks run until the test ends them. */
export class FakeWorker {
  baton = 0;
  shift = 1;
  tally = 0;
  pieces: Piece[] = [];
  recallS: number | null = null;
  /** Every start that was executed. */
  readonly started: string[] = [];
  lastSent: number;

  constructor(
    private readonly clock: Clock,
    readonly id: string,
    readonly addr: string,
    readonly flavor: string,
    readonly yard: string,
    readonly leaseS: number,
    readonly loaner = false,
  ) {
    this.lastSent = clock.now();
  }

  report(): object {
    this.checkLease();
    this.tally++;
    return {
      worker: this.id,
      addr: this.addr,
      flavor: this.flavor,
      yard: this.yard,
      loaner: this.loaner,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      recallS: this.recallS,
      pieces: this.pieces.map((p) => ({ ...p })),
    };
  }

  /** Takes the answer to a report sent at `sent`. */
  answer(body: unknown, sent: number): void {
    const a = body as { baton?: number; orders?: Order[] };
    if ((a.baton ?? 0) < this.baton) return;
    this.baton = a.baton ?? this.baton;
    this.lastSent = Math.max(this.lastSent, sent);
    for (const o of a.orders ?? []) this.execute(o);
  }

  serve(_method: string, path: string, body: unknown): Served {
    if (path === '/show') return { status: 200, body: this.report() };
    const c = body as { baton: number; shift: number; orders: Order[] };
    this.checkLease();
    if (c.baton < this.baton || c.shift !== this.shift) return { status: 409, body: this.report() };
    this.baton = c.baton;
    for (const o of c.orders) this.execute(o);
    return { status: 200, body: this.report() };
  }

  end(piece: string, cause: string, kept = false): void {
    for (const p of this.pieces)
      if (p.piece === piece && p.status !== 'ended') Object.assign(p, { status: 'ended', cause, kept });
  }

  on(piece: string): boolean {
    this.checkLease();
    return this.pieces.some((p) => p.piece === piece && p.status !== 'ended');
  }

  private checkLease(): void {
    if (this.clock.now() - this.lastSent <= this.leaseS * 1000) return;
    this.shift++;
    this.pieces = [];
    this.lastSent = this.clock.now();
  }

  private execute(o: Order): void {
    const known = this.pieces.find((p) => p.piece === o.piece && p.try === o.try);
    if (o.verb === 'run' && !known) {
      this.pieces.push({ piece: o.piece, try: o.try, status: 'running' });
      this.started.push(o.piece);
    }
    if (o.verb === 'kill' && known && known.status !== 'ended') {
      Object.assign(known, { status: 'ended', cause: 'halted', kept: (o.windDownS ?? 0) > 0 });
    }
    if (o.verb === 'clear' && known?.status === 'ended') this.pieces = this.pieces.filter((p) => p !== known);
  }
}
