import pino from 'pino';
import { Api } from '../../src/api/routes.js';
import { CHANGE_FEED_OPS } from '../../src/changefeed/messages.js';
import { pause } from '../../src/clock/clock.js';
import { Cloud } from '../../src/cloud/cloud.js';
import { ClassAdMatcher } from '../../src/condor/matcher.js';
import { CondorService } from '../../src/condor/service.js';
import type { Settings } from '../../src/config/settings.js';
import type { ControllerContext } from '../../src/context/context.js';
import { MachineTypeCatalog } from '../../src/context/machinetypecatalog.js';
import { NameTables } from '../../src/context/nametables.js';
import { ControllerNode } from '../../src/controller/controllernode.js';
import { RATES_OP } from '../../src/controller/rateallocator.js';
import { StandbyCoordinator } from '../../src/controller/standbycoordinator.js';
import { CloudService } from '../../src/emulator/cloud.js';
import { StateService } from '../../src/emulator/state.js';
import { type Runtime, Worker } from '../../src/emulator/worker.js';
import type { HttpReply, HttpRequest } from '../../src/http/server.js';
import type { Mesh } from '../../src/peer/mesh.js';
import { StateStore } from '../../src/state/statestore.js';
import { CLOUD_PATHS, type MachineType, type Rental, readRental } from '../../src/wire/cloud.js';
import { readRedirect } from '../../src/wire/workers.js';
import { FakeClock } from './clock.js';
import { FakeNet } from './net.js';

export const STATE = '10.2.0.1:2379';
const CLOUD = '10.2.0.2:8443';
export const LEASE_S = 20;

interface Running {
  node: ControllerNode;
  store: StateStore;
  api: Api;
  cut: boolean;
  stopped: { value: boolean };
  /** While it stands still, what comes due or comes in is queued, as in the sockets of a process that does not run. */
  still: { value: boolean; queue: (() => void)[] };
}

function settings(name: string, names: string[], zoneOf: (node: string) => string): Settings {
  return {
    node: name,
    zone: zoneOf(name),
    listen: { host: '127.0.0.1', port: 1 },
    peerListen: { host: '127.0.0.1', port: 2 },
    peers: names.filter((n) => n !== name).map((n) => ({ node: n, zone: zoneOf(n), addr: n })),
    cloud: CLOUD,
    state: STATE,
    nodes: names.length,
    zones: ['a', 'b'],
    regions: {},
    skewMs: 1000,
    teams: [],
    objectives: [],
    workers: { reportS: 3, leaseS: LEASE_S, gangWaitS: 40, gangPeerS: 5, cancelS: 45 },
    stateLimits: { rps: 600, writeRps: 300, valueKb: 8, txnOps: 16 },
    layoutKb: 8,
    cloudLimits: { rps: 30, listLagS: 6 },
    limits: { cores: 0.2, memoryMb: 200, maxSockets: 500 },
  };
}

/** What the version in production does not understand. */
const NEW_OPS: ReadonlySet<string> = new Set([...Object.values(CHANGE_FEED_OPS), RATES_OP]);

