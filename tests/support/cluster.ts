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
  disconnected: boolean;
  stopped: { value: boolean };
  /**
   * While the node is paused, due timers and incoming messages are queued, like in the sockets of a stopped
   * process.
   */
  paused: { value: boolean; queue: (() => void)[] };
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

/** Peer operations that the version in production does not support. */
const OPS_UNKNOWN_TO_PREVIOUS_VERSION: ReadonlySet<string> = new Set([
  ...Object.values(CHANGE_FEED_OPS),
  RATES_OP,
]);

/** Real controllers with an emulated key-value store, cloud and workers, all on one fake clock. */
export class FakeCluster {
  readonly clock = new FakeClock();
  readonly net = new FakeNet(this.clock);
  readonly state = new StateService(this.clock);
  readonly cloud = new CloudService(this.clock, {
    types: () => this.types,
    rent: (r) => this.rent(r),
    release: (ids) => this.release(ids),
    list: () =>
      [...this.workers, ...this.listedRemovedMachines].map(({ identity }) => ({
        ...identity,
        state: 'running',
        ageS: 100,
      })),
  });
  readonly nodes = new Map<string, Running>();
  readonly workers: Worker[] = [];
  readonly rented: Rental[] = [];
  readonly released: string[] = [];
  /** The node that each worker sends its heartbeats to. */
  private readonly reportsTo = new Map<Worker, string>();
  readonly notSendingHeartbeats = new Set<Worker>();
  /** Called with every heartbeat that a worker sends. */
  onHeartbeat: ((report: object) => void) | null = null;
  /** Workers whose heartbeats arrive while no response and no command reaches them. */
  readonly inboundBlocked = new Set<Worker>();
  /** When a worker that receives nothing gives up waiting and sends its heartbeat to the next node. */
  private readonly inboundBlockedUntil = new Map<Worker, number>();
  /** Nodes that can neither send messages to other controllers nor receive any from them. */
  isolatedNodes: ReadonlySet<string> = new Set();
  /** Zones of the nodes that are not in zone `a`. */
  readonly zones = new Map<string, string>();
  /** A zone whose nodes and workers are cut off from everything outside it; inside the zone messages still pass. */
  isolatedZone: string | null = null;
  /** Workers whose heartbeats reach no node, while commands still reach them. */
  readonly outboundBlocked = new Set<Worker>();
  /** Returns the latency of a message that a node sends, in milliseconds. */
  linkDelayMs: () => number = () => 0;
  /** Nodes that no worker can reach, while all their other connections work. */
  readonly nodesCutFromWorkers = new Set<string>();
  cloudHasCapacity = false;
  stateRates = { rps: 600, writeRps: 300 };
  /** The zones of each region; empty when all zones are in one region. */
  regions: Record<string, string[]> = {};
  /** The number of nodes by which each node divides the rate limits of the key-value store. */
  rateDivisor = 1;
  /** Machine types in addition to `c8` and `g8`: name, CPUs, GPUs. */
  readonly additionalTypes: [string, number, number][] = [];
  /** Price per GPU, added to the price of a machine. */
  gpuPrice = 0;
  /** Removed machines that the cloud's list still contains. */
  readonly listedRemovedMachines: Worker[] = [];
  teams: Settings['teams'] = [{ name: 'red', cpus: 16, cpusMax: 32, gpus: 0, gpusMax: 0 }];
  stateLimits: Settings['stateLimits'] = { rps: 600, writeRps: 300, valueKb: 8, txnOps: 16 };
  /** Peer operations whose requests arrive and whose responses are lost. */
  readonly lostAnswers = new Set<string>();
  /** Nodes that refuse connections from other controllers. */
  readonly nodesRefusingPeers = new Set<string>();
  /** Peer operations whose messages are lost. */
  readonly lostOperations = new Set<string>();
  readonly sentMessages: { from: string; to: string; op: string }[] = [];
  objectives: Settings['objectives'] = [{ kind: 'wait', class: 'train', withinS: 10, share: 0.9 }];
  /** Whether nodes serve HTCondor submit files. */
  condor = false;
  /**
   * Nodes of the previous version, which has neither change feeds nor rate allocation and rejects these operations.
   */
  readonly previousVersionNodes = new Set<string>();
  /** Whether started nodes use standbys; a list names the nodes that do. */
  standby: boolean | string[] = false;
  /** Runs the tasks of workers that are added later; without it tasks run until a test ends them. */
  runtime: Runtime | null = null;
  private incarnationCount = 0;
  private workersCreated = 0;

