import { type ChildProcess, spawn } from 'node:child_process';
import { closeSync, existsSync, mkdirSync, openSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Packr } from 'msgpackr';
import * as v from 'valibot';
import { type Clock, fastClock, pause } from '../clock/clock.js';
import { UnavailableError } from '../errors/errors.js';
import { HttpClient } from '../http/client.js';
import { HttpServer } from '../http/server.js';
import { readJob, writeJob } from '../wire/users.js';
import { Balancer } from './balancer.js';
import { CloudService } from './cloud.js';
import { Market } from './market.js';
import { Network, type Site } from './network.js';
import { capacityOf, type NodePlace, type Platform, settingsOf, typesOf } from './platform.js';
import { PORTS_FOR_SERVICES, PORTS_PER_CONTROLLER, WORKER_PORTS } from './ports.js';
import { Random } from './random.js';
import { PeerRelay } from './relay.js';
import { Reporter, type ReporterLinks } from './reporter.js';
import { type Served, StateService, type StoredState } from './state.js';
import { type Description, Tasks } from './tasks.js';
import { bodyBytes, Traffic } from './traffic.js';
import { type Place, Worker } from './worker.js';

/** How a cluster on this machine is started. */
export interface LocalOptions {
  platform: Platform;
  controllers: number;
  /** So many times as fast as the time of day. */
  speed: number;
  /** Settings, logs and what outlives the cluster. */
  data: string;
  /** The first of the ports that are used. */
  port: number;
  seed: number;
  /** The controllers' program and further flags for it. */
  program: string;
  /** Given to the controllers in turn in place of `program`, for a cluster of several builds. */
  programs?: readonly string[];
  flags: readonly string[];
  /** Told of what goes wrong. */
  onError: (what: string) => void;
}

interface Controller extends NodePlace {
  process: ChildProcess | null;
  starts: number;
}

interface Machine {
  worker: Worker;
  reporter: Reporter;
  server: HttpServer;
  site: Site;
}

interface Stored {
  state: StoredState;
  jobs: Description[];
  made: number;
}

const HOST = '127.0.0.1';
/** In the data directory: what outlives the cluster. */
export const STATE_FILE = 'state.msgpack';
const RESTART_MS = 4000;
const STOP_MS = 3000;
const SAVE_MS = 2000;
const HEALTHY_MS = 60_000;
const uploadBody = v.object({
  job: v.unknown(),
  runS: v.nullish(v.pipe(v.number(), v.gtValue(0))),
  fails: v.optional(v.boolean(), false),
});

/** Real controllers between emulated services and workers, all on this machine. */
export class LocalCluster {
  readonly clock: Clock;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly market: Market;
  readonly tasks: Tasks;
  readonly balancer: Balancer;
  readonly network: Network;
  /** What passes over all links, by kind. */
  readonly traffic = new Traffic();
  readonly machines = new Map<string, Machine>();
  readonly controllers: Controller[];
  readonly users: string;
  readonly depot: string;
  private readonly http: HttpClient;
  private readonly random: Random;
  private readonly servers: HttpServer[] = [];
  private readonly relays: PeerRelay[] = [];
  private readonly packr = new Packr({ useRecords: false });
  private stopping = false;

