/**
 * Which connections a server keeps when there are more than it has slots for. A slot is kept by what the connection's
 * requests have shown its client to be; a connection that has not completed a request yet is unidentified and is evicted
 * first.
 */

/** What a connection's client is, as far as its requests have shown it. */
export type ConnectionKind = 'unidentified' | ClientKind;
/** The clients of a server: users and their tools, health checks, and workers that send heartbeats. */
export type ClientKind = 'user' | 'health' | 'worker';

/** One open connection, as far as its admission is concerned. */
export interface ConnectionSlot {
  /** The remote address, without the port. */
  readonly address: string;
  kind: ConnectionKind;
  /** What it had sent when it was accepted has been read; before that, a request may be waiting to be read. */
  initialDataRead: boolean;
  /** Part of a request has been received, or one is being answered. */
  requestInProgress: boolean;
  /** A user's request is being answered. */
  answeringUser: boolean;
  /** Ends the connection. */
  readonly evict: () => void;
}

/** This share of the slots is never held by users' requests that are being answered: it is left to workers and health checks. */
const RESERVED_SHARE = 0.4;
/** Unidentified connections from one address may hold this share of the slots; beyond it the oldest of them are evicted at once. */
const UNIDENTIFIED_SHARE_PER_ADDRESS = 0.125;
/** From this share of open connections on, the server counts as near its capacity. */
const NEAR_CAPACITY_SHARE = 0.75;
/** So many connections of health checks are never evicted; more of them count as users. */
const MAX_HEALTH_SLOTS = 8;
/** So many slots are kept free by evicting idle connections. */
const SPARE_SLOTS = 2;

/** What the admission has done to connections and requests since the server was started. */
export interface AdmissionCounts {
  /** Connections ended as soon as they were accepted. */
  refused: number;
  /** Connections ended in favour of others. */
  evicted: number;
  /** Users' requests answered 503, since too many were being answered. */
  deferred: number;
}

/**
 * Assigns the slots. Pure bookkeeping: no sockets, no clock. Every step takes at most time in proportion to the number of
 * addresses with unidentified connections.
 */
export class ConnectionAdmission {
  readonly counts: AdmissionCounts = { refused: 0, evicted: 0, deferred: 0 };
  /** The unidentified connections by address, the oldest first. */
  private readonly unidentified = new Map<string, Set<ConnectionSlot>>();
  /** The other connections in the order of their last requests, the longest idle first. */
  private readonly identified: Record<ClientKind, Set<ConnectionSlot>> = {
    user: new Set(),
    health: new Set(),
    worker: new Set(),
  };
  private open = 0;
  private answeringUsers = 0;

  /** `capacity` is the number of slots. */
  constructor(readonly capacity: number) {}

  /** Connections that are open. */
  get openCount(): number {
    return this.open;
  }

  /** Whether slots are scarce, so that unidentified connections get less time for their requests. */
  get nearCapacity(): boolean {
    return this.open >= this.capacity * NEAR_CAPACITY_SHARE;
  }

  /** The slot of a connection that has just been accepted, or null when it has to be ended. `evict` ends it later. */
  admit(address: string, evict: () => void): ConnectionSlot | null {
    const own = this.unidentified.get(address);
    if (own && own.size >= this.maxUnidentifiedPerAddress && !this.evictOldest(own)) {
      // All of them are new and may have requests waiting to be read. More are admitted only while slots are not scarce.
      if (this.nearCapacity) return this.refuse();
    }
    if (this.open >= this.capacity - SPARE_SLOTS && !this.evictFor(address)) {
      if (this.open >= this.capacity) return this.refuse();
    }
    const slot: ConnectionSlot = {
      address,
      kind: 'unidentified',
      initialDataRead: false,
      requestInProgress: false,
      answeringUser: false,
      evict,
    };
    this.open++;
    const set = this.unidentified.get(address);
    if (set) set.add(slot);
    else this.unidentified.set(address, new Set([slot]));
    return slot;
  }

  private get maxUnidentifiedPerAddress(): number {
    return Math.max(2, this.capacity * UNIDENTIFIED_SHARE_PER_ADDRESS);
  }

  private refuse(): null {
    this.counts.refused++;
    return null;
  }

  /** A connection has ended. */
  release(slot: ConnectionSlot): void {
    this.endUserRequest(slot);
    if (this.removeFromGroup(slot)) this.open--;
  }

