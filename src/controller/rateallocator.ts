import * as v from 'valibot';
import { type PeriodicTask, startPeriodicTask } from '../clock/periodictask.js';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError, ProtocolViolationError } from '../errors/errors.js';
import { allocateRate } from '../state/rateallocation.js';
import type { StateRates, StateStore } from '../state/statestore.js';
import type { Membership } from './membership.js';
import type { PeerConnections } from './peerconnections.js';

/** A node's request to the leader, which contains its demand and is answered with its allocation. */
export const RATES_OP = 'rates';

const rates = v.object({
  requests: v.pipe(v.number(), v.finite(), v.minValue(0)),
  changes: v.pipe(v.number(), v.finite(), v.minValue(0)),
});

/** Interval of demand reports, time-out for the answer, and validity of an allocation. */
const ALLOCATION_INTERVAL_MS = 500;
const REQUEST_TIMEOUT_MS = 700;
const ALLOCATION_VALID_MS = 2000;
/** A node whose last demand is older than this is allocated an even share. */
const DEMAND_VALID_MS = 2000;

/** A node's last demand, with its time of arrival in milliseconds of the monotonic clock. */
interface NodeDemand {
  readonly at: number;
  readonly demand: StateRates;
}

/**
 * Allocates the key-value store's rates to the nodes. The leader allocates by the demand of all nodes, twice a
 * second; a node without an allocation uses its even share. A wrong allocation only causes refused requests; safety
 * does not depend on it.
 */
export class RateAllocator {
  private readonly demands = new Map<string, NodeDemand>();
  private allocationTask: PeriodicTask | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly peers: PeerConnections,
    private readonly isLeader: () => boolean,
  ) {}

  /** Starts to report this node's demand and to apply its allocations. */
  start(): void {
    const { clock, log } = this.context;
    this.allocationTask = startPeriodicTask(clock, ALLOCATION_INTERVAL_MS, () =>
      this.renew().catch((error) => log.error({ err: error }, 'rate allocation failed')),
    );
  }

  /** Stops reporting demand; the last allocation remains in force until it expires. */
  stop(): void {
    this.allocationTask?.stop();
  }

  /** Records a node's demand and returns its allocation. Throws `NotOwnerError` when this node is not the leader. */
  onDemand(from: string, args: unknown): StateRates {
    const demand = v.safeParse(rates, args);
    if (!demand.success) throw new ProtocolViolationError('not a demand');
    if (!this.isLeader()) throw new NotOwnerError('not the leader');
    this.demands.set(from, { at: this.context.clock.now(), demand: demand.output });
    return this.allocationFor(from);
  }

  private async renew(): Promise<void> {
    const { store, settings } = this.context;
    const allocation = this.isLeader()
      ? this.onDemand(settings.node, store.demand)
      : await this.requestAllocation(this.members.leader(), store);
    if (allocation) store.allocate(allocation, ALLOCATION_VALID_MS);
  }

  private async requestAllocation(leader: string | null, store: StateStore): Promise<StateRates | null> {
    const { mesh } = this.peers;
    if (leader === null || leader === this.context.settings.node || !mesh?.connected(leader)) return null;
    if (!this.members.presenceOf(leader)?.servesChanges) return null;
    const answer = await mesh.request(leader, RATES_OP, store.demand, REQUEST_TIMEOUT_MS).catch(() => null);
    const read = v.safeParse(rates, answer);
    return read.success ? read.output : null;
  }

  private allocationFor(node: string): StateRates {
    const { clock, settings, store } = this.context;
    const nodes = [settings.node, ...settings.peers.map((p) => p.node)].filter(
      (n) => n === node || this.members.isPresent(n),
    );
    const demands = nodes.map((n) => {
      const last = this.demands.get(n);
      return last && clock.now() - last.at < DEMAND_VALID_MS ? last.demand : null;
    });
    const index = nodes.indexOf(node);
    const { requests, changes } = store.clusterRates;
    return {
      requests: allocateRate(
        requests,
        demands.map((d) => d?.requests ?? null),
      )[index]!,
      changes: allocateRate(
        changes,
        demands.map((d) => d?.changes ?? null),
      )[index]!,
    };
  }
}