  constructor(private readonly names: string[]) {
    this.net.peers.set(STATE, (m, p, b, from) =>
      this.state.serve(m, p, this.asPreviousVersion(b, from), from),
    );
    this.net.peers.set(CLOUD, (m, p, b) => {
      const rental = m === 'POST' && p === CLOUD_PATHS.machines ? readRental(b) : null;
      if (rental) this.rented.push(rental);
      return this.cloud.serve(m, p, b);
    });
    this.net.delayMs = () => this.linkDelayMs();
    this.net.isPartitioned = (from, addr) =>
      this.isolatedZone !== null && this.areZonesPartitioned(this.zoneOf(from), this.zoneAt(addr));
    this.reportLoop();
  }

  /** Rewrites a request of a node of the previous version: its presence record does not announce change feeds. */
  private asPreviousVersion(body: unknown, from: string): unknown {
    if (!this.previousVersionNodes.has(from) || body === null) return body;
    return JSON.parse(JSON.stringify(body, (key, value) => (key === 'feeds' ? undefined : value)));
  }

  private zoneOf(node: string): string {
    return this.zones.get(node) ?? 'a';
  }

  /** Returns the zone of the worker at an address; null for the services, which are in no zone. */
  private zoneAt(addr: string): string | null {
    return this.workers.find((w) => w.identity.addr === addr)?.identity.zone ?? null;
  }

  private areZonesPartitioned(one: string | null, other: string | null): boolean {
    return this.isolatedZone !== null && (one === this.isolatedZone) !== (other === this.isolatedZone);
  }

  /** Returns whether the zone of a node is cut off. */
  isZoneIsolated(node: string): boolean {
    return this.isolatedZone === this.zoneOf(node);
  }

  addWorker(type: string, zone: string, spot = false): Worker {
    const number = ++this.workersCreated;
    const id = `m-${String(number).padStart(6, '0')}`;
    const addr = `10.1.${number >> 8}.${number & 255}:9000`;
    const worker = new Worker(this.clock, { id, addr, type, zone, spot }, LEASE_S, this.runtime);
    this.net.peers.set(addr, (m, p, b) =>
      this.inboundBlocked.has(worker) ? new Promise(() => undefined) : worker.serve(m, p, b),
    );
    this.workers.push(worker);
    return worker;
  }

