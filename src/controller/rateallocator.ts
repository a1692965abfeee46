import * as v from 'valibot';
import type { ControllerContext } from '../context/context.js';
import { NotOwnerError, ProtocolViolationError } from '../errors/errors.js';
import type { Mesh } from '../peer/mesh.js';
import { allocateRate } from '../state/rateallocation.js';
import type { StateRates, StateStore } from '../state/statestore.js';
import type { Membership } from './membership.js';

/** What a node asks the leader: its demands; the answer is its shares. */
export const RATES_OP = 'rates';

const rates = v.object({
  requests: v.pipe(v.number(), v.finite(), v.minValue(0)),
  changes: v.pipe(v.number(), v.finite(), v.minValue(0)),
});

/** How often a node tells its demand, how long it waits for its share, and how long a share is good for. */
const ALLOCATION_INTERVAL_MS = 500;
const REQUEST_TIMEOUT_MS = 700;
const ALLOCATION_VALID_MS = 2000;
/** A node whose demand is older than this keeps an even part. */
const DEMAND_VALID_MS = 2000;

interface NodeDemand {
  at: number;
  demand: StateRates;
}

/**
 * The shares of the state service's rates. The leader deals them by what all nodes want, twice a second; a node without
 * a share keeps to its even part. A share that is wrong costs refused requests, and nothing depends on it.
 */
export class RateAllocator {
  private readonly demands = new Map<string, NodeDemand>();
  private mesh: Mesh | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly isLeader: () => boolean,
  ) {}

  start(mesh: Mesh): void {
    this.mesh = mesh;
    this.loop();
  }

  /** A node's demand; answers its share. Fails where this node does not lead. */
  onDemand(from: string, args: unknown): StateRates {
    const demand = v.safeParse(rates, args);
    if (!demand.success) throw new ProtocolViolationError('not a demand');
    if (!this.isLeader()) throw new NotOwnerError('not the leader');
    this.demands.set(from, { at: this.context.clock.now(), demand: demand.output });
    return this.allocationFor(from);
  }

  private loop(): void {
    void this.renew().finally(() => this.context.clock.after(ALLOCATION_INTERVAL_MS, () => this.loop()));
  }

  private async renew(): Promise<void> {
    const { store, settings } = this.context;
    const share = this.isLeader()
      ? this.onDemand(settings.node, store.demand)
      : await this.requestAllocation(this.members.leader(), store);
    if (share) store.allocate(share, ALLOCATION_VALID_MS);
  }

  private async requestAllocation(leader: string | null, store: StateStore): Promise<StateRates | null> {
    if (leader === null || leader === this.context.settings.node || !this.mesh?.connected(leader))
      return null;
    if (!this.members.presenceOf(leader)?.servesChanges) return null;
    const answer = await this.mesh
      .request(leader, RATES_OP, store.demand, REQUEST_TIMEOUT_MS)
      .catch(() => null);
    const read = v.safeParse(rates, answer);
    return read.success ? read.output : null;
  }

  private allocationFor(node: string): StateRates {
    const { clock, settings, store } = this.context;
    const nodes = [settings.node, ...settings.peers.map((p) => p.node)].filter(
      (n) => n === node || this.members.isPresent(n),
    );
    const fresh = nodes.map((n) => {
      const told = this.demands.get(n);
      return told && clock.now() - told.at < DEMAND_VALID_MS ? told.demand : null;
    });
    const at = nodes.indexOf(node);
    const { requests, changes } = store.clusterRates;
    return {
      requests: allocateRate(
        requests,
        fresh.map((d) => d?.requests ?? null),
      )[at]!,
      changes: allocateRate(
        changes,
        fresh.map((d) => d?.changes ?? null),
      )[at]!,
    };
  }
}