/** Controllers, state service, cloud and workers on one fake clock, all of them scripted but the controllers. */
export class FakeCluster {
  readonly clock = new FakeClock();
  readonly net = new FakeNet(this.clock);
  readonly state = new StateService(this.clock);
  readonly cloud = new CloudService(this.clock, {
    types: () => this.types,
    rent: (r) => this.rent(r),
    release: (ids) => this.release(ids),
    list: () =>
      [...this.workers, ...this.ghosts].map(({ place }) => ({ ...place, state: 'running', ageS: 100 })),
  });
  readonly nodes = new Map<string, Running>();
  readonly workers: Worker[] = [];
  readonly rented: Rental[] = [];
  readonly released: string[] = [];
  /** Which node each worker reports to. */
  private readonly reportsTo = new Map<Worker, string>();
  readonly silent = new Set<Worker>();
  /** Sees every report that a worker sends. */
  reported: ((report: object) => void) | null = null;
  /** Workers whose reports arrive, while no answer and no order reaches them. */
  readonly deaf = new Set<Worker>();
  /** When a deaf worker gives up waiting and reports to the next node. */
  private readonly deafUntil = new Map<Worker, number>();
  /** Nodes that reach no other controller, and are reached by none. */
  parted: ReadonlySet<string> = new Set();
  /** Zones of nodes that are not in `a`. */
  readonly zones = new Map<string, string>();
  /** A zone that is cut off from everything, with its nodes and workers; inside it all goes on. */
  cutZone: string | null = null;
  /** Workers that reach no node, while orders reach them. */
  readonly mute = new Set<Worker>();
  /** How long what nodes send is under way, in milliseconds. */
  linkMs: () => number = () => 0;
  /** Nodes that no worker reaches, while all else does. */
  readonly cutFromWorkers = new Set<string>();
  capacity = false;
  stateRates = { rps: 600, writeRps: 300 };
  /** Zones of each region; none where all are in one. */
  regions: Record<string, string[]> = {};
  /** Into how many parts the nodes take these rates to be parted. */
  ratesParted = 1;
  /** Types that come beside the usual two: name, CPUs, GPUs. */
  readonly moreTypes: [string, number, number][] = [];
  /** What a GPU adds to the price of a machine. */
  cardPrice = 0;
  /** Machines that the list still shows although they are gone. */
  readonly ghosts: Worker[] = [];
  teams: Settings['teams'] = [{ name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 }];
  stateLimits: Settings['stateLimits'] = { rps: 600, writeRps: 300, valueKb: 8, txnOps: 16 };
  /** Messages that arrive, and their answers do not. */
  readonly lostAnswers = new Set<string>();
  /** Nodes whose connections from other controllers are refused. */
  readonly refused = new Set<string>();
  /** Messages between controllers, by their names, that get lost. */
  readonly lostMessages = new Set<string>();
  readonly sent: { from: string; to: string; op: string }[] = [];
  objectives: Settings['objectives'] = [{ kind: 'wait', class: 'train', withinS: 10, share: 0.9 }];
  /** Nodes serve HTCondor submit files. */
  condor = false;
  /** Nodes of the version before changes were passed on and rates were dealt: they do neither, and say so. */
  readonly former = new Set<string>();
  /** Nodes that are started have standbys; a list names those that do. */
  standby: boolean | string[] = false;
  /** What becomes of tasks on workers that are added from here on; without it they run until a test ends them. */
  runtime: Runtime | null = null;
  private runs = 0;
  private made = 0;

  constructor(private readonly names: string[]) {
    this.net.peers.set(STATE, (m, p, b, from) => this.state.serve(m, p, this.asFormer(b, from), from));
    this.net.peers.set(CLOUD, (m, p, b) => {
      const rental = m === 'POST' && p === CLOUD_PATHS.machines ? readRental(b) : null;
      if (rental) this.rented.push(rental);
      return this.cloud.serve(m, p, b);
    });
    this.net.delayMs = () => this.linkMs();
    this.net.apart = (from, addr) =>
      this.cutZone !== null && this.isApart(this.zoneOf(from), this.zoneAt(addr));
    this.reportLoop();
  }

  /** A request of a node of the former version: its presence does not say what it does not know. */
  private asFormer(body: unknown, from: string): unknown {
    if (!this.former.has(from) || body === null) return body;
    return JSON.parse(JSON.stringify(body, (key, value) => (key === 'feeds' ? undefined : value)));
  }

  private zoneOf(node: string): string {
    return this.zones.get(node) ?? 'a';
  }

  /** The zone of the worker at an address; the services are in none. */
  private zoneAt(addr: string): string | null {
    return this.workers.find((w) => w.place.addr === addr)?.place.zone ?? null;
  }

  private isApart(one: string | null, other: string | null): boolean {
    return this.cutZone !== null && (one === this.cutZone) !== (other === this.cutZone);
  }

  /** Whether a node is cut off together with its zone. */
  zoneIsCut(node: string): boolean {
    return this.cutZone === this.zoneOf(node);
  }

  addWorker(type: string, zone: string, spot = false): Worker {
    const n = ++this.made;
    const id = `m-${String(n).padStart(6, '0')}`;
    const addr = `10.1.${n >> 8}.${n & 255}:9000`;
    const worker = new Worker(this.clock, { id, addr, type, zone, spot }, LEASE_S, this.runtime);
    this.net.peers.set(addr, (m, p, b) =>
      this.deaf.has(worker) ? new Promise(() => undefined) : worker.serve(m, p, b),
    );
    this.workers.push(worker);
    return worker;
  }

