// A small cluster for the cases of this review: real controllers, started with the deploy file's command as separate
// processes, between the project's own stand-ins for the key-value store, the cloud, the workers and the load balancer.
// All addresses are loopback addresses, all clocks are the real one.

import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parse, stringify } from 'smol-toml';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const BUILT = new URL('../../target/review-2/', import.meta.url);
const load = (path) => import(new URL(path, BUILT).href);
const { systemClock } = await load('clock/clock.js');
const { HttpClient } = await load('http/client.js');
const { HttpServer } = await load('http/server.js');
const { StateService } = await load('emulator/state.js');
const { CloudService } = await load('emulator/cloud.js');
const { Market } = await load('emulator/market.js');
const { Tasks } = await load('emulator/tasks.js');
const { Worker } = await load('emulator/worker.js');
const { Reporter } = await load('emulator/reporter.js');
const { Balancer } = await load('emulator/balancer.js');
const { Random } = await load('emulator/random.js');
const { readJob } = await load('wire/users.js');

const HOST = '127.0.0.1';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const startedAt = performance.now();
/** Seconds since the start of the case. */
export const seconds = () => Math.round(performance.now() - startedAt) / 1000;

/** Collects the lines of `record.txt`. */
export class Record {
  constructor(caseUrl) {
    this.file = process.env.RECORD ?? fileURLToPath(new URL("record.txt", caseUrl));
    this.lines = [];
  }
  add(...words) {
    this.lines.push(`${seconds().toFixed(3).padStart(8)}  ${words.join(' ')}`);
  }
  say(...words) {
    this.add(...words);
    console.log(`${seconds().toFixed(1).padStart(6)}  ${words.join(' ')}`);
  }
  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Returns `count` ports that are free now, below the range from which outgoing connections take theirs. */
async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 11_000 + Math.floor(Math.random() * 20_000);
    const server = net.createServer();
    const free = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => resolve(true));
    });
    if (!free) continue;
    await new Promise((resolve) => server.close(resolve));
    ports.add(port);
  }
  return [...ports];
}

/** A cluster; `site` has the settings that the controllers and the stand-ins share. */
export class Cluster {
  constructor(site, record) {
    this.site = site;
    this.record = record;
    this.dir = mkdtempSync(join(tmpdir(), 'spartray-review-'));
    this.clock = systemClock;
    this.random = new Random(site.seed ?? 1);
    this.http = new HttpClient(this.clock, { maxSockets: 4000, maxBodyBytes: 1024 * 1024 });
    this.state = new StateService(this.clock);
    const { rps, write_rps, value_kb, txn_ops } = site.state;
    this.state.limits = {
      valueBytes: value_kb * 1024,
      txnOps: txn_ops,
      writesPerSecond: write_rps,
      requestsPerSecond: rps,
    };
    /** Runs around each request to the key-value store: `(node, method, path, body, serve) => response`. */
    this.aroundState = (_node, _method, _path, _body, serve) => serve();
    this.tasks = new Tasks(this.clock, this.random, new Map(site.types.map((t) => [t.name, t])), {
      gangWaitS: site.workers.gang_wait_s,
      gangPeerS: site.workers.gang_peer_s,
    });
    /** Called when a task comes onto a machine and when it is no longer there. */
    this.observeTask = () => undefined;
    this.tasks.onEvent = (e) => {
      record.add('task', e.kind, `${e.job}/${e.index}`, 'try', e.attempt, e.machine, e.cause ?? '');
      this.observeTask(e);
    };
    this.machines = new Map();
    /** Machines that were given back or taken. */
    this.gone = new Set();
    this.servers = [];
    this.controllers = [];
    this.stopping = false;
  }

  async start() {
    const { site } = this;
    const workerPorts = await freePorts(site.maxMachines);
    /** How the cloud behaves; may be changed at any time. */
    this.marketOptions = {
      types: site.types,
      capacity: site.capacity,
      listLagS: site.cloud.list_lag_s,
      bootFailureShare: 0,
      spotReclaimsPerHour: 0,
      noticeS: 20,
    };
    this.market = new Market(this.clock, this.marketRandom ?? this.random, this.marketOptions, {
      address: (n) => `${HOST}:${workerPorts[n % workerPorts.length]}`,
      up: (identity) => void this.bootMachine(identity),
      notice: (id, s) => this.machines.get(id)?.worker.notice(s),
      gone: (id) => this.removeMachine(id),
    });
    this.cloud = new CloudService(this.clock, this.market);
    this.cloud.requestsPerSecond = site.cloud.rps;
    const { port: cloudPort } = await this.serve((method, path, body) => this.cloud.serve(method, path, body));
    const ports = await freePorts(site.controllers * 2 + 1);
    this.usersPort = ports.pop();
    for (let i = 0; i < site.controllers; i++) {
      const node = `worker-${i}`;
      const { port: statePort } = await this.serve((method, path, body) =>
        this.aroundState(node, method, path, body, () => this.state.serve(method, path, body, node)),
      );
      this.controllers.push({
        node,
        bind: `${HOST}:${ports[2 * i]}`,
        peerBind: `${HOST}:${ports[2 * i + 1]}`,
        state: `${HOST}:${statePort}`,
        cloud: `${HOST}:${cloudPort}`,
        process: null,
        starts: 0,
      });
    }
    this.balancer = new Balancer(
      this.clock,
      this.http,
      this.controllers.map((c) => c.bind),
    );
    this.balancer.listen(this.usersPort);
    this.market.addInitialMachines();
    for (const c of this.controllers) this.launch(c);
    await this.allHealthy();
  }

