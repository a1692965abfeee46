// A small deployment for one case: the project's controllers as separate processes, started by the command of the
// deploy file, between the project's own stand-ins (key-value store, cloud, workers), all on 127.0.0.1 and on the real
// clock. Nothing here is part of the project's tests.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, openSync, closeSync, readFileSync, rmSync, writeFileSync, copyFileSync, existsSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const load = (name) => import(join(ROOT, 'target', name));
const { systemClock } = await load('clock/clock.js');
const { CloudService } = await load('emulator/cloud.js');
const { Market } = await load('emulator/market.js');
const { Random } = await load('emulator/random.js');
const { Reporter } = await load('emulator/reporter.js');
const { StateService } = await load('emulator/state.js');
const { Tasks } = await load('emulator/tasks.js');
const { Worker } = await load('emulator/worker.js');
const { HttpClient } = await load('http/client.js');
const { readJob } = await load('wire/users.js');

export const TROUBLE = process.env.TROUBLE !== '0';
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
const HOST = '127.0.0.1';

/** Writes lines to record.txt in the case's folder, with the seconds since the start. */
export class Record {
  constructor(folder) {
    this.t0 = Date.now();
    this.stream = createWriteStream(join(folder, 'record.txt'));
  }
  get s() {
    return (Date.now() - this.t0) / 1000;
  }
  line(text) {
    this.stream.write(`${this.s.toFixed(3).padStart(8)} ${text}\n`);
  }
  end() {
    return new Promise((resolve) => this.stream.end(resolve));
  }
}

/** Returns `count` ports on which nobody listens, below the range from which outgoing connections take theirs. */
export async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 18_000 + Math.floor(Math.random() * 14_000);
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

/** One request on a connection of its own; resolves with status 0 when there is no response in time. */
export function request(addr, method, path, body = null, timeoutMs = 5000) {
  return new Promise((resolve) => {
    const [host, port] = addr.split(':');
    const text = body === null ? '' : JSON.stringify(body);
    const headers = body === null ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
    const r = http.request({ host, port, method, path, headers, agent: false }, (res) => {
      const parts = [];
      res.on('data', (d) => parts.push(d));
      res.on('error', () => finish({ status: 0, body: 'broken' }));
      res.on('end', () => {
        const raw = Buffer.concat(parts).toString('utf8');
        let parsed = raw;
        try {
          parsed = raw === '' ? null : JSON.parse(raw);
        } catch {}
        finish({ status: res.statusCode, body: parsed, retryAfter: Number(res.headers['retry-after'] ?? 0) });
      });
    });
    let done = false;
    const timer = setTimeout(() => {
      r.destroy();
      finish({ status: 0, body: 'no response' });
    }, timeoutMs);
    function finish(answer) {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve(answer);
    }
    r.on('error', (error) => finish({ status: 0, body: error.code ?? String(error) }));
    r.end(text);
  });
}