  startNode(name: string): Running {
    const http = this.net.requester(name);
    const names = new NameTables();
    const nodeSettings = {
      ...settings(name, this.names, (n) => this.zoneOf(n)),
      objectives: this.objectives,
      teams: this.teams,
      stateLimits: this.stateLimits,
      regions: this.regions,
    };
    for (const t of nodeSettings.teams) names.teams.index(t.name);
    const stopped = { value: false };
    const paused: Running['paused'] = { value: false, queue: [] };
    const whenRunning = (run: () => void) => {
      if (stopped.value) return;
      if (paused.value) paused.queue.push(run);
      else run();
    };
    const whenAwake = <T>(value: T) => new Promise<T>((resolve) => whenRunning(() => resolve(value)));
    // A killed process executes no callbacks.
    const clock = {
      now: () => this.clock.now(),
      wall: () => this.clock.wall(),
      after: (ms: number, run: () => void) => this.clock.after(ms, () => whenRunning(run)),
    };
    const context: ControllerContext = {
      clock,
      settings: nodeSettings,
      log: pino({ level: 'silent' }),
      http: {
        request: (...args) =>
          stopped.value
            ? new Promise(() => undefined)
            : http
                .request(...args)
                .then(whenAwake, (error) => whenAwake(null).then(() => Promise.reject(error))),
      },
      store: null as unknown as StateStore,
      cloud: null as unknown as Cloud,
      names,
      catalog: new MachineTypeCatalog(names),
      removedMachines: new Map(),
      matchCompiler: null,
      incarnation: `${name}-${++this.incarnationCount}`,
    };
    if (this.condor) context.matchCompiler = new ClassAdMatcher(names, context.catalog);
    context.store = new StateStore(clock, context.http, STATE, {
      ...this.stateRates,
      nodes: this.rateDivisor,
    });
    context.cloud = new Cloud(clock, context.http, CLOUD, 30, 1);
    const node = new ControllerNode(context, this.hasStandby(name) ? StandbyCoordinator : null);
    const api = new Api(context, node);
    const handle = api.handle.bind(api);
    api.handle = (request) => whenAwake(request).then(handle);
    const condor = this.condor ? new CondorService(context, node, { team: 'red', depot: null }) : null;
    if (condor) {
      api.handlersByPrefix.set('/condor/', (request) => condor.handle(request));
      condor.start();
    }
    const running: Running = {
      node,
      store: context.store,
      api,
      disconnected: false,
      stopped,
      paused: paused,
    };
    this.nodes.set(name, running);
    void node.start(this.mesh(name, running));
    return running;
  }

  private hasStandby(name: string): boolean {
    return Array.isArray(this.standby) ? this.standby.includes(name) : this.standby;
  }

  /** Pauses a node while its clocks continue; returns a function that resumes it. */
  freeze(name: string): () => void {
    const { paused } = this.nodes.get(name)!;
    paused.value = true;
    return () => {
      paused.value = false;
      for (const run of paused.queue.splice(0)) run();
    };
  }

  /** Returns the node that the owner record of a shard names. */
  owner(shard: number): string | undefined {
    return (this.state.value(`c/own/${shard}`) as { node: string } | undefined)?.node;
  }

  /** Returns the shard of an unfinished job. */
  shardOf(job: string): number {
    return (this.state.value(`act/${job}`) as { shard: number }).shard;
  }

  /** The number of attempts on all workers. */
  get attempts(): number {
    return this.workers.reduce((n, w) => n + w.attempts.length, 0);
  }

