import * as v from 'valibot';
import type { World } from '../context/context.js';
import type { Mesh } from '../peer/mesh.js';
import { shareRate } from '../state/rateallocation.js';
import type { StateRates, StateStore } from '../state/statestore.js';
import type { Members } from './membership.js';

/** What a node asks the leader: its demands; the answer is its shares. */
export const RATES_OP = 'rates';

const rates = v.object({
  requests: v.pipe(v.number(), v.finite(), v.minValue(0)),
  changes: v.pipe(v.number(), v.finite(), v.minValue(0)),
});

/** How often a node tells its demand, how long it waits for its share, and how long a share is good for. */
const EVERY_MS = 500;
const ANSWER_MS = 700;
const VALID_MS = 2000;
/** A node whose demand is older than this keeps an even part. */
const KNOWN_MS = 2000;

interface Told {
  at: number;
  demand: StateRates;
}

/**
 * The shares of the state service's rates. The leader deals them by what all nodes want, twice a second; a node without
 * a share keeps to its even part. A share that is wrong costs refused requests, and nothing depends on it.
 */
export class Rates {
  private readonly told = new Map<string, Told>();
  private mesh: Mesh | null = null;

  constructor(
    private readonly world: World,
    private readonly members: Members,
    private readonly leads: () => boolean,
  ) {}

  start(mesh: Mesh): void {
    this.mesh = mesh;
    this.loop();
  }

  /** A node's demand; answers its share. Fails where this node does not lead. */
  hear(from: string, args: unknown): StateRates {
    const demand = v.safeParse(rates, args);
    if (!demand.success) throw new Error('not a demand');
    if (!this.leads()) throw new Error('not the leader');
    this.told.set(from, { at: this.world.clock.now(), demand: demand.output });
    return this.shareOf(from);
  }

  private loop(): void {
    void this.renew().finally(() => this.world.clock.after(EVERY_MS, () => this.loop()));
  }

  private async renew(): Promise<void> {
    const { store, settings } = this.world;
    const share = this.leads()
      ? this.hear(settings.node, store.demand)
      : await this.ask(this.members.leader(), store);
    if (share) store.share(share, VALID_MS);
  }

  private async ask(leader: string | null, store: StateStore): Promise<StateRates | null> {
    if (leader === null || leader === this.world.settings.node || !this.mesh?.connected(leader)) return null;
    if (!this.members.presenceOf(leader)?.feeds) return null;
    const answer = await this.mesh.ask(leader, RATES_OP, store.demand, ANSWER_MS).catch(() => null);
    const read = v.safeParse(rates, answer);
    return read.success ? read.output : null;
  }

  private shareOf(node: string): StateRates {
    const { clock, settings, store } = this.world;
    const nodes = [settings.node, ...settings.peers.map((p) => p.node)].filter(
      (n) => n === node || this.members.present(n),
    );
    const fresh = nodes.map((n) => {
      const told = this.told.get(n);
      return told && clock.now() - told.at < KNOWN_MS ? told.demand : null;
    });
    const at = nodes.indexOf(node);
    const { requests, changes } = store.shared;
    return {
      requests: shareRate(
        requests,
        fresh.map((d) => d?.requests ?? null),
      )[at]!,
      changes: shareRate(
        changes,
        fresh.map((d) => d?.changes ?? null),
      )[at]!,
    };
  }
}