  startNode(name: string): Running {
    const http = this.net.requester(name);
    const names = new NameTables();
    const s = {
      ...settings(name, this.names, (n) => this.zoneOf(n)),
      objectives: this.objectives,
      teams: this.teams,
      stateLimits: this.stateLimits,
      regions: this.regions,
    };
    for (const t of s.teams) names.teams.index(t.name);
    const stopped = { value: false };
    const still: Running['still'] = { value: false, queue: [] };
    const whenRunning = (run: () => void) => {
      if (stopped.value) return;
      if (still.value) still.queue.push(run);
      else run();
    };
    const awake = <T>(value: T) => new Promise<T>((resolve) => whenRunning(() => resolve(value)));
    // A process that was killed runs nothing any more.
    const clock = {
      now: () => this.clock.now(),
      wall: () => this.clock.wall(),
      after: (ms: number, run: () => void) => this.clock.after(ms, () => whenRunning(run)),
    };
    const context: ControllerContext = {
      clock,
      settings: s,
      log: pino({ level: 'silent' }),
      http: {
        request: (...args) =>
          stopped.value
            ? new Promise(() => undefined)
            : http.request(...args).then(awake, (error) => awake(null).then(() => Promise.reject(error))),
      },
      store: null as unknown as StateStore,
      cloud: null as unknown as Cloud,
      names,
      catalog: new MachineTypeCatalog(names),
      removedMachines: new Map(),
      matchCompiler: null,
      incarnation: `${name}-${++this.runs}`,
    };
    if (this.condor) context.matchCompiler = new ClassAdMatcher(names, context.catalog);
    context.store = new StateStore(clock, context.http, STATE, {
      ...this.stateRates,
      nodes: this.ratesParted,
    });
    context.cloud = new Cloud(clock, context.http, CLOUD, 30, 1);
    const node = new ControllerNode(context, this.stands(name) ? StandbyCoordinator : null);
    const api = new Api(context, node);
    const handle = api.handle.bind(api);
    api.handle = (request) => awake(request).then(handle);
    const condor = this.condor ? new CondorService(context, node, { team: 'red', depot: null }) : null;
    if (condor) {
      api.mounts.set('/condor/', (request) => condor.handle(request));
      condor.start();
    }
    const running: Running = { node, store: context.store, api, cut: false, stopped, still };
    this.nodes.set(name, running);
    void node.start(this.mesh(name, running));
    return running;
  }

  private stands(name: string): boolean {
    return Array.isArray(this.standby) ? this.standby.includes(name) : this.standby;
  }

  /** Lets a node stand still while its clocks run on; returns what wakes it. */
  freeze(name: string): () => void {
    const { still } = this.nodes.get(name)!;
    still.value = true;
    return () => {
      still.value = false;
      for (const run of still.queue.splice(0)) run();
    };
  }

  /** The node that a shard's key names. */
  owner(shard: number): string | undefined {
    return (this.state.value(`c/own/${shard}`) as { node: string } | undefined)?.node;
  }

  /** The shard that an unfinished job is in. */
  shardOf(job: string): number {
    return (this.state.value(`act/${job}`) as { shard: number }).shard;
  }

  /** Attempts on all workers, and starts that they have executed so far. */
  get attempts(): number {
    return this.workers.reduce((n, w) => n + w.attempts.length, 0);
  }

  get starts(): number {
    return this.workers.reduce((n, w) => n + w.started.length, 0);
  }

  killNode(name: string): void {
    const running = this.nodes.get(name);
    if (running) running.stopped.value = true;
    this.nodes.delete(name);
  }

  request(method: string, path: string, body: object | null = null): HttpRequest {
    return {
      method,
      path,
      query: new URLSearchParams(),
      headers: new Map(),
      body: Buffer.from(body === null ? '' : JSON.stringify(body)),
    };
  }

  async call(node: string, method: string, path: string, body: object | null = null): Promise<HttpReply> {
    const running = this.nodes.get(node)!;
    return this.answered(running.api.handle(this.request(method, path, body)));
  }

  /** Lets time pass until a request is answered. */
  async answered(answer: Promise<HttpReply>): Promise<HttpReply> {
    let reply: HttpReply | null = null;
    void answer.then((r) => {
      reply = r;
    });
    await this.clock.until(() => reply !== null, 6000);
    return reply ?? { status: 504 };
  }

  /** Submits until accepted, as users do. */
  async submit(node: string, job: object): Promise<boolean> {
    for (let i = 0; i < 30; i++) {
      const reply = await this.call(node, 'POST', '/api/jobs', job);
      if (reply.status === 201 || reply.status === 200) return true;
      await this.clock.advance(1000);
    }
    return false;
  }

