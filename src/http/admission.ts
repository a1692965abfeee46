/**
 * Who gets one of a server's places for connections. Places are given by what a connection has shown itself to be; one
 * that has not completed a request yet has shown nothing and gives way first.
 */
export type Kind = 'stranger' | Shown;
export type Shown = 'user' | 'health' | 'worker';

/** One open connection, as far as its place is concerned. */
export interface Seat {
  readonly address: string;
  kind: Kind;
  /** What it had sent when it came has been read: a stranger without this may have a request on its way. */
  looked: boolean;
  /** Part of a request has come, or one is being answered. */
  engaged: boolean;
  /** A user's request is being answered. */
  served: boolean;
  /** Ends the connection. */
  readonly evict: () => void;
}

/** This share of the places is never held by users' requests that are being answered: workers and health checks come in. */
const RESERVED = 0.4;
/** Strangers from one address may hold this share of the places; beyond it the oldest of them give way at once. */
const STRANGERS_SHARE = 0.125;
/** From this share of used places on, they count as short. */
const SHORT_FROM = 0.75;
/** So many connections of health checks keep their places whatever comes; more of them count as users. */
const HEALTH_SEATS = 8;
/** So many places are kept free by letting idle connections go. */
const SPARE = 2;

export interface AdmissionCounts {
  /** Turned away at the door. */
  refused: number;
  /** Ended to make room for others. */
  evicted: number;
  /** Users' requests answered 503, since too many were being answered. */
  deferred: number;
}

/** Pure bookkeeping: no sockets, no clock. Every step costs as much as there are addresses of strangers, at most. */
export class Admission {
  readonly counts: AdmissionCounts = { refused: 0, evicted: 0, deferred: 0 };
  /** By address, the oldest first. */
  private readonly strangers = new Map<string, Set<Seat>>();
  /** In the order of their last requests, the longest idle first. */
  private readonly settled: Record<Shown, Set<Seat>> = {
    user: new Set(),
    health: new Set(),
    worker: new Set(),
  };
  private used = 0;
  private served = 0;

  constructor(readonly places: number) {}

  get size(): number {
    return this.used;
  }

  /** Whether places are short, so that strangers have to hurry. */
  get short(): boolean {
    return this.used >= this.places * SHORT_FROM;
  }

  /** A place for a connection that has just come, or null when it has to go. */
  enter(address: string, evict: () => void): Seat | null {
    const own = this.strangers.get(address);
    if (own && own.size >= this.strangersMost && !this.dropOldest(own)) {
      // All of them have come this moment and may have requests on their way. More are taken only where places are free.
      if (this.short) return this.refuse();
    }
    if (this.used >= this.places - SPARE && !this.makeRoom(address)) {
      if (this.used >= this.places) return this.refuse();
    }
    const seat: Seat = {
      address,
      kind: 'stranger',
      looked: false,
      engaged: false,
      served: false,
      evict,
    };
    this.used++;
    const set = this.strangers.get(address);
    if (set) set.add(seat);
    else this.strangers.set(address, new Set([seat]));
    return seat;
  }

  /** Strangers from one address beyond this are too many. */
  private get strangersMost(): number {
    return Math.max(2, this.places * STRANGERS_SHARE);
  }

  private refuse(): null {
    this.counts.refused++;
    return null;
  }

  leave(seat: Seat): void {
    this.answered(seat);
    if (this.forget(seat)) this.used--;
  }

  /** Part of a request has come. */
  engage(seat: Seat): void {
    seat.engaged = true;
  }

  /** A request is complete. False when it is a user's and too many of these are being answered. */
  serve(seat: Seat, claims: Shown): boolean {
    seat.engaged = true;
    if (seat.kind === 'stranger') this.place(seat, claims);
    if (claims !== 'user') return true;
    if (this.served >= this.places * (1 - RESERVED)) {
      this.counts.deferred++;
      return false;
    }
    seat.served = true;
    this.served++;
    return true;
  }

  /** A request was answered, and shows what the connection is. */
  settle(seat: Seat, kind: Shown): void {
    this.answered(seat);
    seat.engaged = false;
    this.place(seat, kind);
  }

  private place(seat: Seat, kind: Shown): void {
    if (!this.forget(seat)) return;
    const as = kind === 'health' && this.settled.health.size >= HEALTH_SEATS ? 'user' : kind;
    seat.kind = as;
    this.settled[as].add(seat);
  }

  private answered(seat: Seat): void {
    if (seat.served) this.served--;
    seat.served = false;
  }

  private forget(seat: Seat): boolean {
    if (seat.kind !== 'stranger') return this.settled[seat.kind].delete(seat);
    const set = this.strangers.get(seat.address);
    if (!set?.delete(seat)) return false;
    if (set.size === 0) this.strangers.delete(seat.address);
    return true;
  }

  private drop(seat: Seat): true {
    this.counts.evicted++;
    this.leave(seat);
    seat.evict();
    return true;
  }

  /** Ends the oldest stranger of an address that has had its chance. */
  private dropOldest(set: ReadonlySet<Seat>): boolean {
    // What comes behind the first that was not looked at came later still.
    for (const seat of set) return seat.looked && this.drop(seat);
    return false;
  }

  /**
   * One connection goes for another: strangers of the address that has most of them; users, the longest idle first; then
   * strangers that have just come, if their address floods; workers only after all of these, since a machine that is kept
   * out loses its tasks.
   */
  private makeRoom(forAddress: string): boolean {
    let heaviest: Set<Seat> | null = null;
    let hoard: Set<Seat> | null = null;
    for (const [address, set] of this.strangers) {
      const first = set.values().next().value!;
      if (first.looked && (!heaviest || set.size > heaviest.size)) heaviest = set;
      if (address !== forAddress && (!hoard || set.size > hoard.size)) hoard = set;
    }
    if (heaviest && this.dropOldest(heaviest)) return true;
    if (this.dropIdle(this.settled.user) || this.dropHalf(this.settled.user)) return true;
    const own = this.strangers.get(forAddress)?.size ?? 0;
    const flood = this.strangersMost;
    if (hoard && hoard.size >= flood && hoard.size > own) return this.drop(hoard.values().next().value!);
    if (own >= flood) return false;
    return this.dropIdle(this.settled.worker);
  }

  /** A user that has sent part of a request holds its place no better than a stranger who does. */
  private dropHalf(seats: ReadonlySet<Seat>): boolean {
    for (const seat of seats) if (!seat.served) return this.drop(seat);
    return false;
  }

  private dropIdle(seats: ReadonlySet<Seat>): boolean {
    for (const seat of seats) if (!seat.engaged) return this.drop(seat);
    return false;
  }
}
