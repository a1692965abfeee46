// Stand-ins and controllers for the cases of the second review: a key-value store, a cloud with a fixed set of machines,
// workers, and controllers started with the command of the deploy file. All on loopback addresses and free ports.

import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** The project's own stand-ins, as `review/build-2.sh` builds them, apart from the controllers' build. */
const load = (path) => import(join(root, 'target', 'review-2', path));
const { systemClock } = await load('clock/clock.js');
const { HttpClient } = await load('http/client.js');
const { Random } = await load('emulator/random.js');
const { Reporter } = await load('emulator/reporter.js');
const { StateService } = await load('emulator/state.js');
const { Tasks } = await load('emulator/tasks.js');
const { Worker } = await load('emulator/worker.js');
const { readJob } = await load('wire/users.js');

const HOST = '127.0.0.1';
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns `count` ports that are free now, below the range from which outgoing connections take theirs. */
async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 11_000 + Math.floor(Math.random() * 20_000);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, HOST, () => resolve(true));
    });
    if (!isFree) continue;
    ports.add(port);
    await new Promise((resolve) => server.close(resolve));
  }
  return [...ports];
}

/** Serves JSON requests with `handle(method, path, body)`, which returns `{ status, body }` or a promise of it. */
function serveJson(port, handle, servers) {
  const server = http.createServer((request, response) => {
    const pieces = [];
    request.on('data', (d) => pieces.push(d));
    request.on('end', async () => {
      const text = Buffer.concat(pieces).toString('utf8');
      const { status, body } = await handle(request.method, request.url, text ? JSON.parse(text) : null);
      const answer = JSON.stringify(body ?? {});
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(answer) });
      response.end(answer);
    });
  });
  server.keepAliveTimeout = 120_000;
  servers.push(server);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, resolve);
  });
}

/** One request of a user; returns the status and the parsed body, or status 0 without an answer in time. */
export function ask(port, method, path, body, timeoutMs) {
  return new Promise((resolve) => {
    const text = body ? JSON.stringify(body) : '';
    const request = http.request(
      { host: HOST, port, method, path, agent: false, headers: text ? { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) } : {} },
      (response) => {
        const pieces = [];
        response.on('data', (d) => pieces.push(d));
        response.on('error', () => resolve({ status: 0, body: null }));
        response.on('end', () => {
          clearTimeout(timer);
          let parsed = null;
          try {
            parsed = JSON.parse(Buffer.concat(pieces).toString('utf8'));
          } catch {}
          resolve({ status: response.statusCode, body: parsed, retryAfter: Number(response.headers['retry-after'] ?? 0) });
        });
      },
    );
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      resolve({ status: 0, body: null });
    });
    request.end(text);
  });
}

/** A deployment on this machine. */
export class Deployment {
  /**
   * `teams`: `{ name, cpus, cpusMax }`; `types`: machine types by name; `machines`: their types; `stateNext`: lines of
   * `params.state.next`; direct commands to workers pass `onCommand(machine, body, deliver)`, if given.
   */
  constructor(options) {
    const { caseFolder, teams, types, machines, nodes = 3, zone = 'tbilisi-east', reportS = 3, stateNext = null, onCommand = null } = options;
    this.options = options;
    Object.assign(this, { teams, types, machineSpecs: machines, nodes, zone, reportS, stateNext, onCommand });
    this.record = join(caseFolder, 'record.txt');
    writeFileSync(this.record, '');
    this.folder = mkdtempSync(join(tmpdir(), 'spartray-case-'));
    this.startedAt = Date.now();
    this.servers = [];
    this.controllers = [];
    this.machines = new Map();
    this.state = new StateService(systemClock);
    this.state.limits = { valueBytes: 8 * 1024, txnOps: 32, writesPerSecond: 50, requestsPerSecond: 150 };
    const machineTypes = new Map(Object.entries(types).map(([name, t]) => [name, { name, cpus: t.cpus, gpus: 0, memoryGb: t.memoryGb, cacheGb: 40, fetchGbPerS: 1, price: t.price, spotPrice: 0, bootS: t.bootS, zones: [zone] }]));
    this.tasks = new Tasks(systemClock, new Random(1), machineTypes, { gangWaitS: 40, gangPeerS: 5 });
    this.tasks.onEvent = (e) =>
      this.note(`worker ${e.machine}: ${e.job}/${e.index} try ${e.attempt} ${e.kind === 'on' ? 'on the machine' : `off the machine (${e.cause})`}`);
  }

  /** Seconds since the start. */
  get now() {
    return (Date.now() - this.startedAt) / 1000;
  }

  note(text) {
    appendFileSync(this.record, `${this.now.toFixed(2).padStart(7)} ${text}\n`);
  }

