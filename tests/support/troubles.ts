import { pause } from '../../src/clock/clock.js';
import type { Random } from '../../src/emulator/random.js';
import type { Worker } from '../../src/emulator/worker.js';
import { type FakeCluster, STATE } from './cluster.js';
import type { Fate } from './net.js';

/** A trouble that is to come; times in seconds, `share` of what it concerns. */
export interface Trouble {
  atS: number;
  kind: Kind;
  forS: number;
  share: number;
}

/** What the scripted cluster can bring about, each with the longest that it lasts. */
const MOST_S = {
  'late writes': 30,
  'lost answers': 20,
  'slow state': 20,
  'state refuses owner': 25,
  'state out': 60,
  'late reports': 45,
  'late orders': 30,
  deaf: 40,
  hang: 30,
  'machine dies': 1,
  notice: 12,
  'cut from state': 30,
  'cut from state and peers': 30,
  'cut from workers': 25,
  refused: 25,
  freeze: 15,
  crash: 7,
  'crash of all': 7,
  roll: 20,
} as const;
export type Kind = keyof typeof MOST_S;
export const KINDS = Object.keys(MOST_S) as Kind[];

/** What the state service or the network does to writes: most rules rest on those. */
const OF_WRITES: Kind[] = ['late writes', 'lost answers', 'slow state', 'state refuses owner', 'state out'];

/** Two or three troubles that meet within some seconds. */
export function draw(random: Random): Trouble[] {
  const met = random.between(15, 45);
  return Array.from({ length: random.chance(0.5) ? 2 : 3 }, (_, i): Trouble => {
    const kind = random.pick(i === 0 && random.chance(0.6) ? OF_WRITES : KINDS);
    return {
      atS: round(met + random.between(-6, 12)),
      kind,
      forS: round(MOST_S[kind] * random.between(0.05, 1)),
      share: round(random.between(0.15, 1)),
    };
  }).sort((a, b) => a.atS - b.atS);
}

const round = (x: number) => Math.round(x * 100) / 100;

/** A trouble in words, for who has to find its cause. */
export function describe(t: Trouble): string {
  return `from ${t.atS} s for ${t.forS} s: ${t.kind}, share ${t.share}`;
}

/** Brings troubles about on a scripted cluster, and ends them. */
export class Troubles {
  private readonly writes = new Set<Trouble>();
  private readonly answers = new Set<Trouble>();
  private readonly orders = new Set<Trouble>();
  private readonly reports = new Set<Trouble>();
  private readonly noState = new Set<string>();
  private readonly apart = new Set<string>();
  private readonly hangUntil = new Map<string, number>();
  private slowUntil = 0;
  private open = 0;

  constructor(
    private readonly c: FakeCluster,
    private readonly names: readonly string[],
    private readonly random: Random,
  ) {
    c.net.fate = (from, addr, _method, path) => this.fate(from, addr, path);
    c.reported = (report) => this.copy(report);
    const state = c.net.peers.get(STATE)!;
    c.net.peers.set(STATE, async (...request) => {
      const served = await state(...request);
      if (c.clock.now() < this.slowUntil && !request[1].startsWith('/watch'))
        await pause(c.clock, this.random.between(100, 1200));
      return served;
    });
  }

  get over(): boolean {
    return this.open === 0;
  }

  plan(all: readonly Trouble[]): void {
    for (const t of all) {
      this.open++;
      this.c.clock.after(t.atS * 1000, () => this.begin(t, t.forS * 1000));
    }
  }

  private fate(from: string, addr: string, path: string): Fate {
    const { random } = this;
    const hit = (among: Iterable<Trouble>) => [...among].some((t) => random.chance(t.share));
    if (addr === STATE) {
      if (this.noState.has(from)) return 'silent';
      if (path === '/txn' && hit(this.writes)) return random.between(2000, 12_000);
      return !path.startsWith('/watch') && hit(this.answers) ? 'lost-answer' : 'deliver';
    }
    if (!addr.startsWith('10.1.')) return 'deliver';
    if (this.c.cutFromWorkers.has(from)) return 'silent';
    const until = this.hangUntil.get(addr) ?? 0;
    if (this.c.clock.now() < until) return until - this.c.clock.now() + random.between(0, 300);
    if (path === '/do' && hit(this.orders))
      return random.chance(0.5) ? random.between(1000, 20_000) : 'lost-answer';
    return 'deliver';
  }

