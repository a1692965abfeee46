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
import { type ControllerEndpoints, capacityOf, type Platform, settingsOf, typesOf } from './platform.js';
import { PORTS_PER_CONTROLLER, SERVICE_PORT_COUNT, WORKER_PORT_COUNT } from './ports.js';
import { Random } from './random.js';
import { PeerRelay } from './relay.js';
import { Reporter, type ReporterLinks } from './reporter.js';
import { type ServiceResponse, StateService, type StoredState } from './state.js';
import { type JobDescription, Tasks } from './tasks.js';
import { bodyBytes, Traffic } from './traffic.js';
import { type MachineIdentity, Worker } from './worker.js';

/** Options for starting a cluster on this machine. */
export interface LocalOptions {
  platform: Platform;
  controllers: number;
  /** Factor by which cluster time runs faster than real time. */
  speed: number;
  /** Directory for settings files, logs, and the state that persists between runs. */
  data: string;
  /** First port of the range that the cluster uses. */
  port: number;
  seed: number;
  /** Program that the controllers run; `flags` are passed to it as further arguments. */
  program: string;
  /** Programs assigned to the controllers round-robin in place of `program`, for a cluster of several builds. */
  programs?: readonly string[];
  flags: readonly string[];
  /** Called with a message when something goes wrong. */
  onError: (what: string) => void;
}

interface Controller extends ControllerEndpoints {
  process: ChildProcess | null;
  starts: number;
}

interface EmulatedMachine {
  worker: Worker;
  reporter: Reporter;
  server: HttpServer;
  site: Site;
}

interface StoredCluster {
  state: StoredState;
  jobs: JobDescription[];
  made: number;
}

const HOST = '127.0.0.1';
/** File in the data directory that holds the state that persists between runs. */
export const STATE_FILE = 'state.msgpack';
const RESTART_DELAY_MS = 4000;
const STOP_TIMEOUT_MS = 3000;
const SAVE_INTERVAL_MS = 2000;
const STARTUP_TIMEOUT_MS = 60_000;
const uploadSchema = v.object({
  job: v.unknown(),
  runS: v.nullish(v.pipe(v.number(), v.gtValue(0))),
  fails: v.optional(v.boolean(), false),
});