  private mesh(from: string, running: Running): Mesh {
    return {
      request: async (to, op, args, timeoutMs) => {
        // A process that was killed asks nothing any more.
        if (running.stopped.value) return new Promise(() => undefined);
        const target = this.nodes.get(to);
        this.sent.push({ from, to, op });
        const unknown = NEW_OPS.has(op) && (this.former.has(from) || this.former.has(to));
        if (unknown) throw new Error(`unknown request ${op}`);
        if (!target || target.cut || running.cut || target.still.value) throw new Error('not connected');
        if (this.nodesApart(from, to)) throw new Error('not connected');
        if (this.refused.has(to)) throw new Error('refused');
        if (this.lostMessages.has(op)) throw new Error('no answer');
        const ms = this.linkMs();
        if (ms > 0) await pause(this.clock, ms);
        // A node that is killed meanwhile never answers.
        return new Promise((resolve, reject) => {
          const timer = this.clock.after(timeoutMs, () => reject(new Error('no answer')));
          target.node
            .serve(op, JSON.parse(JSON.stringify(args)), from)
            .then((answer) => this.lostAnswers.has(op) || resolve(answer), reject)
            .finally(() => this.lostAnswers.has(op) || timer.cancel());
        });
      },
      notify: (to, op, args) => {
        const target = this.nodes.get(to);
        if (!target || target.cut || running.cut || running.stopped.value || target.still.value) return;
        if (this.lostMessages.has(op) || this.refused.has(to)) return;
        if (this.nodesApart(from, to)) return;
        void target.node.serve(op, JSON.parse(JSON.stringify(args)), from).catch(() => from);
      },
      refused: (to) => !this.nodes.has(to) || this.refused.has(to),
      connected: (to) => {
        const target = this.nodes.get(to);
        if (this.nodesApart(from, to)) return false;
        return target !== undefined && !target.cut && !running.cut && !this.refused.has(to);
      },
    };
  }

  private nodesApart(one: string, other: string): boolean {
    if (this.parted.has(one) || this.parted.has(other)) return true;
    return this.isApart(this.zoneOf(one), this.zoneOf(other));
  }

  private reportLoop(): void {
    for (const w of this.workers) if (!this.silent.has(w)) this.reportOnce(w);
    this.clock.after(1000, () => this.reportLoop());
  }

  private reportOnce(w: Worker): void {
    const at = this.reportsTo.get(w) ?? this.names[0]!;
    const next = this.names[(this.names.indexOf(at) + 1) % this.names.length]!;
    const running = this.nodes.get(at);
    const sent = this.clock.now();
    const deaf = this.deaf.has(w);
    if (deaf) {
      if (sent < (this.deafUntil.get(w) ?? 0)) return;
      this.deafUntil.set(w, sent + 5000);
    }
    const unreached = this.mute.has(w) || this.isApart(w.place.zone, this.zoneOf(at));
    if (!running || running.cut || unreached || this.cutFromWorkers.has(at)) {
      this.reportsTo.set(w, next);
      return;
    }
    // No answer in time, as from a node that stands still.
    const timer = this.clock.after(4000, () => this.reportsTo.get(w) === at && this.reportsTo.set(w, next));
    this.reportsTo.set(w, at);
    const report = w.report();
    this.reported?.(report);
    void running.api.handle(this.request('POST', '/v1/report', report)).then((reply) => {
      // It waits 4 s in vain, and a second later it is the next node's turn.
      if (deaf) return;
      timer.cancel();
      if (reply.status === 200) w.answer(JSON.parse(JSON.stringify(reply.body)), sent);
      else this.reportsTo.set(w, readRedirect(reply.body) ?? next);
    });
  }

  /** All machine types, as the cloud tells them. */
  get types(): MachineType[] {
    return [['c8', 8, 0] as const, ['g8', 8, 2] as const, ...this.moreTypes].map(([n, c, g]) =>
      this.type(n, c, g),
    );
  }

  private type(name: string, cpus: number, gpus: number): MachineType {
    const price = cpus / 10 + gpus * this.cardPrice;
    return {
      name,
      cpus,
      gpus,
      memoryGb: cpus * 4,
      cacheGb: 100,
      fetchGbPerS: 1,
      price,
      spotPrice: price / 3,
      bootS: 30,
      zones: ['a', 'b'],
    };
  }

  private rent(r: Rental): string[] {
    if (!this.capacity) return [];
    return Array.from({ length: r.count }, () => {
      const w = this.addWorker(r.type, r.zone, r.spot);
      this.silent.add(w);
      return w.id;
    });
  }

  /** A machine is gone with all that is on it. */
  remove(w: Worker): void {
    this.workers.splice(this.workers.indexOf(w), 1);
    this.net.peers.delete(w.place.addr);
    w.die();
  }

  private release(ids: string[]): void {
    for (const id of ids) {
      this.released.push(id);
      const w = this.workers.find((x) => x.id === id);
      if (w) this.remove(w);
    }
  }
}

export function job(id: string, change: object = {}): object {
  return {
    id,
    jobClass: 'train',
    owner: 'red',
    shape: 'sweep',
    urgency: 'standard',
    pieces: 1,
    cpus: 4,
    cards: 0,
    memoryGb: 4,
    bundle: 'img',
    pullGb: 1,
    flavors: null,
    yard: null,
    oneZone: false,
    spread: false,
    loaner: true,
    expectedS: 60,
    saveEveryS: 10,
    savingS: 2,
    dueS: null,
    ...change,
  };
}
