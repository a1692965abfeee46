import { pause } from '../../src/clock/clock.js';
import type { Random } from '../../src/emulator/random.js';
import type { Worker } from '../../src/emulator/worker.js';
import type { Violation } from '../../src/load/history.js';
import { readCommands, WORKER_PATHS } from '../../src/wire/workers.js';
import { type FakeCluster, STATE } from './cluster.js';
import type { RequestOutcome, SentRequest } from './net.js';
import type { Users } from './users.js';

/** A scheduled fault; times are in seconds, and `share` is the affected fraction or the probability of its target. */
export interface Fault {
  atS: number;
  kind: FaultKind;
  forS: number;
  share: number;
}

/** The kinds of faults that can be injected, each with its maximum duration. */
const MAX_DURATION_S = {
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
  'repeated orders': 120,
} as const;
export type FaultKind = keyof typeof MAX_DURATION_S;
export const FAULT_KINDS = Object.keys(MAX_DURATION_S) as FaultKind[];

/** The kinds that are drawn at random. Others are added by name, so that the faults of a seed stay the same. */
const DRAWN_FAULT_KINDS = FAULT_KINDS.filter((kind) => kind !== 'repeated orders');

/** Faults of the key-value store and of writes to it, which most safety rules depend on. */
const STATE_FAULT_KINDS: FaultKind[] = [
  'late writes',
  'lost answers',
  'slow state',
  'state refuses owner',
  'state out',
];

/** Draws two or three faults that begin within 18 s of each other. */
export function drawFaults(random: Random): Fault[] {
  const centreS = random.between(15, 45);
  return Array.from({ length: random.chance(0.5) ? 2 : 3 }, (_, i): Fault => {
    const kind = random.pick(i === 0 && random.chance(0.6) ? STATE_FAULT_KINDS : DRAWN_FAULT_KINDS);
    return {
      atS: round(centreS + random.between(-6, 12)),
      kind,
      forS: round(MAX_DURATION_S[kind] * random.between(0.05, 1)),
      share: round(random.between(0.15, 1)),
    };
  }).sort((a, b) => a.atS - b.atS);
}

const round = (x: number) => Math.round(x * 100) / 100;

/**
 * Parses a fault of the form `KIND@AT+FOR*SHARE`, with times in seconds; returns an error message if it is invalid.
 */
export function parseFault(text: string): Fault | string {
  const m = /^([a-z ]+)@(\d+(?:\.\d+)?)\+(\d+(?:\.\d+)?)\*(\d+(?:\.\d+)?)$/.exec(text);
  if (!m) return 'not of the form KIND@AT+FOR*SHARE';
  const [kind, atS, forS, share] = [m[1] as FaultKind, Number(m[2]), Number(m[3]), Number(m[4])];
  if (!FAULT_KINDS.includes(kind)) return `the kind has to be one of ${FAULT_KINDS.join(', ')}`;
  if (forS > MAX_DURATION_S[kind]) return `lasts at most ${MAX_DURATION_S[kind]} s`;
  return share > 1 ? 'the share is at most 1' : { kind, atS, forS, share };
}

const MAX_LOST_ANSWERS = 3;

/**
 * Loses the answers to the first three transactions that write a key with this prefix. The transactions are
 * executed at once.
 */
export function loseAnswers(key: string): {
  fate: (from: string, addr: string, method: string, path: string, body: unknown) => RequestOutcome | null;
  count: () => number;
} {
  let lost = 0;
  return {
    count: () => lost,
    fate: (_from, addr, _method, path, body) => {
      if (addr !== STATE || path !== '/txn' || lost >= MAX_LOST_ANSWERS) return null;
      const { writes } = body as { writes: { set?: string; drop?: string }[] };
      if (!writes.some((w) => (w.set ?? w.drop ?? '').startsWith(key))) return null;
      lost++;
      return 'lost-answer';
    },
  };
}

/** Describes a fault in the output of a failed run. */
export function describeFault(fault: Fault): string {
  return `from ${fault.atS} s for ${fault.forS} s: ${fault.kind}, share ${fault.share}`;
}

const SLOW_BOOT_MS = 8000;
/** Maximum number of machines of cancelled jobs that hang. */
const MAX_HUNG_MACHINES = 8;
const LEADER_CHANGES = 10;
const MAX_BURST_JOBS = 25;
const TERM_POLL_MS = 50;
/** A repeated command arrives between these times after the original. */
const REPEAT_AFTER_MS = { min: 200, max: 60_000 };