  constructor(private readonly options: LocalOptions) {
    const { platform, port } = options;
    this.clock = fastClock(options.speed);
    this.random = new Random(options.seed);
    this.network = new Network(platform);
    this.http = new HttpClient(this.clock, { maxSockets: 8000, bodyBytes: 1024 * 1024 });
    this.state = new StateService(this.clock);
    this.state.observed = (r) => {
      const kind = `state ${r.kind}${r.prefix ? ` ${r.prefix}` : ''}${r.status === 429 ? ' refused' : ''}`;
      this.traffic.add(kind, r.requestBytes);
      this.traffic.add(`${kind} answer`, r.answerBytes);
    };
    const { rps, write_rps, value_kb, txn_ops } = platform.state;
    this.state.limits = {
      valueBytes: value_kb * 1024,
      txnOps: txn_ops,
      writesPerSecond: write_rps,
      requestsPerSecond: rps,
    };
    const types = typesOf(platform);
    this.tasks = new Tasks(this.clock, this.random, new Map(types.map((t) => [t.name, t])), {
      gangWaitS: platform.workers.gang_wait_s,
      gangPeerS: platform.workers.gang_peer_s,
    });
    this.market = new Market(
      this.clock,
      this.random,
      {
        types,
        capacity: capacityOf(platform),
        listLagS: platform.cloud.list_lag_s,
        bootFail: platform.boot_fail,
        spotPerHour: platform.spot.per_hour,
        noticeS: platform.spot.notice_s,
      },
      {
        address: (n) => `${HOST}:${port + PORTS_FOR_SERVICES + (n % WORKER_PORTS)}`,
        up: (place) => void this.boot(place),
        notice: (id, seconds) => this.machines.get(id)?.worker.notice(seconds),
        gone: (id) => this.end(id),
      },
    );
    this.cloud = new CloudService(this.clock, this.market);
    this.cloud.requestsPerSecond = platform.cloud.rps;
    this.controllers = Array.from({ length: options.controllers }, (_, i) => {
      const at = (n: number) => `${HOST}:${port + 2 + i * PORTS_PER_CONTROLLER + n}`;
      return {
        node: `controller-${i}`,
        zone: platform.zones[i % platform.zones.length]!,
        bind: at(0),
        peerBind: at(1),
        state: at(2),
        cloud: at(3),
        peerAddr: at(4),
        process: null,
        starts: 0,
      };
    });
    this.users = `${HOST}:${port}`;
    this.depot = `${HOST}:${port + 1}`;
    this.balancer = new Balancer(
      this.clock,
      this.http,
      this.controllers.map((c) => c.bind),
    );
  }

  /** Starts everything; resolves when a controller is healthy. Fails when a port is taken or none becomes so. */
  async start(): Promise<void> {
    mkdirSync(this.options.data, { recursive: true });
    this.restore();
    await this.serve(this.depot, (method, path, body) => this.deposit(method, path, body));
    for (const c of this.controllers) {
      const link = { from: this.network.inZone(c.zone), to: this.network.services };
      await this.serve(c.state, (method, path, body) =>
        this.through(link, () => this.state.serve(method, path, body, c.node)),
      );
      await this.serve(c.cloud, (method, path, body) =>
        this.through(link, () => this.cloud.serve(method, path, body)),
      );
      await this.relay(c);
    }
    await this.balancer.listen(Number(this.users.split(':')[1]));
    this.market.open();
    for (const c of this.controllers) this.launch(c);
    this.save();
    const until = this.clock.now() + HEALTHY_MS * this.options.speed;
    while (this.balancer.healthy === 0) {
      if (this.stopping) return;
      if (this.clock.now() > until)
        throw new UnavailableError(`no controller became healthy; see ${this.options.data}/*.log`);
      await pause(this.clock, 100);
    }
  }

  /** Ends everything that was started, in good order where that is quick. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    await Promise.all(
      this.controllers.map(async ({ process }) => {
        if (!process || process.exitCode !== null || process.signalCode !== null) return;
        const over = new Promise((resolve) => process.once('exit', resolve));
        process.kill('SIGTERM');
        const timer = setTimeout(() => process.kill('SIGKILL'), STOP_MS);
        await over;
        clearTimeout(timer);
      }),
    );
    for (const id of [...this.machines.keys()]) this.end(id);
    this.balancer.close();
    for (const s of [...this.servers, ...this.relays]) s.close();
    this.http.close();
    this.store();
  }

  /** The controller that is present the longest, by its presence in the key-value store; it watches for others. */
  oldestController(): number {
    const versions = this.controllers.map(
      (c) => this.state.items.get(`c/node/${c.node}`)?.version ?? Infinity,
    );
    return versions.indexOf(Math.min(...versions));
  }