  async start() {
    const perMachine = 2;
    const ports = await freePorts(2 + this.nodes * 2 + this.machineSpecs.length * perMachine);
    const take = () => ports.shift();
    this.statePort = take();
    this.cloudPort = take();
    await serveJson(this.statePort, (method, path, body) => this.state.serve(method, path, body), this.servers);
    await serveJson(this.cloudPort, (method, path, body) => this.serveCloud(method, path, body), this.servers);
    this.controllers = Array.from({ length: this.nodes }, (_, i) => ({ node: `worker-${i}`, port: take(), peerPort: take(), process: null }));
    for (const [i, { type }] of this.machineSpecs.entries()) {
      const id = `m-${String(i + 1).padStart(6, '0')}`;
      this.machines.set(id, { id, type, port: take(), workerPort: take() });
    }
    for (const c of this.controllers) this.startController(c);
    await this.until(30, 'all controllers healthy', async () => {
      if (this.controllers.some((c) => c.process.exitCode !== null)) throw new Error('a controller ended, maybe since another program has taken its port');
      const answers = await Promise.all(this.controllers.map((c) => ask(c.port, 'GET', '/healthz', null, 1000)));
      return answers.every((a) => a.status === 200);
    });
    this.client = new HttpClient(systemClock, { maxSockets: 500, maxBodyBytes: 1024 * 1024 });
    for (const m of this.machines.values()) await this.startMachine(m);
  }