  /** Part of a request has been received. */
  onRequestStarted(slot: ConnectionSlot): void {
    slot.requestInProgress = true;
  }

  /**
   * A request is complete and, by its path, of a client of the kind `claimed`. False when it is a user's and too many of
   * these are being answered.
   */
  tryServe(slot: ConnectionSlot, claimed: ClientKind): boolean {
    slot.requestInProgress = true;
    if (slot.kind === 'unidentified') this.identify(slot, claimed);
    if (claimed !== 'user') return true;
    if (this.answeringUsers >= this.capacity * (1 - RESERVED_SHARE)) {
      this.counts.deferred++;
      return false;
    }
    slot.answeringUser = true;
    this.answeringUsers++;
    return true;
  }

  /** A request has been answered, and its content has shown what the client is. */
  onAnswered(slot: ConnectionSlot, kind: ClientKind): void {
    this.endUserRequest(slot);
    slot.requestInProgress = false;
    this.identify(slot, kind);
  }

  private identify(slot: ConnectionSlot, kind: ClientKind): void {
    if (!this.removeFromGroup(slot)) return;
    const as = kind === 'health' && this.identified.health.size >= MAX_HEALTH_SLOTS ? 'user' : kind;
    slot.kind = as;
    this.identified[as].add(slot);
  }

  private endUserRequest(slot: ConnectionSlot): void {
    if (slot.answeringUser) this.answeringUsers--;
    slot.answeringUser = false;
  }

  private removeFromGroup(slot: ConnectionSlot): boolean {
    if (slot.kind !== 'unidentified') return this.identified[slot.kind].delete(slot);
    const set = this.unidentified.get(slot.address);
    if (!set?.delete(slot)) return false;
    if (set.size === 0) this.unidentified.delete(slot.address);
    return true;
  }

  private evict(slot: ConnectionSlot): true {
    this.counts.evicted++;
    this.release(slot);
    slot.evict();
    return true;
  }

  /** Evicts the oldest unidentified connection of an address, if its initial data have been read. */
  private evictOldest(set: ReadonlySet<ConnectionSlot>): boolean {
    // Those behind the first whose initial data have not been read are newer still.
    for (const slot of set) return slot.initialDataRead && this.evict(slot);
    return false;
  }

  /**
   * Evicts one connection in favour of another: unidentified ones of the address that has most of them; users, the longest
   * idle first; then unidentified ones whose initial data have not been read, if their address floods; workers only after
   * all of these, since a machine that is kept out loses its tasks.
   */
  private evictFor(newAddress: string): boolean {
    const { largestRead, largestOther } = this.largestUnidentified(newAddress);
    if (largestRead && this.evictOldest(largestRead)) return true;
    if (this.evictIdle(this.identified.user) || this.evictUnanswered(this.identified.user)) return true;
    const own = this.unidentified.get(newAddress)?.size ?? 0;
    const floodSize = this.maxUnidentifiedPerAddress;
    if (largestOther && largestOther.size >= floodSize && largestOther.size > own)
      return this.evict(largestOther.values().next().value!);
    if (own >= floodSize) return false;
    return this.evictIdle(this.identified.worker);
  }

  /** The largest sets of one address: of those whose oldest's initial data have been read, and of the other addresses. */
  private largestUnidentified(newAddress: string) {
    let largestRead: Set<ConnectionSlot> | null = null;
    let largestOther: Set<ConnectionSlot> | null = null;
    for (const [address, set] of this.unidentified) {
      const oldest = set.values().next().value!;
      if (oldest.initialDataRead && (!largestRead || set.size > largestRead.size)) largestRead = set;
      if (address !== newAddress && (!largestOther || set.size > largestOther.size)) largestOther = set;
    }
    return { largestRead, largestOther };
  }

  /** A user that has sent part of a request keeps its slot no longer than an unidentified connection that has. */
  private evictUnanswered(slots: ReadonlySet<ConnectionSlot>): boolean {
    for (const slot of slots) if (!slot.answeringUser) return this.evict(slot);
    return false;
  }

  private evictIdle(slots: ReadonlySet<ConnectionSlot>): boolean {
    for (const slot of slots) if (!slot.requestInProgress) return this.evict(slot);
    return false;
  }
}