  private copy(report: object): void {
    for (const t of this.reports) {
      if (!this.random.chance(t.share * 0.4)) continue;
      const late = JSON.parse(JSON.stringify(report)) as object;
      this.c.clock.after(this.random.between(2000, 45_000), () => {
        const to = this.c.nodes.get(this.random.pick(this.names));
        if (to) void to.api.handle(this.c.request('POST', '/v1/report', late));
      });
    }
  }

  private begin(t: Trouble, ms: number): void {
    const undo = this.bring(t, ms);
    this.c.clock.after(ms, () => {
      undo();
      this.open--;
    });
  }

  /** The node with most shards: the one whose loss costs most. */
  private busiest(): string {
    const held = (n: string) => this.names.filter((_, k) => this.c.owner(k) === n).length;
    const alive = this.names.filter((n) => this.c.nodes.has(n));
    const among = alive.length > 0 ? alive : this.names;
    return this.random.chance(0.3)
      ? this.random.pick(among)
      : among.reduce((best, n) => (held(n) > held(best) ? n : best), among[0]!);
  }

  private some(share: number): Worker[] {
    return this.c.workers.filter(() => this.random.chance(share));
  }

  private bring(t: Trouble, ms: number): () => void {
    const { c } = this;
    const during = (set: Set<Trouble>) => {
      set.add(t);
      return () => void set.delete(t);
    };
    const cut = (node: string, peers: boolean) => {
      c.state.refusing.add(node);
      this.noState.add(node);
      if (peers) this.apart.add(node);
      c.parted = this.apart;
      return () => {
        c.state.refusing.delete(node);
        this.noState.delete(node);
        this.apart.delete(node);
      };
    };
    switch (t.kind) {
      case 'late writes':
        return during(this.writes);
      case 'lost answers':
        return during(this.answers);
      case 'late orders':
        return during(this.orders);
      case 'late reports':
        return during(this.reports);
      case 'slow state':
        this.slowUntil = c.clock.now() + ms;
        return () => undefined;
      case 'state refuses owner': {
        const node = this.busiest();
        c.state.refusing.add(node);
        return () => void c.state.refusing.delete(node);
      }
      case 'state out':
        c.state.down = true;
        return () => c.state.restore();
      case 'deaf': {
        const some = this.some(t.share);
        for (const w of some) c.deaf.add(w);
        return () => {
          for (const w of some) c.deaf.delete(w);
        };
      }
      case 'hang': {
        const some = this.some(t.share);
        for (const w of some) {
          c.silent.add(w);
          this.hangUntil.set(w.place.addr, c.clock.now() + ms);
        }
        return () => {
          for (const w of some) c.silent.delete(w);
        };
      }
      case 'machine dies':
        for (const w of this.some(t.share * 0.4)) c.remove(w);
        return () => undefined;
      case 'notice': {
        const some = this.some(t.share * 0.6);
        for (const w of some) w.notice(t.forS);
        return () => {
          for (const w of some) if (c.workers.includes(w)) c.remove(w);
        };
      }
      case 'cut from state':
        return cut(this.busiest(), false);
      case 'cut from state and peers':
        return cut(this.busiest(), true);
      case 'cut from workers': {
        const node = this.busiest();
        c.cutFromWorkers.add(node);
        return () => void c.cutFromWorkers.delete(node);
      }
      case 'refused': {
        const node = this.busiest();
        c.refused.add(node);
        return () => void c.refused.delete(node);
      }
      case 'freeze': {
        const node = this.busiest();
        return c.nodes.has(node) ? c.freeze(node) : () => undefined;
      }
      case 'crash':
        return this.crash([this.busiest()]);
      case 'crash of all':
        return this.crash(this.names);
      case 'roll':
        return this.roll(ms);
    }
  }

  private crash(nodes: readonly string[]): () => void {
    for (const n of nodes) this.c.killNode(n);
    return () => {
      for (const n of nodes) if (!this.c.nodes.has(n)) this.c.startNode(n);
    };
  }

  private roll(ms: number): () => void {
    const step = ms / this.names.length;
    this.names.forEach((n, i) => {
      this.c.clock.after(i * step, () => {
        const running = this.c.nodes.get(n);
        if (!running) return;
        void running.node.leave().catch(() => undefined);
        this.c.clock.after(Math.min(1500, step * 0.3), () => this.c.killNode(n));
        this.c.clock.after(step * 0.9, () => this.c.nodes.has(n) || this.c.startNode(n));
      });
    });
    return () => undefined;
  }
}