/** Injects faults into a scripted cluster, and ends them. */
export class FaultInjector {
  private readonly delayedWrites = new Set<Fault>();
  private readonly lostAnswers = new Set<Fault>();
  private readonly delayedCommands = new Set<Fault>();
  private readonly repeatedCommands = new Set<Fault>();
  private readonly delayedHeartbeats = new Set<Fault>();
  private readonly heartbeatsForNextLeader = new Set<Fault>();
  /** The heartbeats kept for the next leader, one per machine. */
  private readonly keptHeartbeats = new Map<string, object>();
  private readonly fastBoots = new Set<Fault>();
  private readonly nodesWithoutState = new Set<string>();
  private readonly isolatedNodes = new Set<string>();
  private readonly hangUntil = new Map<string, number>();
  private slowUntil = 0;
  private activeCount = 0;
  /** Number of start commands that were repeated after they had been carried out. */
  startsRepeated = 0;
  /** Repeated start commands that were carried out again. */
  readonly repeatedStarts: Violation[] = [];

  constructor(
    private readonly cluster: FakeCluster,
    private readonly names: readonly string[],
    private readonly random: Random,
    private readonly users: Users,
  ) {
    cluster.net.outcomeOf = (from, addr, _method, path) => this.fate(from, addr, path);
    cluster.onHeartbeat = (report) => this.captureHeartbeat(report);
    cluster.net.onAnswered = (request, response) => {
      if (request.path === WORKER_PATHS.commands && response.status === 200) this.maybeRepeat(request);
    };
    const state = cluster.net.peers.get(STATE)!;
    cluster.net.peers.set(STATE, async (...request) => {
      const served = await state(...request);
      if (cluster.clock.now() < this.slowUntil && !request[1].startsWith('/watch'))
        await pause(cluster.clock, this.random.between(100, 1200));
      return served;
    });
  }

  get allEnded(): boolean {
    return this.activeCount === 0;
  }

  /** The boot time of a machine that is rented now. */
  get bootMs(): number {
    return this.fastBoots.size > 0 ? this.random.between(200, 2000) : SLOW_BOOT_MS;
  }

  plan(all: readonly Fault[]): void {
    for (const t of all) {
      this.activeCount++;
      this.cluster.clock.after(t.atS * 1000, () => this.start(t, t.forS * 1000));
    }
  }

  private fate(from: string, addr: string, path: string): RequestOutcome {
    const { random } = this;
    const isHit = (faults: Iterable<Fault>) => [...faults].some((fault) => random.chance(fault.share));
    if (addr === STATE) {
      if (this.nodesWithoutState.has(from)) return 'silent';
      if (path === '/txn' && isHit(this.delayedWrites)) return random.between(2000, 12_000);
      return !path.startsWith('/watch') && isHit(this.lostAnswers) ? 'lost-answer' : 'deliver';
    }
    if (!addr.startsWith('10.1.')) return 'deliver';
    if (this.cluster.nodesCutFromWorkers.has(from)) return 'silent';
    const until = this.hangUntil.get(addr) ?? 0;
    if (this.cluster.clock.now() < until) return until - this.cluster.clock.now() + random.between(0, 300);
    if (path === '/do' && isHit(this.delayedCommands))
      return random.chance(0.5) ? random.between(1000, 20_000) : 'lost-answer';
    return 'deliver';
  }

  /** Repeats a request that a worker has carried out, at some later time. */
  private maybeRepeat(request: SentRequest): void {
    const { random, cluster } = this;
    if (![...this.repeatedCommands].some((fault) => random.chance(fault.share))) return;
    const commands = readCommands(request.body)?.commands ?? [];
    const starts = commands.filter((command) => command.op === 'start');
    cluster.clock.after(random.between(REPEAT_AFTER_MS.min, REPEAT_AFTER_MS.max), () => {
      const worker = cluster.workers.find((w) => w.identity.addr === request.addr);
      if (!worker) return;
      this.startsRepeated += starts.length;
      const executedBefore = worker.executedStarts.length;
      void cluster.net.repeat(request);
      for (const task of worker.executedStarts.slice(executedBefore))
        this.repeatedStarts.push({
          rule: 'started_by_repeat',
          at: cluster.clock.now(),
          what: `${task} starts again on ${worker.id}`,
        });
    });
  }

