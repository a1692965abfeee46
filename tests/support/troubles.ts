import { pause } from '../../src/clock/clock.js';
import type { Random } from '../../src/emulator/random.js';
import type { Worker } from '../../src/emulator/worker.js';
import { type FakeCluster, STATE } from './cluster.js';
import type { Fate } from './net.js';
import type { Users } from './users.js';

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
  'crash of all': 35,
  roll: 20,
  mute: 30,
  'reports for the next leader': 45,
  'zone cut': 35,
  'called off at once': 25,
  'called off at the end': 40,
  'odd requests': 30,
  'up at once': 40,
  'ten leaders': 120,
  'slow links': 60,
  burst: 1,
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

/** Reads a trouble as `KIND@AT+FOR*SHARE`, times in seconds; a string says what is wrong with it. */
export function readTrouble(text: string): Trouble | string {
  const m = /^([a-z ]+)@(\d+(?:\.\d+)?)\+(\d+(?:\.\d+)?)\*(\d+(?:\.\d+)?)$/.exec(text);
  if (!m) return 'not KIND@AT+FOR*SHARE';
  const [kind, atS, forS, share] = [m[1] as Kind, Number(m[2]), Number(m[3]), Number(m[4])];
  if (!KINDS.includes(kind)) return `kind is none of ${KINDS.join(', ')}`;
  if (forS > MOST_S[kind]) return `lasts ${MOST_S[kind]} s at the most`;
  return share > 1 ? 'a share is 1 at the most' : { kind, atS, forS, share };
}

const LOST_MOST = 3;

/** Loses the answers to the first transactions that write a key with this beginning; they are carried out at once. */
export function losing(key: string): {
  fate: (from: string, addr: string, method: string, path: string, body: unknown) => Fate | null;
  count: () => number;
} {
  let lost = 0;
  return {
    count: () => lost,
    fate: (_from, addr, _method, path, body) => {
      if (addr !== STATE || path !== '/txn' || lost >= LOST_MOST) return null;
      const { writes } = body as { writes: { set?: string; drop?: string }[] };
      if (!writes.some((w) => (w.set ?? w.drop ?? '').startsWith(key))) return null;
      lost++;
      return 'lost-answer';
    },
  };
}

/** A trouble in words, for who has to find its cause. */
export function describe(t: Trouble): string {
  return `from ${t.atS} s for ${t.forS} s: ${t.kind}, share ${t.share}`;
}

const SLOW_BOOT_MS = 8000;
/** So many machines of jobs that are called off hang at the most. */
const HANG_MOST = 8;
const LEADERS = 10;
const BURST_MOST = 25;
const WATCH_MS = 50;

/** Brings troubles about on a scripted cluster, and ends them. */
export class Troubles {
  private readonly writes = new Set<Trouble>();
  private readonly answers = new Set<Trouble>();
  private readonly orders = new Set<Trouble>();
  private readonly reports = new Set<Trouble>();
  private readonly forNext = new Set<Trouble>();
  /** Of each machine a report that is kept for the next leader. */
  private readonly kept = new Map<string, object>();
  private readonly quick = new Set<Trouble>();
  private readonly noState = new Set<string>();
  private readonly apart = new Set<string>();
  private readonly hangUntil = new Map<string, number>();
  private slowUntil = 0;
  private open = 0;

  constructor(
    private readonly c: FakeCluster,
    private readonly names: readonly string[],
    private readonly random: Random,
    private readonly users: Users,
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

  /** How long a machine that is rented now takes to be up. */
  get bootMs(): number {
    return this.quick.size > 0 ? this.random.between(200, 2000) : SLOW_BOOT_MS;
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
    const id = (report as { worker: string }).worker;
    if (this.forNext.size > 0 && !this.kept.has(id)) this.kept.set(id, JSON.parse(JSON.stringify(report)));
    for (const t of this.reports) {
      if (!this.random.chance(t.share * 0.4)) continue;
      const late = JSON.parse(JSON.stringify(report)) as object;
      this.c.clock.after(this.random.between(2000, 45_000), () => {
        const to = this.c.nodes.get(this.random.pick(this.names));
        if (to) void to.api.handle(this.c.request('POST', '/v1/report', late));
      });
    }
  }

  /** Gives what was kept of reports to every node as soon as a shard or the leadership has a new holder, and once more a second later. */
  private giveKept(terms: string): void {
    const now = ['c/lead', ...this.names.map((_, k) => `c/own/${k}`)].map(
      (key) => this.c.state.items.get(key)?.version,
    );
    const gone = terms !== '' && now.join() !== terms && !now.includes(undefined);
    if (gone) {
      const kept = [...this.kept.values()];
      this.kept.clear();
      for (const ms of [0, 1000])
        this.c.clock.after(ms, () => {
          for (const report of kept)
            for (const { api } of this.c.nodes.values())
              void api.handle(this.c.request('POST', '/v1/report', report));
        });
    }
    if (this.kept.size > 0 || this.forNext.size > 0)
      this.c.clock.after(WATCH_MS, () => this.giveKept(terms === '' || gone ? now.join() : terms));
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
    const hang = (some: readonly Worker[]) => {
      for (const w of some) {
        c.silent.add(w);
        this.hangUntil.set(w.place.addr, c.clock.now() + ms);
      }
      return () => {
        for (const w of some) c.silent.delete(w);
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
      case 'hang':
        return hang(this.some(t.share));
      case 'called off at once':
        return hang(this.users.cancelNow(t.share).slice(0, this.random.chance(0.5) ? HANG_MOST : 0));
      case 'called off at the end':
        return this.users.cancelAtEnd(t.share);
      case 'odd requests':
        return this.users.odd();
      case 'up at once':
        return during(this.quick);
      case 'reports for the next leader':
        this.forNext.add(t);
        this.giveKept('');
        return () => void this.forNext.delete(t);
      case 'mute': {
        const some = this.some(t.share);
        for (const w of some) c.mute.add(w);
        return () => {
          for (const w of some) c.mute.delete(w);
        };
      }
      case 'zone cut': {
        const zone = this.random.pick(['a', 'b']);
        c.cutZone = zone;
        const inside = this.names.filter((n) => c.zoneIsCut(n));
        for (const n of inside) c.state.refusing.add(n);
        return () => {
          c.cutZone = null;
          for (const n of inside) c.state.refusing.delete(n);
        };
      }
      case 'slow links':
        c.linkMs = () => this.random.between(30, 100 + 400 * t.share);
        return () => {
          c.linkMs = () => 0;
        };
      case 'burst':
        this.users.burst(Math.ceil(t.share * BURST_MOST));
        return () => undefined;
      case 'ten leaders':
        for (let i = 0; i < LEADERS; i++) c.clock.after((i * ms) / LEADERS, () => this.change(ms / LEADERS));
        return () => this.restart();
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
    return () => this.restart();
  }

  private restart(): void {
    for (const n of this.names) if (!this.c.nodes.has(n)) this.c.startNode(n);
  }

  /** Ends the busiest node, without warning or after it has handed over; the one before is back by then, mostly. */
  private change(ms: number): void {
    const node = this.busiest();
    const running = this.c.nodes.get(node);
    if (!running) return;
    const planned = this.random.chance(0.4);
    if (planned) void running.node.leave().catch(() => undefined);
    this.c.clock.after(planned ? Math.min(1500, ms * 0.3) : 0, () => this.c.killNode(node));
    this.c.clock.after(
      ms * this.random.between(0.5, 1.4),
      () => this.c.nodes.has(node) || this.c.startNode(node),
    );
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