  startController(c) {
    const { run } = Object.fromEntries(
      [...readFileSync(join(root, 'deploy', 'service.toml'), 'utf8').matchAll(/^(\w+) = "(.*)"$/gm)].map((m) => [m[1], m[2]]),
    );
    const file = join(this.folder, `${c.node}.toml`);
    writeFileSync(file, this.settings(c));
    const [program, ...args] = run.split(' ');
    const log = openSync(join(this.folder, `${c.node}.log`), 'a');
    c.process = spawn(program === 'node' ? process.execPath : program, [...args, file], {
      cwd: root,
      stdio: ['ignore', 'ignore', log],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    c.process.once('exit', (code, signal) => {
      if (!this.stopping) this.note(`controller ${c.node} ended (${signal ?? code})`);
    });
  }

  settings(c) {
    const seeds = this.controllers.filter((o) => o !== c).map((o) => `[[seeds]]\nnode = "${o.node}"\nzone = "${this.zone}"\nendpoint = "${HOST}:${o.peerPort}"\n`);
    const teams = this.teams.map((t) => `[[params.teams]]\nname = "${t.name}"\ncpus = ${t.cpus.toFixed(1)}\ncpus_max = ${t.cpusMax.toFixed(1)}\ngpus = 0.0\ngpus_max = 0.0\n`);
    return `node = "${c.node}"\nzone = "${this.zone}"\nbind = "${HOST}:${c.port}"\npeer_bind = "${HOST}:${c.peerPort}"\n
${seeds.join('\n')}
[external]\ncloud = "${HOST}:${this.cloudPort}"\nstate = "${HOST}:${this.statePort}"\n
[params]\ninitial_size = ${this.nodes}\nzones = ["${this.zone}"]\nskew_ms = 1000.0\n
${teams.join('\n')}
[params.workers]\nreport_s = ${this.reportS.toFixed(1)}\nlease_s = 20.0\ngang_wait_s = 40.0\ngang_peer_s = 5.0\ncancel_s = 45.0\n
[params.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 32\n${this.stateNext ? `\n[params.state.next]\n${this.stateNext}\n` : ''}
[params.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n
[params.limits]\ncores = 0.17\nmemory_mb = 178.0\nmax_sockets = 800\n`;
  }

  serveCloud(method, path, body) {
    if (path === '/flavors') {
      const flavors = Object.entries(this.types).map(([label, t]) => ({ label, cpus: t.cpus, cards: 0, memoryGb: t.memoryGb, localGb: 40, pullGbPerS: 1, price: t.price, lowPrice: 0, readyS: t.bootS, yards: [this.zone] }));
      return { status: 200, body: { flavors } };
    }
    if (path.startsWith('/machines?')) {
      const since = new URLSearchParams(path.slice(path.indexOf('?'))).get('since') ?? '';
      const workers = [...this.machines.values()]
        .filter((m) => m.id > since && m.worker)
        .map((m) => ({ id: m.id, addr: `${HOST}:${m.port}`, flavor: m.type, yard: this.zone, loaner: false, status: 'running', heldS: this.now }));
      return { status: 200, body: { workers, more: false } };
    }
    if (path === '/machines/release') {
      for (const id of body.workers) this.removeMachine(id);
      return { status: 200, body: {} };
    }
    if (path === '/machines') return { status: 503, body: { error: 'no capacity' } };
    return { status: 400, body: {} };
  }

  async startMachine(m) {
    const identity = { id: m.id, addr: `${HOST}:${m.port}`, type: m.type, zone: this.zone, spot: false };
    let reporter = null;
    m.worker = new Worker(systemClock, identity, 20, this.tasks, () => reporter?.reportSoon());
    m.deliver = (method, path, body) => m.worker?.serve(method, path, body) ?? { status: 503, body: {} };
    await serveJson(m.port, async (method, path, body) => {
      if (!m.worker) return { status: 503, body: {} };
      if (path === '/do' && body?.orders?.length > 0) this.note(`-> ${m.id} POST /do ${JSON.stringify(body)}`);
      if (this.onCommand && path === '/do') return this.onCommand(m, body, () => m.deliver(method, path, body));
      return m.deliver(method, path, body);
    }, this.servers);
    reporter = new Reporter(systemClock, this.client, new Random(Number(m.id.slice(2))), m.worker, this.controllers.map((c) => ({ node: c.node, addr: `${HOST}:${c.port}` })), this.reportS);
    m.reporter = reporter;
  }

  removeMachine(id) {
    const m = this.machines.get(id);
    if (!m?.worker) return;
    this.note(`machine ${id} released`);
    m.reporter.stop();
    m.worker.killTasks();
    m.worker = null;
  }

  /** Uploads the job's description for the workers, and submits it as a user does. Returns the last answer. */
  async submit(job, runS, port = this.controllers[0].port) {
    const spec = readJob(job);
    if (typeof spec === 'string') throw new Error(spec);
    this.tasks.upload({ spec, runS, fails: false });
    const until = Date.now() + 60_000;
    for (;;) {
      const answer = await ask(port, 'POST', '/api/jobs', job, 5000);
      this.note(`user: POST /api/jobs ${job.id} -> ${answer.status} ${JSON.stringify(answer.body)}`);
      if ([200, 201, 400, 422].includes(answer.status) || Date.now() > until) return answer;
      await pause(Math.min(30, Math.max(1, answer.retryAfter || 0)) * 1000);
    }
  }

  /** Waits until `check` returns a truthy value and returns it; fails after `seconds`. */
  async until(seconds, what, check) {
    const end = Date.now() + seconds * 1000;
    for (;;) {
      const result = await check();
      if (result) return result;
      if (Date.now() > end) throw new Error(`not in time: ${what}`);
      await pause(50);
    }
  }

  /** Ends everything that was started; the same for every call. */
  stop() {
    this.stopped ??= this.stopAll();
    return this.stopped;
  }

  async stopAll() {
    this.stopping = true;
    for (const c of this.controllers) {
      const { process: p } = c;
      if (!p || p.exitCode !== null || p.signalCode !== null) continue;
      const ended = new Promise((resolve) => p.once('exit', resolve));
      p.kill('SIGKILL');
      await ended;
    }
    for (const m of this.machines.values()) m.reporter?.stop();
    for (const s of this.servers) {
      s.closeAllConnections();
      s.close();
    }
    if (process.env.KEEP) console.log(this.folder);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A submission with usual values; `change` replaces some. */
export function job(id, change) {
  return {
    id, jobClass: 'nightly', owner: 'school-canteens', shape: 'sweep', urgency: 'standard', pieces: 1,
    cpus: 1, cards: 0, memoryGb: 1, bundle: 'img-01', pullGb: 0, flavors: null, yard: null,
    oneZone: false, spread: false, loaner: false, expectedS: 20, saveEveryS: 0, savingS: 0, dueS: null, ...change,
  };
}

/** Runs a case: exits with 1 if it returns a broken rule, 0 if it returns null, 2 if it could not run. */
export async function runCase(first, play) {
  let code = 2;
  let deployment = first;
  const giveUp = (why) => {
    deployment.note(`could not run: ${why}`);
    void deployment.stop().finally(() => process.exit(2));
  };
  process.on('uncaughtException', (error) => giveUp(error.stack));
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => giveUp(signal));
  try {
    try {
      await deployment.start();
    } catch (error) {
      // Another program may have taken a port between the choice of the ports and their use.
      console.log(`begins again: ${error.message}`);
      await deployment.stop();
      deployment = new Deployment(first.options);
      await deployment.start();
    }
    const broken = await play(deployment);
    deployment.note(broken ? `BROKEN ${broken}` : 'the rule held');
    console.log(broken ? `broken: ${broken}` : 'the rule held');
    code = broken ? 1 : 0;
  } catch (error) {
    deployment.note(`could not run: ${error.message}`);
    console.log(`could not run: ${error.message}`);
  }
  await deployment.stop();
  process.exit(code);
}