  private captureHeartbeat(report: object): void {
    const id = (report as { worker: string }).worker;
    if (this.heartbeatsForNextLeader.size > 0 && !this.keptHeartbeats.has(id))
      this.keptHeartbeats.set(id, JSON.parse(JSON.stringify(report)));
    for (const t of this.delayedHeartbeats) {
      if (!this.random.chance(t.share * 0.4)) continue;
      const late = JSON.parse(JSON.stringify(report)) as object;
      this.cluster.clock.after(this.random.between(2000, 45_000), () => {
        const to = this.cluster.nodes.get(this.random.pick(this.names));
        if (to) void to.api.handle(this.cluster.request('POST', '/v1/report', late));
      });
    }
  }

  /**
   * Sends the kept heartbeats to every node as soon as a shard or the cluster has a new leader, and again a second
   * later.
   */
  private replayKeptHeartbeats(terms: string): void {
    const now = ['c/lead', ...this.names.map((_, k) => `c/own/${k}`)].map(
      (key) => this.cluster.state.items.get(key)?.version,
    );
    const changed = terms !== '' && now.join() !== terms && !now.includes(undefined);
    if (changed) {
      const heartbeats = [...this.keptHeartbeats.values()];
      this.keptHeartbeats.clear();
      for (const ms of [0, 1000])
        this.cluster.clock.after(ms, () => {
          for (const report of heartbeats)
            for (const { api } of this.cluster.nodes.values())
              void api.handle(this.cluster.request('POST', '/v1/report', report));
        });
    }
    if (this.keptHeartbeats.size > 0 || this.heartbeatsForNextLeader.size > 0)
      this.cluster.clock.after(TERM_POLL_MS, () =>
        this.replayKeptHeartbeats(terms === '' || changed ? now.join() : terms),
      );
  }

  private start(fault: Fault, ms: number): void {
    const undo = this.inject(fault, ms);
    this.cluster.clock.after(ms, () => {
      undo();
      this.activeCount--;
    });
  }

  /** Picks the node with most shards, whose loss has the largest effect, or with probability 0.3 a random one. */
  private pickBusiest(): string {
    const shardsOwned = (n: string) => this.names.filter((_, k) => this.cluster.owner(k) === n).length;
    const alive = this.names.filter((n) => this.cluster.nodes.has(n));
    const candidates = alive.length > 0 ? alive : this.names;
    return this.random.chance(0.3)
      ? this.random.pick(candidates)
      : candidates.reduce((best, n) => (shardsOwned(n) > shardsOwned(best) ? n : best), candidates[0]!);
  }

  private pickWorkers(share: number): Worker[] {
    return this.cluster.workers.filter(() => this.random.chance(share));
  }