/** Starts a JSON server on the port; `handle(method, path, body)` returns `{status, body}` or null to never answer. */
export function serveJson(port, handle) {
  const server = http.createServer((req, res) => {
    const parts = [];
    req.on('data', (d) => parts.push(d));
    req.on('error', () => undefined);
    req.on('end', async () => {
      let body = null;
      try {
        const raw = Buffer.concat(parts);
        if (raw.length > 0) body = JSON.parse(raw.toString('utf8'));
      } catch {
        res.writeHead(400).end('{}');
        return;
      }
      const answer = await handle(req.method, req.url, body);
      if (!answer || res.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      res.writeHead(answer.status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
      res.end(text);
    });
  });
  server.keepAliveTimeout = 120_000;
  server.on('clientError', (_e, socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, () => resolve(server));
  });
}

/** `run` of the deploy file, as a list of arguments. */
function runCommand() {
  const line = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8').match(/^run = "(.*)"$/m)[1];
  return line.split(' ');
}

const toml = (v) =>
  typeof v === 'string' ? JSON.stringify(v) : Array.isArray(v) ? `[${v.map(toml).join(', ')}]` : String(v);

/**
 * `options`: nodes [{zone}], zones, types (as the cloud lists them), capacity [{type, zone, count, spot}], teams
 * [{name, cpus, cpus_max, gpus, gpus_max}], workers, state, cloud, limits, bootS (time in which machines come up).
 */
export class Cluster {
  constructor(folder, options) {
    this.folder = folder;
    this.o = options;
    this.record = new Record(folder);
    this.clock = systemClock;
    this.dir = mkdtempSync(join(tmpdir(), 'spartray-review-'));
    this.servers = [];
    this.machines = new Map();
    this.controllers = [];
    this.stopping = false;
    /** Set by a case: sees each request to the key-value store before it is served; may return an answer, or null for none. */
    this.onState = null;
    this.http = new HttpClient(this.clock, { maxSockets: 2000, maxBodyBytes: 1024 * 1024 });
    this.random = new Random(options.seed ?? 1);
  }

  async start() {
    const { o } = this;
    const workerPorts = o.workerPorts ?? 16;
    const ports = await freePorts(o.nodes.length * 4 + workerPorts);
    this.state = new StateService(this.clock);
    this.state.limits = {
      valueBytes: o.state.value_kb * 1024,
      txnOps: o.state.txn_ops,
      writesPerSecond: o.state.write_rps,
      requestsPerSecond: o.state.rps,
    };
    const types = new Map(o.types.map((t) => [t.name, t]));
    this.tasks = new Tasks(this.clock, this.random, types, { gangWaitS: o.workers.gang_wait_s, gangPeerS: o.workers.gang_peer_s });
    this.tasks.onEvent = (e) =>
      this.record.line(`task ${e.job}/${e.index} try ${e.attempt} ${e.kind} ${e.machine}${e.cause ? ` (${e.cause})` : ''}`);
    if (o.fetchTimes) this.fixFetchTimes(o.fetchTimes);
    const addresses = [];
    this.market = new Market(
      this.clock,
      this.random,
      { types: o.types, capacity: o.capacity, listLagS: o.cloud.list_lag_s, bootFailureShare: 0, spotReclaimsPerHour: 0, noticeS: 20 },
      {
        address: () => {
          const addr = `${HOST}:${ports.pop()}`;
          addresses.push(addr);
          return addr;
        },
        up: (identity) => void this.bootMachine(identity),
        notice: (id, s) => this.machines.get(id)?.worker.notice(s),
        gone: (id) => this.removeMachine(id),
      },
    );
    // Machines come up in bootS seconds, whatever their type usually takes ("at times machines are up within a second or two").
    const add = this.market.add.bind(this.market);
    this.market.add = (kind, bootS) => {
      const id = add(kind, bootS === 0 ? 0 : o.bootS);
      this.record.line(`cloud: ${id} rented: ${kind.type} ${kind.zone} ${kind.spot ? 'spot' : 'ordinary'}`);
      return id;
    };
    this.cloud = new CloudService(this.clock, this.market);
    this.cloud.requestsPerSecond = o.cloud.rps;
    for (const [i, n] of o.nodes.entries())
      this.controllers.push({
        node: `worker-${i}`,
        zone: n.zone,
        bind: `${HOST}:${ports.pop()}`,
        peer: `${HOST}:${ports.pop()}`,
        state: `${HOST}:${ports.pop()}`,
        cloud: `${HOST}:${ports.pop()}`,
        process: null,
      });
    for (const c of this.controllers) {
      this.servers.push(
        await serveJson(Number(c.state.split(':')[1]), async (method, path, body) => {
          const answer = this.onState ? await this.onState(c, method, path, body) : undefined;
          return answer === undefined ? this.state.serve(method, path, body, c.node) : answer;
        }),
        await serveJson(Number(c.cloud.split(':')[1]), (method, path, body) => this.serveCloud(method, path, body)),
      );
    }
    this.market.addInitialMachines();
    for (const c of this.controllers) this.launch(c);
    await this.until(
      async () => {
        // Code 3: an address was taken between the choice of the ports and the start.
        if (this.controllers.some((c) => c.process.exitCode !== null)) throw new Error('a controller ended at its start');
        return (await this.healthy()).length === this.controllers.length;
      },
      30,
      'controllers healthy',
    );
  }

  /**
   * Gives each machine a fetch rate of its own instead of one that is drawn for each fetch: `timesOf(machine)` is by how
   * much its fetches take longer than the rate that the cloud names. As in the project's stand-in, a fetch is given up
   * when no task waits for it any more.
   */
  fixFetchTimes(timesOf) {
    const { tasks, clock } = this;
    tasks.fetchImage = (run) => {
      const { image, imageGb } = run.job.spec;
      const machine = run.worker.id;
      const state = tasks.machineState(run.worker);
      if (state.images.has(image) || imageGb === 0) {
        tasks.startOnMachine(run);
        return;
      }
      const ongoing = state.fetches.get(image);
      if (ongoing) {
        ongoing.waiting.add(run);
        return;
      }
      const seconds = (imageGb / tasks.types.get(run.worker.identity.type).fetchGbPerS) * timesOf(machine, run.worker.identity);
      this.record.line(`machine ${machine} begins to fetch ${image}: ${imageGb} GB, ${seconds.toFixed(1)} s`);
      const timer = clock.after(seconds * 1000, () => {
        const { waiting } = state.fetches.get(image);
        state.fetches.delete(image);
        state.images.set(image, imageGb);
        this.record.line(`machine ${machine} has ${image}`);
        for (const r of waiting) tasks.startOnMachine(r);
      });
      state.fetches.set(image, { timer, waiting: new Set([run]) });
    };
  }

  serveCloud(method, path, body) {
    const answer = this.cloud.serve(method, path, body);
    if (method === 'POST') this.record.line(`cloud: ${path} ${JSON.stringify(body)} -> ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer;
  }

  settings(c) {
    const { o } = this;
    const table = (name, fields) =>
      `${name}\n${Object.entries(fields)
        .map(([k, v]) => `${k} = ${toml(v)}\n`)
        .join('')}\n`;
    let text = table('', { node: c.node, zone: c.zone, bind: c.bind, peer_bind: c.peer });
    for (const p of this.controllers)
      if (p !== c) text += table('[[seeds]]', { node: p.node, zone: p.zone, endpoint: (p.relayFor ?? ((x) => p.peer))(c) });
    text += table('[external]', { cloud: c.cloud, state: c.state });
    text += table('[params]', { initial_size: this.controllers.length, zones: o.zones, skew_ms: 1000 });
    for (const t of o.teams) text += table('[[params.teams]]', t);
    for (const objective of o.objectives ?? []) text += table('[[params.objectives]]', objective);
    text += table('[params.workers]', o.workers);
    text += table('[params.state]', o.state);
    text += table('[params.cloud]', o.cloud);
    text += table('[params.limits]', o.limits);
    return text;
  }

  launch(c) {
    const file = join(this.dir, `${c.node}.toml`);
    writeFileSync(file, this.settings(c));
    const log = openSync(join(this.dir, `${c.node}.log`), 'a');
    const [program, ...args] = runCommand();
    c.process = spawn(program, [...args, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    closeSync(log);
    const { pid } = c.process;
    this.record.line(`${c.node} started, pid ${pid}`);
    c.process.once('exit', (code, signal) => this.record.line(`${c.node} pid ${pid} ended: ${signal ?? code}`));
  }

  signal(c, name) {
    this.record.line(`${c.node}: ${name}`);
    c.process.kill(name);
  }

  async healthy() {
    const answers = await Promise.all(this.controllers.map((c) => request(c.bind, 'GET', '/healthz', null, 1000)));
    return this.controllers.filter((_, i) => answers[i].status === 200);
  }

  /** Waits until `check` returns a value; throws after `seconds`. */
  async until(check, seconds, what) {
    const end = Date.now() + seconds * 1000;
    for (;;) {
      const value = await check();
      if (value) return value;
      if (Date.now() > end) throw new Error(`not in time: ${what}`);
      await sleep(100);
    }
  }

  async bootMachine(identity) {
    const { workers } = this.o;
    let reporter = null;
    const worker = new Worker(this.clock, identity, workers.lease_s, this.tasks, () => reporter?.reportSoon());
    const entry = { worker, reporter: null, server: null };
    const server = await serveJson(Number(identity.addr.split(':')[1]), (method, path, body) => {
      if (entry.reporter?.disconnected) return null;
      const answer = worker.serve(method, path, body);
      if (path === '/do' && body?.orders?.length > 0)
        this.record.line(`order to ${identity.id}: ${JSON.stringify(body)} -> ${answer.status}`);
      return answer;
    });
    entry.server = server;
    reporter = new Reporter(
      this.clock,
      this.http,
      this.random,
      worker,
      this.controllers.map((c) => ({ node: c.node, addr: c.bind })),
      workers.report_s,
    );
    entry.reporter = reporter;
    this.machines.set(identity.id, entry);
    this.record.line(`machine ${identity.id} is up: ${identity.type} ${identity.zone} ${identity.spot ? 'spot' : 'ordinary'} ${identity.addr}`);
  }

  removeMachine(id) {
    const machine = this.machines.get(id);
    if (!machine) return;
    this.record.line(`machine ${id} is gone`);
    this.machines.delete(id);
    machine.reporter.stop();
    machine.worker.killTasks();
    this.tasks.removeMachine(machine.worker);
    machine.server.closeAllConnections();
    machine.server.close();
  }

  /** Free resources of a machine, from the tasks that its worker holds. */
  free(id) {
    const { worker } = this.machines.get(id);
    const type = this.o.types.find((t) => t.name === worker.identity.type);
    const free = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb, tasks: 0 };
    for (const a of worker.attempts) {
      if (a.state === 'exited') continue;
      const { spec } = this.tasks.description(a.job);
      free.cpus -= spec.cpus;
      free.gpus -= spec.gpus;
      free.memoryGb -= spec.memoryGb;
      free.tasks++;
    }
    return free;
  }

  /** The machine on which a task of the job is on its machine (its image is there and it has not exited); null if none. */
  machineOf(id) {
    for (const [name, { worker }] of this.machines)
      if (worker.attempts.some((a) => a.job === id && a.state !== 'exited' && a.state !== 'fetching')) return name;
    return null;
  }

  /** Number of tasks of the job that run. */
  running(id) {
    let n = 0;
    for (const { worker } of this.machines.values())
      n += worker.attempts.filter((a) => a.job === id && a.state === 'running').length;
    return n;
  }

  /**
   * The cloud takes a machine back without notice, and has no more like it from then on. Other spot machines
   * stay.
   */
  takeBack(id) {
    const { type, zone } = this.machines.get(id).worker.identity;
    const spot = [...this.machines.values()].filter((m) => m.worker.identity.spot).length;
    for (const c of this.o.capacity) if (c.type === type && c.zone === zone) c.spot = 0;
    this.record.line(`TROUBLE: the cloud takes back ${id}, 1 of ${spot} spot machines, without notice`);
    this.market.reclaim(id, 0);
  }

  /** Uploads a description, as users do, so that workers know the job. */
  upload(job, runS) {
    const spec = readJob(job);
    if (typeof spec === 'string') throw new Error(spec);
    this.tasks.upload({ spec, runS, fails: false });
  }

  /** Sends a request of a user to one node, and records it with its answer. */
  async user(c, method, path, body = null, timeoutMs = 5000) {
    const answer = await request(c.bind, method, path, body, timeoutMs);
    this.record.line(`user ${method} ${path}${body ? ` ${JSON.stringify(body).slice(0, 400)}` : ''} at ${c.node} -> ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer;
  }

  /** Submits a job as the protocol says: retried for up to 60 s. Returns the final answer. */
  async submit(job, runS, c = this.controllers[0]) {
    this.upload(job, runS);
    const end = Date.now() + 60_000;
    for (let i = 0; ; i++) {
      const node = this.controllers[(this.controllers.indexOf(c) + i) % this.controllers.length];
      const answer = await this.user(node, 'POST', '/api/jobs', job);
      if ([200, 201, 400, 422].includes(answer.status) || Date.now() > end) return answer;
      await sleep(Math.max(1000, (answer.retryAfter ?? 0) * 1000));
    }
  }

  async stop() {
    if (this.stopping) return;
    this.stopping = true;
    for (const c of this.controllers) {
      const p = c.process;
      if (!p || p.exitCode !== null || p.signalCode !== null) continue;
      const ended = new Promise((resolve) => p.once('exit', resolve));
      p.kill('SIGCONT');
      p.kill('SIGKILL');
      await ended;
    }
    if (process.env.KEEP_LOGS)
      for (const c of this.controllers)
        if (existsSync(join(this.dir, `${c.node}.log`))) copyFileSync(join(this.dir, `${c.node}.log`), join(process.env.KEEP_LOGS, `${c.node}.log`));
    for (const id of [...this.machines.keys()]) this.removeMachine(id);
    for (const s of this.servers) {
      s.closeAllConnections();
      s.close();
    }
    this.http.close();
    rmSync(this.dir, { recursive: true, force: true });
    await this.record.end();
  }
}

/**
 * Runs a case: `body(cluster)` returns a verdict `{broken, why}`. Exits, after all is ended, with 10 if the rule was
 * broken, 0 if it held and 2 if the case could not run; `run.sh` turns 10 into 1, which Node uses for failures of its own.
 */
export async function runCase(metaUrl, options, body) {
  let cluster = null;
  const limit = setTimeout(() => void finish(2, 'not over after 117 s'), 117_000);
  let finishing = false;
  async function finish(exitCode, why) {
    if (finishing) return;
    finishing = true;
    clearTimeout(limit);
    const words = { 0: 'the rule held', 10: 'THE RULE WAS BROKEN', 2: 'the case could not run' };
    cluster.record.line(`TROUBLE=${TROUBLE ? 1 : 0}: ${words[exitCode]}: ${why}`);
    process.stdout.write(`${words[exitCode]}: ${why}\n`);
    await cluster.stop();
    process.exit(exitCode);
  }
  for (const name of ['SIGINT', 'SIGTERM']) process.once(name, () => void finish(2, name));
  process.on('uncaughtException', (error) => void finish(2, error.stack));
  process.on('unhandledRejection', (error) => void finish(2, error?.stack ?? String(error)));
  try {
    // Another program may take a port between its choice and its use; then all is begun again with other ports.
    for (let tries = 1; ; tries++) {
      cluster = new Cluster(dirname(fileURLToPath(metaUrl)), options);
      try {
        await cluster.start();
        break;
      } catch (error) {
        if (tries === 3) throw error;
        await cluster.stop();
      }
    }
    const { broken, why } = await body(cluster);
    await finish(broken ? 10 : 0, why);
  } catch (error) {
    await finish(2, error.stack);
  }
}

/** The small Lanchi deployment (kit/sites/lanchi-host-tbilisi.toml): settings, types and teams. */
export const LANCHI = {
  nodes: [{ zone: 'tbilisi-east' }, { zone: 'tbilisi-east' }, { zone: 'tbilisi-east' }],
  zones: ['kutaisi-west', 'tbilisi-east'],
  teams: [
    ['school-canteens', 4, 12],
    ['factory-canteens', 4, 12],
    ['billing-desk', 4, 12],
    ['kitchen-apps', 8, 12],
    ['vision-lab', 4, 16],
    ['platform-ops', 4, 12],
  ].map(([name, gpus, gpus_max]) => ({ name, cpus: 0, cpus_max: 0, gpus, gpus_max })),
  objectives: [
    { kind: 'wait', class: 'morning-cutoff', within_s: 180, share: 0.82 },
    { kind: 'finished', class: 'morning-cutoff', within_s: 250, share: 0.82 },
    { kind: 'finished', class: 'dish-photo-check', within_s: 250, share: 0.8 },
  ],
  workers: { report_s: 3, lease_s: 20, gang_wait_s: 40, gang_peer_s: 5, cancel_s: 45 },
  state: { rps: 150, write_rps: 50, value_kb: 8, txn_ops: 32 },
  cloud: { rps: 10, list_lag_s: 6 },
  limits: { cores: 0.17, memory_mb: 178, max_sockets: 800 },
  bootS: 1.5,
};
const type = (name, cpus, gpus, memoryGb, price, spotPrice, cacheGb, fetchGbPerS, bootS, zones) => ({
  name, cpus, gpus, memoryGb, price, spotPrice, cacheGb, fetchGbPerS, bootS, zones,
});
const Z = ['tbilisi-east'];
export const LANCHI_TYPES = {
  khachapuri: type('khachapuri-small', 8, 0, 16, 0.43, 0.16, 40, 1, 50, Z),
  pkhali: type('pkhali-mid', 32, 0, 128, 1.91, 0.76, 30, 1, 40, Z),
  mtsvadi: type('mtsvadi-large', 64, 0, 256, 3.57, 1.42, 50, 0.25, 35, Z),
  churchkhela: type('churchkhela-gpu', 24, 2, 144, 7.2, 2.79, 70, 0.5, 50, Z),
  tonis: type('tonis-gpu-large', 48, 4, 192, 9.07, 3.39, 150, 0.6, 50, Z),
};

/** The small Rowery deployment (kit/sites/rowery-wierzbicki-krakow.toml): settings, types and teams. */
export const ROWERY = {
  nodes: [{ zone: 'krakow-podgorze' }, { zone: 'krakow-nowa-huta' }, { zone: 'krakow-podgorze' }],
  zones: ['krakow-podgorze', 'krakow-nowa-huta'],
  teams: [
    ['depot-crew', 368, 528],
    ['workshop', 264, 952],
    ['rider-desk', 216, 640],
  ].map(([name, cpus, cpus_max]) => ({ name, cpus, cpus_max, gpus: 0, gpus_max: 0 })),
  objectives: [
    { kind: 'wait', class: 'dawn-rebalance', within_s: 6, share: 0.82 },
    { kind: 'wait', class: 'dawn-rebalance', within_s: 18, share: 0.97 },
    { kind: 'finished', class: 'dawn-rebalance', within_s: 180, share: 0.95 },
    { kind: 'finished', class: 'frame-inspection', within_s: 150, share: 0.85 },
    { kind: 'finished', class: 'frame-inspection', within_s: 250, share: 0.9 },
  ],
  workers: { report_s: 2.5, lease_s: 16, gang_wait_s: 30, gang_peer_s: 8, cancel_s: 41 },
  state: { rps: 200, write_rps: 80, value_kb: 16, txn_ops: 12 },
  cloud: { rps: 4, list_lag_s: 5 },
  limits: { cores: 0.425, memory_mb: 242, max_sockets: 1800 },
  bootS: 1.5,
};
export const ROWERY_TYPES = {
  wisla: type('wisla-node', 32, 0, 128, 1.93, 0.55, 60, 0.4, 15, ['krakow-podgorze', 'krakow-nowa-huta']),
};

/** A submission with the fields that a case does not set. */
export function job(id, fields) {
  return {
    id, jobClass: 'dish-photo-check', owner: 'school-canteens', shape: 'sweep', urgency: 'standard', pieces: 1,
    cpus: 10, cards: 1, memoryGb: 54, bundle: 'img-07', pullGb: 0.5, flavors: null, yard: null, oneZone: false,
    spread: false, loaner: false, expectedS: 30, saveEveryS: 0, savingS: 0, dueS: null, ...fields,
  };
}