  /** Kills a controller with no warning; it comes back by itself. */
  kill(index: number): void {
    this.controllers[index]?.process?.kill('SIGKILL');
  }

  /** The program that a controller runs, by its number. */
  programOf(index: number): string {
    const { program, programs } = this.options;
    return programs?.[index % programs.length] ?? program;
  }

  private launch(c: Controller): void {
    const { data, flags, speed } = this.options;
    const program = this.programOf(this.controllers.indexOf(c));
    const file = join(data, `${c.node}.toml`);
    writeFileSync(file, settingsOf(this.options.platform, c, this.controllers));
    const log = openSync(join(data, `${c.node}.log`), 'a');
    // With its standard input gone a controller ends, also when this process is killed.
    const args = ['--max-old-space-size=110', '--max-semi-space-size=2', program, '--end-with-stdin'];
    c.process = spawn(
      process.execPath,
      [...args, '--clock-speed', String(speed), ...flags, '--config', file],
      {
        stdio: ['pipe', 'ignore', log],
      },
    );
    closeSync(log);
    c.starts++;
    c.process.on('error', (error) => this.options.onError(`${c.node}: ${error.message}`));
    c.process.once('exit', (code, signal) => {
      if (this.stopping) return;
      this.options.onError(`${c.node} ended (${signal ?? code}); it is started again`);
      this.clock.after(RESTART_MS, () => {
        if (!this.stopping) this.launch(c);
      });
    });
  }

  // --- services and workers on sockets

  private async serve(
    addr: string,
    handle: (method: string, path: string, body: unknown) => Served | Promise<Served>,
  ): Promise<HttpServer> {
    const server = new HttpServer(
      this.clock,
      async (r) => {
        let body: unknown = null;
        try {
          if (r.body.length > 0) body = JSON.parse(r.body.toString('utf8'));
        } catch {
          return { status: 400, body: { error: 'not JSON' } };
        }
        const reply = await handle(r.method, r.query.size > 0 ? `${r.path}?${r.query}` : r.path, body);
        return { status: reply.status, body: (reply.body ?? {}) as object };
      },
      {
        maxConnections: 2000,
        bodyBytes: 256 * 1024,
        requestMs: 30_000 * this.options.speed,
        idleMs: 120_000 * this.options.speed,
        onError: (error) => this.options.onError(String(error)),
      },
    );
    await server.listen(HOST, Number(addr.split(':')[1]));
    this.servers.push(server);
    return server;
  }

  private async relay(c: Controller): Promise<void> {
    const [host, port] = c.peerBind.split(':');
    const siteOf = (node: string) => {
      const zone = this.controllers.find((other) => other.node === node)?.zone;
      return zone === undefined ? null : this.network.inZone(zone);
    };
    const target = { node: c.node, host: host!, port: Number(port) };
    const relay = new PeerRelay(this.clock, this.network, this.traffic, target, siteOf);
    await relay.listen(HOST, Number(c.peerAddr.split(':')[1]));
    this.relays.push(relay);
  }

  /** Serves a request as from a site to another: late by twice their delay, and never while no message passes. */
  private async through(
    link: { from: Site; to: Site },
    serve: () => Served | Promise<Served>,
  ): Promise<Served> {
    const delayMs = this.network.delayMs(link.from, link.to);
    const unanswered = new Promise<Served>(() => undefined);
    if (delayMs > 0) await pause(this.clock, delayMs);
    if (this.network.apart(link.from, link.to)) return unanswered;
    const served = await serve();
    if (delayMs > 0) await pause(this.clock, delayMs);
    return this.network.apart(link.from, link.to) ? unanswered : served;
  }