  private inject(fault: Fault, ms: number): () => void {
    const { cluster } = this;
    const whileActive = (set: Set<Fault>) => {
      set.add(fault);
      return () => void set.delete(fault);
    };
    const cutOff = (node: string, peers: boolean) => {
      cluster.state.refusedCallers.add(node);
      this.nodesWithoutState.add(node);
      if (peers) this.isolatedNodes.add(node);
      cluster.isolatedNodes = this.isolatedNodes;
      return () => {
        cluster.state.refusedCallers.delete(node);
        this.nodesWithoutState.delete(node);
        this.isolatedNodes.delete(node);
      };
    };
    const hang = (affected: readonly Worker[]) => {
      for (const w of affected) {
        cluster.notSendingHeartbeats.add(w);
        this.hangUntil.set(w.identity.addr, cluster.clock.now() + ms);
      }
      return () => {
        for (const w of affected) cluster.notSendingHeartbeats.delete(w);
      };
    };
    switch (fault.kind) {
      case 'late writes':
        return whileActive(this.delayedWrites);
      case 'lost answers':
        return whileActive(this.lostAnswers);
      case 'late orders':
        return whileActive(this.delayedCommands);
      case 'repeated orders':
        return whileActive(this.repeatedCommands);
      case 'late reports':
        return whileActive(this.delayedHeartbeats);
      case 'slow state':
        this.slowUntil = cluster.clock.now() + ms;
        return () => undefined;
      case 'state refuses owner': {
        const node = this.pickBusiest();
        cluster.state.refusedCallers.add(node);
        return () => void cluster.state.refusedCallers.delete(node);
      }
      case 'state out':
        cluster.state.down = true;
        return () => cluster.state.endOutage();
      case 'deaf': {
        const affected = this.pickWorkers(fault.share);
        for (const w of affected) cluster.inboundBlocked.add(w);
        return () => {
          for (const w of affected) cluster.inboundBlocked.delete(w);
        };
      }
      case 'hang':
        return hang(this.pickWorkers(fault.share));
      case 'called off at once':
        return hang(
          this.users.cancelNow(fault.share).slice(0, this.random.chance(0.5) ? MAX_HUNG_MACHINES : 0),
        );
      case 'called off at the end':
        return this.users.cancelAtEnd(fault.share);
      case 'odd requests':
        return this.users.startInvalidRequests();
      case 'up at once':
        return whileActive(this.fastBoots);
      case 'reports for the next leader':
        this.heartbeatsForNextLeader.add(fault);
        this.replayKeptHeartbeats('');
        return () => void this.heartbeatsForNextLeader.delete(fault);
      case 'mute': {
        const affected = this.pickWorkers(fault.share);
        for (const w of affected) cluster.outboundBlocked.add(w);
        return () => {
          for (const w of affected) cluster.outboundBlocked.delete(w);
        };
      }
      case 'zone cut': {
        const zone = this.random.pick(['a', 'b']);
        cluster.isolatedZone = zone;
        const inside = this.names.filter((n) => cluster.isZoneIsolated(n));
        for (const n of inside) cluster.state.refusedCallers.add(n);
        return () => {
          cluster.isolatedZone = null;
          for (const n of inside) cluster.state.refusedCallers.delete(n);
        };
      }
      case 'slow links':
        cluster.linkDelayMs = () => this.random.between(30, 100 + 400 * fault.share);
        return () => {
          cluster.linkDelayMs = () => 0;
        };
      case 'burst':
        this.users.burst(Math.ceil(fault.share * MAX_BURST_JOBS));
        return () => undefined;
      case 'ten leaders':
        for (let i = 0; i < LEADER_CHANGES; i++)
          cluster.clock.after((i * ms) / LEADER_CHANGES, () => this.changeLeader(ms / LEADER_CHANGES));
        return () => this.restart();
      case 'machine dies':
        for (const w of this.pickWorkers(fault.share * 0.4)) cluster.remove(w);
        return () => undefined;
      case 'notice': {
        const affected = this.pickWorkers(fault.share * 0.6);
        for (const w of affected) w.notice(fault.forS);
        return () => {
          for (const w of affected) if (cluster.workers.includes(w)) cluster.remove(w);
        };
      }
      case 'cut from state':
        return cutOff(this.pickBusiest(), false);
      case 'cut from state and peers':
        return cutOff(this.pickBusiest(), true);
      case 'cut from workers': {
        const node = this.pickBusiest();
        cluster.nodesCutFromWorkers.add(node);
        return () => void cluster.nodesCutFromWorkers.delete(node);
      }
      case 'refused': {
        const node = this.pickBusiest();
        cluster.nodesRefusingPeers.add(node);
        return () => void cluster.nodesRefusingPeers.delete(node);
      }
      case 'freeze': {
        const node = this.pickBusiest();
        return cluster.nodes.has(node) ? cluster.freeze(node) : () => undefined;
      }
      case 'crash':
        return this.crash([this.pickBusiest()]);
      case 'crash of all':
        return this.crash(this.names);
      case 'roll':
        return this.rollingRestart(ms);
    }
  }

  private crash(nodes: readonly string[]): () => void {
    for (const n of nodes) this.cluster.killNode(n);
    return () => this.restart();
  }

  private restart(): void {
    for (const n of this.names) if (!this.cluster.nodes.has(n)) this.cluster.startNode(n);
  }

  /**
   * Stops the busiest node, by a crash or after a handover; the previously stopped node has usually restarted by
   * then.
   */
  private changeLeader(ms: number): void {
    const node = this.pickBusiest();
    const running = this.cluster.nodes.get(node);
    if (!running) return;
    const planned = this.random.chance(0.4);
    if (planned) void running.node.leave().catch(() => undefined);
    this.cluster.clock.after(planned ? Math.min(1500, ms * 0.3) : 0, () => this.cluster.killNode(node));
    this.cluster.clock.after(
      ms * this.random.between(0.5, 1.4),
      () => this.cluster.nodes.has(node) || this.cluster.startNode(node),
    );
  }

  private rollingRestart(ms: number): () => void {
    const step = ms / this.names.length;
    this.names.forEach((n, i) => {
      this.cluster.clock.after(i * step, () => {
        const running = this.cluster.nodes.get(n);
        if (!running) return;
        void running.node.leave().catch(() => undefined);
        this.cluster.clock.after(Math.min(1500, step * 0.3), () => this.cluster.killNode(n));
        this.cluster.clock.after(step * 0.9, () => this.cluster.nodes.has(n) || this.cluster.startNode(n));
      });
    });
    return () => undefined;
  }
}