/** Cluster of real controller processes with emulated services and workers, all on this machine. */
export class LocalCluster {
  readonly clock: Clock;
  readonly state: StateService;
  readonly cloud: CloudService;
  readonly market: Market;
  readonly tasks: Tasks;
  readonly balancer: Balancer;
  readonly network: Network;
  /** Traffic over all links, by kind of message. */
  readonly traffic = new Traffic();
  readonly machines = new Map<string, EmulatedMachine>();
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
    this.http = new HttpClient(this.clock, { maxSockets: 8000, maxBodyBytes: 1024 * 1024 });
    this.state = new StateService(this.clock);
    this.state.onRequest = (r) => {
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
        bootFailureShare: platform.boot_fail,
        spotReclaimsPerHour: platform.spot.per_hour,
        noticeS: platform.spot.notice_s,
      },
      {
        address: (n) => `${HOST}:${port + SERVICE_PORT_COUNT + (n % WORKER_PORT_COUNT)}`,
        up: (identity) => void this.bootMachine(identity),
        notice: (id, seconds) => this.machines.get(id)?.worker.notice(seconds),
        gone: (id) => this.removeMachine(id),
      },
    );
    this.cloud = new CloudService(this.clock, this.market);
    this.cloud.requestsPerSecond = platform.cloud.rps;
    this.controllers = Array.from({ length: options.controllers }, (_, i) => {
      const address = (n: number) => `${HOST}:${port + 2 + i * PORTS_PER_CONTROLLER + n}`;
      return {
        node: `controller-${i}`,
        zone: platform.zones[i % platform.zones.length]!,
        bind: address(0),
        peerBind: address(1),
        state: address(2),
        cloud: address(3),
        peerAddr: address(4),
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

  /**
   * Starts everything and waits for a healthy controller. Fails when a port is taken or no controller becomes healthy
   * in time.
   */
  async start(): Promise<void> {
    mkdirSync(this.options.data, { recursive: true });
    this.restore();
    await this.startServer(this.depot, (method, path, body) => this.serveDepot(method, path, body));
    for (const controller of this.controllers) {
      const link = { from: this.network.inZone(controller.zone), to: this.network.services };
      await this.startServer(controller.state, (method, path, body) =>
        this.serveOverLink(link, () => this.state.serve(method, path, body, controller.node)),
      );
      await this.startServer(controller.cloud, (method, path, body) =>
        this.serveOverLink(link, () => this.cloud.serve(method, path, body)),
      );
      await this.startRelay(controller);
    }
    await this.balancer.listen(Number(this.users.split(':')[1]));
    this.market.addInitialMachines();
    for (const c of this.controllers) this.launchController(c);
    this.savePeriodically();
    const until = this.clock.now() + STARTUP_TIMEOUT_MS * this.options.speed;
    while (this.balancer.healthyCount === 0) {
      if (this.stopping) return;
      if (this.clock.now() > until)
        throw new UnavailableError(`no controller became healthy; see ${this.options.data}/*.log`);
      await pause(this.clock, 100);
    }
  }

  /** Stops everything that was started. Controllers that do not exit in time after SIGTERM are killed. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    await Promise.all(
      this.controllers.map(async ({ process }) => {
        if (!process || process.exitCode !== null || process.signalCode !== null) return;
        const exited = new Promise((resolve) => process.once('exit', resolve));
        process.kill('SIGTERM');
        const timer = setTimeout(() => process.kill('SIGKILL'), STOP_TIMEOUT_MS);
        await exited;
        clearTimeout(timer);
      }),
    );
    for (const id of [...this.machines.keys()]) this.removeMachine(id);
    this.balancer.close();
    for (const s of [...this.servers, ...this.relays]) s.close();
    this.http.close();
    this.store();
  }

  /**
   * Returns the index of the controller that has been present the longest, judged by the version of its presence
   * record in the key-value store. This controller watches the store and passes the changes on to others.
   */
  oldestController(): number {
    const versions = this.controllers.map(
      (c) => this.state.items.get(`c/node/${c.node}`)?.version ?? Infinity,
    );
    return versions.indexOf(Math.min(...versions));
  }

  /** Kills a controller with SIGKILL; it is restarted automatically. */
  kill(index: number): void {
    this.controllers[index]?.process?.kill('SIGKILL');
  }

  /** Returns the program that a controller runs, by the controller's index. */
  programOf(index: number): string {
    const { program, programs } = this.options;
    return programs?.[index % programs.length] ?? program;
  }

  private launchController(controller: Controller): void {
    const { data, flags, speed } = this.options;
    const program = this.programOf(this.controllers.indexOf(controller));
    const file = join(data, `${controller.node}.toml`);
    writeFileSync(file, settingsOf(this.options.platform, controller, this.controllers));
    const log = openSync(join(data, `${controller.node}.log`), 'a');
    // A controller exits when its standard input closes, so that it also ends when this process is killed.
    const args = ['--max-old-space-size=110', '--max-semi-space-size=2', program, '--end-with-stdin'];
    controller.process = spawn(
      process.execPath,
      [...args, '--clock-speed', String(speed), ...flags, '--config', file],
      {
        stdio: ['pipe', 'ignore', log],
      },
    );
    closeSync(log);
    controller.starts++;
    controller.process.on('error', (error) => this.options.onError(`${controller.node}: ${error.message}`));
    controller.process.once('exit', (code, signal) => {
      if (this.stopping) return;
      this.options.onError(`${controller.node} exited (${signal ?? code}) and is being restarted`);
      this.clock.after(RESTART_DELAY_MS, () => {
        if (!this.stopping) this.launchController(controller);
      });
    });
  }

  // --- servers of the services and workers

  private async startServer(
    addr: string,
    handleRequest: (
      method: string,
      path: string,
      body: unknown,
    ) => ServiceResponse | Promise<ServiceResponse>,
  ): Promise<HttpServer> {
    const server = new HttpServer(
      this.clock,
      async (request) => {
        let body: unknown = null;
        try {
          if (request.body.length > 0) body = JSON.parse(request.body.toString('utf8'));
        } catch {
          return { status: 400, body: { error: 'not JSON' } };
        }
        const served = await handleRequest(
          request.method,
          request.query.size > 0 ? `${request.path}?${request.query}` : request.path,
          body,
        );
        return { status: served.status, body: (served.body ?? {}) as object };
      },
      {
        maxConnections: 2000,
        maxBodyBytes: 256 * 1024,
        requestTimeoutMs: 30_000 * this.options.speed,
        idleTimeoutMs: 120_000 * this.options.speed,
        onError: (error) => this.options.onError(String(error)),
      },
    );
    await server.listen(HOST, Number(addr.split(':')[1]));
    this.servers.push(server);
    return server;
  }

  private async startRelay(controller: Controller): Promise<void> {
    const [host, port] = controller.peerBind.split(':');
    const siteOf = (node: string) => {
      const zone = this.controllers.find((other) => other.node === node)?.zone;
      return zone === undefined ? null : this.network.inZone(zone);
    };
    const target = { node: controller.node, host: host!, port: Number(port) };
    const relay = new PeerRelay(this.clock, this.network, this.traffic, target, siteOf);
    await relay.listen(HOST, Number(controller.peerAddr.split(':')[1]));
    this.relays.push(relay);
  }

  /**
   * Serves a request over the link between two sites: adds the delay of the link in each direction, and never
   * resolves if a partition separates the sites when the request or the response arrives.
   */
  private async serveOverLink(
    link: { from: Site; to: Site },
    serve: () => ServiceResponse | Promise<ServiceResponse>,
  ): Promise<ServiceResponse> {
    const delayMs = this.network.delayMs(link.from, link.to);
    const noResponse = new Promise<ServiceResponse>(() => undefined);
    if (delayMs > 0) await pause(this.clock, delayMs);
    if (this.network.isSeparated(link.from, link.to)) return noResponse;
    const served = await serve();
    if (delayMs > 0) await pause(this.clock, delayMs);
    return this.network.isSeparated(link.from, link.to) ? noResponse : served;
  }

  /**
   * Returns whether commands cannot reach a machine, because it lost its network or a partition separates its site
   * from the services.
   */
  private isUnreachable(m: Pick<EmulatedMachine, 'reporter' | 'site'> | undefined): boolean {
    return (
      m !== undefined && (m.reporter.disconnected || this.network.isSeparated(m.site, this.network.services))
    );
  }

  private linksOf(site: Site): ReporterLinks {
    const siteOf = new Map(this.controllers.map((c) => [c.node, this.network.inZone(c.zone)]));
    return {
      delayMs: (node) => this.network.delayMs(site, siteOf.get(node)!),
      isSeparated: (node) => this.network.isSeparated(site, siteOf.get(node)!),
      reportAnswered: (report, answer) => {
        this.traffic.add('worker report', bodyBytes(report));
        this.traffic.add('worker report answer', bodyBytes(answer));
      },
    };
  }

  private serveCommand(worker: Worker, method: string, path: string, body: unknown): ServiceResponse {
    const served = worker.serve(method, path, body);
    this.traffic.add('worker command', bodyBytes(body));
    this.traffic.add('worker command answer', bodyBytes(served.body));
    return served;
  }

  private async bootMachine(identity: MachineIdentity): Promise<void> {
    const { lease_s, report_s } = this.options.platform.workers;
    const worker: Worker = new Worker(this.clock, identity, lease_s, this.tasks, () =>
      reporter?.reportSoon(),
    );
    const site = this.network.inRack(identity.zone, Number(identity.id.slice(2)));
    let reporter: Reporter | null = null;
    let server: HttpServer;
    try {
      server = await this.startServer(identity.addr, (method, path, body) =>
        this.isUnreachable(this.machines.get(identity.id))
          ? new Promise<ServiceResponse>(() => undefined)
          : this.serveCommand(worker, method, path, body),
      );
    } catch {
      // The port is taken, so the machine never comes up.
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
    this.machines.set(identity.id, { worker, reporter, server, site });
  }

  private removeMachine(id: string): void {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    machine.reporter.stop();
    machine.worker.killTasks();
    this.tasks.removeMachine(machine.worker);
    machine.server.close();
    this.servers.splice(this.servers.indexOf(machine.server), 1);
  }

  /** Serves the depot, where users upload the job descriptions that workers fetch. */
  private serveDepot(method: string, path: string, body: unknown): ServiceResponse {
    const id = decodeURIComponent(path.replace(/^\/jobs\//, ''));
    if (method === 'GET') {
      const description = this.tasks.description(id);
      return description
        ? { status: 200, body: { job: writeJob(description.spec) } }
        : { status: 404, body: { error: 'no such job' } };
    }
    const parsed = v.safeParse(uploadSchema, body);
    const spec = parsed.success ? readJob(parsed.output.job) : 'not an upload';
    if (!parsed.success || typeof spec === 'string' || spec.id !== id)
      return { status: 400, body: { error: typeof spec === 'string' ? spec : 'another id' } };
    this.tasks.upload({ spec, runS: parsed.output.runS ?? null, fails: parsed.output.fails });
    return { status: 200, body: {} };
  }

  // --- state that persists between runs

  private get stateFile(): string {
    return join(this.options.data, STATE_FILE);
  }

  private restore(): void {
    if (!existsSync(this.stateFile)) return;
    const stored = this.packr.unpack(readFileSync(this.stateFile)) as StoredCluster;
    this.state.load(stored.state);
    this.market.machinesCreated = stored.made;
    for (const d of stored.jobs) this.tasks.upload(d);
  }

  private store(): void {
    const { state, tasks, market } = this;
    const stored: StoredCluster = {
      state: state.store(),
      jobs: tasks.descriptions(),
      made: market.machinesCreated,
    };
    writeFileSync(`${this.stateFile}.new`, this.packr.pack(stored));
    renameSync(`${this.stateFile}.new`, this.stateFile);
  }

  private savePeriodically(): void {
    if (this.stopping) return;
    this.store();
    this.clock.after(SAVE_INTERVAL_MS * this.options.speed, () => this.savePeriodically());
  }
}