  /** Whether orders do not reach a machine: it lost its network, or its part of it is cut off from the services. */
  private unreached(m: Pick<Machine, 'reporter' | 'site'> | undefined): boolean {
    return m !== undefined && (m.reporter.cut || this.network.apart(m.site, this.network.services));
  }

  private linksOf(site: Site): ReporterLinks {
    const siteOf = new Map(this.controllers.map((c) => [c.node, this.network.inZone(c.zone)]));
    return {
      delayMs: (node) => this.network.delayMs(site, siteOf.get(node)!),
      apart: (node) => this.network.apart(site, siteOf.get(node)!),
      answered: (report, answer) => {
        this.traffic.add('worker report', bodyBytes(report));
        this.traffic.add('worker report answer', bodyBytes(answer));
      },
    };
  }

  private command(worker: Worker, method: string, path: string, body: unknown): Served {
    const served = worker.serve(method, path, body);
    this.traffic.add('worker command', bodyBytes(body));
    this.traffic.add('worker command answer', bodyBytes(served.body));
    return served;
  }

  private async boot(place: Place): Promise<void> {
    const { lease_s, report_s } = this.options.platform.workers;
    const worker: Worker = new Worker(this.clock, place, lease_s, this.tasks, () => reporter?.touch());
    const site = this.network.inRack(place.zone, Number(place.id.slice(2)));
    let reporter: Reporter | null = null;
    let server: HttpServer;
    try {
      server = await this.serve(place.addr, (method, path, body) =>
        this.unreached(this.machines.get(place.id))
          ? new Promise<Served>(() => undefined)
          : this.command(worker, method, path, body),
      );
    } catch {
      // Its port is taken: a machine that never comes up.
      return;
    }
    reporter = new Reporter(
      this.clock,
      this.http,
      this.random,
      worker,
      this.controllers.map((c) => ({ node: c.node, addr: c.bind })),
      report_s,
      this.linksOf(site),
    );
    this.machines.set(place.id, { worker, reporter, server, site });
  }

  private end(id: string): void {
    const m = this.machines.get(id);
    if (!m) return;
    this.machines.delete(id);
    m.reporter.stop();
    m.worker.die();
    this.tasks.forget(m.worker);
    m.server.close();
    this.servers.splice(this.servers.indexOf(m.server), 1);
  }

  /** Where users upload what workers fetch. */
  private deposit(method: string, path: string, body: unknown): Served {
    const id = decodeURIComponent(path.replace(/^\/jobs\//, ''));
    if (method === 'GET') {
      const d = this.tasks.description(id);
      return d
        ? { status: 200, body: { job: writeJob(d.spec) } }
        : { status: 404, body: { error: 'no such job' } };
    }
    const parsed = v.safeParse(uploadBody, body);
    const spec = parsed.success ? readJob(parsed.output.job) : 'not an upload';
    if (!parsed.success || typeof spec === 'string' || spec.id !== id)
      return { status: 400, body: { error: typeof spec === 'string' ? spec : 'another id' } };
    this.tasks.upload({ spec, runS: parsed.output.runS ?? null, fails: parsed.output.fails });
    return { status: 200, body: {} };
  }

  // --- what outlives the cluster

  private get file(): string {
    return join(this.options.data, STATE_FILE);
  }

  private restore(): void {
    if (!existsSync(this.file)) return;
    const stored = this.packr.unpack(readFileSync(this.file)) as Stored;
    this.state.load(stored.state);
    this.market.made = stored.made;
    for (const d of stored.jobs) this.tasks.upload(d);
  }

  private store(): void {
    const { state, tasks, market } = this;
    const stored: Stored = { state: state.store(), jobs: tasks.descriptions(), made: market.made };
    writeFileSync(`${this.file}.new`, this.packr.pack(stored));
    renameSync(`${this.file}.new`, this.file);
  }

  private save(): void {
    if (this.stopping) return;
    this.store();
    this.clock.after(SAVE_MS * this.options.speed, () => this.save());
  }
}