  /** The number of starts that all present workers have executed so far. */
  get starts(): number {
    return this.workers.reduce((n, w) => n + w.executedStarts.length, 0);
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

  /** Advances the clock until a request is answered; status 504 when no answer arrives in 6 s. */
  async answered(answer: Promise<HttpReply>): Promise<HttpReply> {
    let reply: HttpReply | null = null;
    void answer.then((r) => {
      reply = r;
    });
    await this.clock.until(() => reply !== null, 6000);
    return reply ?? { status: 504 };
  }

  /** Retries a submission until it is accepted, as users do. */
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
        // A killed process sends no requests.
        if (running.stopped.value) return new Promise(() => undefined);
        const target = this.nodes.get(to);
        this.sentMessages.push({ from, to, op });
        const unknown =
          OPS_UNKNOWN_TO_PREVIOUS_VERSION.has(op) &&
          (this.previousVersionNodes.has(from) || this.previousVersionNodes.has(to));
        if (unknown) throw new Error(`unknown request ${op}`);
        if (!target || target.disconnected || running.disconnected || target.paused.value)
          throw new Error('not connected');
        if (this.areNodesPartitioned(from, to)) throw new Error('not connected');
        if (this.nodesRefusingPeers.has(to)) throw new Error('refused');
        if (this.lostOperations.has(op)) throw new Error('no answer');
        const ms = this.linkDelayMs();
        if (ms > 0) await pause(this.clock, ms);
        // A node that is killed while it handles the request never answers.
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
        if (
          !target ||
          target.disconnected ||
          running.disconnected ||
          running.stopped.value ||
          target.paused.value
        )
          return;
        if (this.lostOperations.has(op) || this.nodesRefusingPeers.has(to)) return;
        if (this.areNodesPartitioned(from, to)) return;
        void target.node.serve(op, JSON.parse(JSON.stringify(args)), from).catch(() => from);
      },
      refused: (to) => !this.nodes.has(to) || this.nodesRefusingPeers.has(to),
      connected: (to) => {
        const target = this.nodes.get(to);
        if (this.areNodesPartitioned(from, to)) return false;
        return (
          target !== undefined &&
          !target.disconnected &&
          !running.disconnected &&
          !this.nodesRefusingPeers.has(to)
        );
      },
    };
  }

  private areNodesPartitioned(one: string, other: string): boolean {
    if (this.isolatedNodes.has(one) || this.isolatedNodes.has(other)) return true;
    return this.areZonesPartitioned(this.zoneOf(one), this.zoneOf(other));
  }

  private reportLoop(): void {
    for (const w of this.workers) if (!this.notSendingHeartbeats.has(w)) this.reportOnce(w);
    this.clock.after(1000, () => this.reportLoop());
  }

  private reportOnce(worker: Worker): void {
    const at = this.reportsTo.get(worker) ?? this.names[0]!;
    const next = this.names[(this.names.indexOf(at) + 1) % this.names.length]!;
    const running = this.nodes.get(at);
    const sent = this.clock.now();
    const isBlocked = this.inboundBlocked.has(worker);
    if (isBlocked) {
      if (sent < (this.inboundBlockedUntil.get(worker) ?? 0)) return;
      this.inboundBlockedUntil.set(worker, sent + 5000);
    }
    const unreached =
      this.outboundBlocked.has(worker) || this.areZonesPartitioned(worker.identity.zone, this.zoneOf(at));
    if (!running || running.disconnected || unreached || this.nodesCutFromWorkers.has(at)) {
      this.reportsTo.set(worker, next);
      return;
    }
    // After 4 s without an answer, as from a paused node, the worker switches to the next node.
    const timer = this.clock.after(
      4000,
      () => this.reportsTo.get(worker) === at && this.reportsTo.set(worker, next),
    );
    this.reportsTo.set(worker, at);
    const report = worker.report();
    this.onHeartbeat?.(report);
    void running.api.handle(this.request('POST', '/v1/report', report)).then((reply) => {
      // The response does not reach this worker, which times out after 4 s and turns to the next node a second later.
      if (isBlocked) return;
      timer.cancel();
      if (reply.status === 200) worker.handleHeartbeatResponse(JSON.parse(JSON.stringify(reply.body)), sent);
      else this.reportsTo.set(worker, readRedirect(reply.body) ?? next);
    });
  }

  /** The machine types that the cloud offers. */
  get types(): MachineType[] {
    return [['c8', 8, 0] as const, ['g8', 8, 2] as const, ...this.additionalTypes].map(([n, c, g]) =>
      this.type(n, c, g),
    );
  }

  private type(name: string, cpus: number, gpus: number): MachineType {
    const price = cpus / 10 + gpus * this.gpuPrice;
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
    if (!this.cloudHasCapacity) return [];
    return Array.from({ length: r.count }, () => {
      const w = this.addWorker(r.type, r.zone, r.spot);
      this.notSendingHeartbeats.add(w);
      return w.id;
    });
  }

  /** Removes a machine together with all attempts on it. */
  remove(worker: Worker): void {
    this.workers.splice(this.workers.indexOf(worker), 1);
    this.net.peers.delete(worker.identity.addr);
    worker.killTasks();
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
