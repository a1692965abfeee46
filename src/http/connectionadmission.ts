/**
 * Admission control for a server's connections when there are not enough slots for all. Eviction priority depends on
 * the kind of client, as identified by its requests. A connection that has not completed a request is unidentified
 * and is evicted first.
 */

/** The kind of a connection's client, as identified by its requests. */
export type ConnectionKind = 'unidentified' | ClientKind;
/** The kinds of clients: users and their tools, health checks, and workers that send heartbeats. */
export type ClientKind = 'user' | 'health' | 'worker';

/** The admission state of an open connection. */
export interface ConnectionSlot {
  /** Remote address without the port. */
  readonly address: string;
  kind: ConnectionKind;
  /** Whether the data sent before the accept have been read; until then, a complete request may be unread. */
  initialDataRead: boolean;
  /** Whether part of a request has been received or a request is being answered. */
  requestInProgress: boolean;
  /** Whether a user's request is being answered. */
  answeringUser: boolean;
  /** Closes the connection. */
  readonly evict: () => void;
}

/** Share of the slots that users' requests in progress never occupy, reserved for workers and health checks. */
const RESERVED_SHARE = 0.4;
/**
 * Maximum share of the slots for unidentified connections of one address; beyond it, the oldest of them are evicted.
 */
const UNIDENTIFIED_SHARE_PER_ADDRESS = 0.125;
/** Share of occupied slots from which the server is considered near its capacity. */
const NEAR_CAPACITY_SHARE = 0.75;
/** Number of health check connections that are never evicted; any further ones are treated as users. */
const MAX_HEALTH_SLOTS = 8;
/** Number of slots that eviction tries to keep free. */
const SPARE_SLOTS = 2;

/** Numbers of refused and evicted connections and of deferred requests since the start of the server. */
export interface AdmissionCounts {
  /** Connections closed immediately after the accept. */
  refused: number;
  /** Connections closed in favour of others. */
  evicted: number;
  /** Users' requests answered with status 503 because too many were in progress. */
  deferred: number;
}

/**
 * Assigns the slots, without access to sockets or a clock. The time of each operation is at most linear in the number
 * of addresses with unidentified connections and of connections with a request in progress.
 */
export class ConnectionAdmission {
  readonly counts: AdmissionCounts = { refused: 0, evicted: 0, deferred: 0 };
  /** Unidentified connections by address, oldest first. */
  private readonly unidentified = new Map<string, Set<ConnectionSlot>>();
  /** Identified connections by kind, least recently used first. */
  private readonly identified: Record<ClientKind, Set<ConnectionSlot>> = {
    user: new Set(),
    health: new Set(),
    worker: new Set(),
  };
  private open = 0;
  private answeringUsers = 0;

  /** Creates an admission control with `capacity` slots. */
  constructor(readonly capacity: number) {}

  /** Number of open connections. */
  get openCount(): number {
    return this.open;
  }

  /** Whether slots are scarce; if so, unidentified connections get less time for their requests. */
  get nearCapacity(): boolean {
    return this.open >= this.capacity * NEAR_CAPACITY_SHARE;
  }

  /**
   * Assigns a slot to a new connection; returns null if the connection must be closed. `evict` is called to close the
   * connection if it is evicted later.
   */
  admit(address: string, evict: () => void): ConnectionSlot | null {
    const sameAddress = this.unidentified.get(address);
    if (sameAddress && sameAddress.size >= this.maxUnidentifiedPerAddress && !this.evictOldest(sameAddress)) {
      // Even the oldest may have an unread request, so it is kept. More are admitted only while slots are not scarce.
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

  /** Frees the slot of a closed connection. */
  release(slot: ConnectionSlot): void {
    this.endUserRequest(slot);
    if (this.removeFromGroup(slot)) this.open--;
  }

  /** Records that part of a request has been received. */
  onRequestStarted(slot: ConnectionSlot): void {
    slot.requestInProgress = true;
  }

  /**
   * Admits a complete request whose path indicates a client of the kind `claimed`. Returns false if it is a user's
   * request and too many of these are being answered.
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

  /** Records that a request has been answered and that its content has identified the client. */
  onAnswered(slot: ConnectionSlot, kind: ClientKind): void {
    this.endUserRequest(slot);
    slot.requestInProgress = false;
    this.identify(slot, kind);
  }

  private identify(slot: ConnectionSlot, kind: ClientKind): void {
    if (!this.removeFromGroup(slot)) return;
    const effectiveKind =
      kind === 'health' && this.identified.health.size >= MAX_HEALTH_SLOTS ? 'user' : kind;
    slot.kind = effectiveKind;
    this.identified[effectiveKind].add(slot);
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

  /** Evicts the oldest of an address's unidentified connections if its initial data have been read. */
  private evictOldest(set: ReadonlySet<ConnectionSlot>): boolean {
    // Only the oldest is examined: the others are newer, so if its initial data have not been read, theirs have not.
    for (const slot of set) return slot.initialDataRead && this.evict(slot);
    return false;
  }

  /**
   * Evicts one connection in favour of a new one from `newAddress`, in this order of preference: the oldest
   * unidentified connection of the address that has most of them; the longest idle user; a user whose request is
   * incomplete; an unidentified connection whose initial data have not been read, if its address floods the server;
   * the longest idle worker. Workers come last because a machine that cannot connect loses its tasks.
   */
  private evictFor(newAddress: string): boolean {
    const { largestRead, largestOther } = this.largestUnidentified(newAddress);
    if (largestRead && this.evictOldest(largestRead)) return true;
    if (this.evictIdle(this.identified.user) || this.evictUnanswered(this.identified.user)) return true;
    const ownCount = this.unidentified.get(newAddress)?.size ?? 0;
    const floodSize = this.maxUnidentifiedPerAddress;
    if (largestOther && largestOther.size >= floodSize && largestOther.size > ownCount)
      return this.evict(largestOther.values().next().value!);
    if (ownCount >= floodSize) return false;
    return this.evictIdle(this.identified.worker);
  }

  /**
   * Finds the address with most unidentified connections, once among the addresses whose oldest connection's initial
   * data have been read, and once among the addresses other than `newAddress`. Returns the connections of each.
   */
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

  /**
   * Evicts the least recently used connection that has no request being answered. An incomplete request does not
   * protect a user's connection, just as it does not protect an unidentified one.
   */
  private evictUnanswered(slots: ReadonlySet<ConnectionSlot>): boolean {
    for (const slot of slots) if (!slot.answeringUser) return this.evict(slot);
    return false;
  }

  private evictIdle(slots: ReadonlySet<ConnectionSlot>): boolean {
    for (const slot of slots) if (!slot.requestInProgress) return this.evict(slot);
    return false;
  }
}