  /** Waits until `GET /healthz` of every controller returns 200. */
  async allHealthy() {
    const until = performance.now() + 20_000;
    for (const { bind } of this.controllers) {
      const probe = () => this.http.request(bind, 'GET', '/healthz', null, 1000).catch(() => ({ status: 0 }));
      while ((await probe()).status !== 200) {
        if (performance.now() > until) throw new Error('a controller does not become healthy');
        await sleep(50);
      }
    }
    while (this.balancer.healthyCount < this.controllers.length) await sleep(50);
  }

  launch(controller) {
    if (this.stopping) return;
    const { site } = this;
    const file = join(this.dir, `${controller.node}.toml`);
    const settings = {
      node: controller.node,
      zone: site.zones[0],
      bind: controller.bind,
      peer_bind: controller.peerBind,
      seeds: this.controllers
        .filter((c) => c !== controller)
        .map((c) => ({ node: c.node, zone: site.zones[0], endpoint: c.peerBind })),
      external: { cloud: controller.cloud, state: controller.state },
      params: {
        initial_size: site.controllers,
        zones: site.zones,
        skew_ms: 1000.0,
        teams: site.teams,
        objectives: [],
        workers: site.workers,
        state: site.state,
        cloud: site.cloud,
        limits: site.limits,
      },
    };
    writeFileSync(file, stringify(settings));
    const { run } = parse(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'));
    const [program, ...args] = run.split(' ');
    const log = openSync(join(this.dir, `${controller.node}.log`), 'a');
    controller.process = spawn(program === 'node' ? process.execPath : program, [...args, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    closeSync(log);
    controller.starts++;
    const child = controller.process;
    child.once('exit', (code, signal) => {
      this.record.say('controller', controller.node, 'ended', signal ?? code);
      if (this.stopping) return;
      setTimeout(() => {
        this.record.say('controller', controller.node, 'is started again');
        this.launch(controller);
      }, site.restartDelayMs);
    });
  }

  /** Returns the controller that owns a shard, by the key-value store; undefined if none does. */
  ownerOf(shard) {
    const node = this.state.value(`c/own/${shard}`)?.node;
    return this.controllers.find((c) => c.node === node);
  }

  async serve(handle, port = 0) {
    const server = new HttpServer(
      this.clock,
      async (request) => {
        let body = null;
        try {
          if (request.body.length > 0) body = JSON.parse(request.body.toString('utf8'));
        } catch {
          return { status: 400, body: { error: 'not JSON' } };
        }
        const path = request.query.size > 0 ? `${request.path}?${request.query}` : request.path;
        const served = await handle(request.method, path, body);
        return { status: served.status, body: served.body ?? {} };
      },
      {
        maxConnections: 2000,
        maxBodyBytes: 64 * 1024,
        requestTimeoutMs: 30_000,
        idleTimeoutMs: 120_000,
        onError: (error) => this.record.add('stand-in error', String(error)),
      },
    );
    this.servers.push(server);
    server.port = await server.listen(HOST, port);
    return server;
  }

  async bootMachine(identity) {
    const { workers } = this.site;
    let reporter = null;
    const worker = new Worker(this.clock, identity, workers.lease_s, this.tasks, () => reporter?.reportSoon());
    const port = Number(identity.addr.split(':')[1]);
    const server = await this.serve((method, path, body) => worker.serve(method, path, body), port);
    if (this.gone.has(identity.id)) {
      server.close();
      return;
    }
    const nodes = this.controllers.map((c) => ({ node: c.node, addr: c.bind }));
    reporter = new Reporter(this.clock, this.http, this.random, worker, nodes, workers.report_s);
    this.machines.set(identity.id, { worker, reporter, server });
  }

  /** Takes a machine away with all that is on it, its address included. */
  removeMachine(id) {
    this.gone.add(id);
    const machine = this.machines.get(id);
    if (!machine) return;
    this.machines.delete(id);
    machine.reporter.stop();
    machine.worker.killTasks();
    this.tasks.removeMachine(machine.worker);
    machine.server.close();
  }

  async stop() {
    this.stopping = true;
    await Promise.all(
      this.controllers.map(({ process: child }) => {
        if (!child || child.exitCode !== null || child.signalCode !== null) return null;
        return new Promise((resolve) => {
          child.once('exit', resolve);
          child.kill('SIGKILL');
        });
      }),
    );
    for (const { reporter } of this.machines.values()) reporter.stop();
    this.balancer?.close();
    for (const s of this.servers) s.close();
    this.http.close();
    if (!process.env.KEEP) rmSync(this.dir, { recursive: true, force: true });
    else console.log(`logs in ${this.dir}`);
  }
}

/** A user, who has one connection at a time to the load balancer. */
export class User {
  constructor(cluster) {
    this.cluster = cluster;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Sends a request; returns status 0 if there is no response in time. */
  request(method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const text = body === null ? null : JSON.stringify(body);
      const headers = text === null ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
      const request = http.request(
        { host: HOST, port: this.cluster.usersPort, method, path, headers, agent: this.agent },
        (response) => {
          const parts = [];
          response.on('data', (d) => parts.push(d));
          response.on('end', () => {
            clearTimeout(timer);
            let answer = null;
            try {
              answer = JSON.parse(Buffer.concat(parts).toString('utf8'));
            } catch {}
            resolve({ status: response.statusCode, body: answer, headers: response.headers });
          });
          response.on('error', () => resolve({ status: 0, body: null, headers: {} }));
        },
      );
      const timer = setTimeout(() => request.destroy(new Error('timeout')), timeoutMs);
      request.on('error', () => {
        clearTimeout(timer);
        resolve({ status: 0, body: null, headers: {} });
      });
      if (text !== null) request.write(text);
      request.end();
    });
  }

  /** Submits a job as the pages say: repeated after 1 s or more for up to 60 s. Returns the last status. */
  async submit(job, runS) {
    const spec = readJob(job);
    if (typeof spec === 'string') throw new Error(`not a job: ${spec}`);
    this.cluster.tasks.upload({ spec, runS, fails: false });
    const until = performance.now() + 60_000;
    for (;;) {
      const { status, body, headers } = await this.request('POST', '/api/jobs', job, 5000);
      this.cluster.record.add('submit', job.id, status, body?.status ?? body?.error ?? '');
      if ([200, 201, 400, 422].includes(status) || performance.now() > until) return status;
      await sleep(Math.max(1000, Math.min(30, Number(headers['retry-after'] ?? 0)) * 1000));
    }
  }

  async poll(id) {
    const { status, body } = await this.request('GET', `/api/jobs/${id}`, null, 2000);
    this.cluster.record.add('poll', id, status, body?.status ?? body?.error ?? '');
    return { status, told: body?.status };
  }
}

/** Returns a submission; `changes` replaces fields. */
export function job(id, changes = {}) {
  return {
    id,
    jobClass: 'prep-list',
    owner: 'kitchen-apps',
    shape: 'sweep',
    urgency: 'standard',
    pieces: 1,
    cpus: 1.0,
    cards: 0.0,
    memoryGb: 1.0,
    bundle: 'img-01',
    pullGb: 0.1,
    flavors: null,
    yard: null,
    oneZone: false,
    spread: false,
    loaner: false,
    expectedS: 2.0,
    saveEveryS: 0.0,
    savingS: 0.0,
    dueS: null,
    ...changes,
  };
}

/** Settings like those of the small deployment in Tbilisi, with a few machines up at the start. */
export function site(changes = {}) {
  return {
    controllers: 3,
    zones: ['tbilisi-east'],
    restartDelayMs: 4000,
    maxMachines: 40,
    types: [
      {
        name: 'pkhali-mid',
        cpus: 32,
        gpus: 0,
        memoryGb: 128,
        cacheGb: 30,
        fetchGbPerS: 1,
        price: 1.91,
        spotPrice: 0.76,
        bootS: 40,
        zones: ['tbilisi-east'],
      },
    ],
    capacity: [{ type: 'pkhali-mid', zone: 'tbilisi-east', count: 6, spot: 0, up: 4 }],
    teams: [
      { name: 'kitchen-apps', cpus: 0.0, cpus_max: 0.0, gpus: 8.0, gpus_max: 12.0 },
      { name: 'vision-lab', cpus: 0.0, cpus_max: 0.0, gpus: 4.0, gpus_max: 16.0 },
      { name: 'billing-desk', cpus: 0.0, cpus_max: 0.0, gpus: 4.0, gpus_max: 12.0 },
    ],
    workers: { report_s: 3.0, lease_s: 20.0, gang_wait_s: 40.0, gang_peer_s: 5.0, cancel_s: 45.0 },
    state: { rps: 150.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 32 },
    cloud: { rps: 10.0, list_lag_s: 6.0 },
    limits: { cores: 0.17, memory_mb: 178.0, max_sockets: 800 },
    ...changes,
  };
}

/** Ends the controllers when the case itself is told to end, or fails in a way that it does not expect. */
export function endOnSignals(cluster, record) {
  const end = (why) => {
    record.say('ended by', why);
    record.write();
    void cluster.stop().finally(() => process.exit(2));
  };
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => end(signal));
  for (const event of ['uncaughtException', 'unhandledRejection']) process.once(event, (e) => end(e?.stack ?? e));
}
