import { deflateRawSync } from 'node:zlib';
import type { ResourceDemand } from '../../src/autoscaler/shardstatus.js';
import { ChangeLog } from '../../src/changefeed/changelog.js';
import { SpartrayClient } from '../../src/client/client.js';
import { CondorClient } from '../../src/client/condor.js';
import { Cloud } from '../../src/cloud/cloud.js';
import { ClusterRecords } from '../../src/condor/records.js';
import type { ControllerContext } from '../../src/context/context.js';
import { IncomingHandovers } from '../../src/controller/incominghandovers.js';
import type { Membership } from '../../src/controller/membership.js';
import { OwnerClient } from '../../src/controller/ownerclient.js';
import { PeerConnections } from '../../src/controller/peerconnections.js';
import { PEER_OPS } from '../../src/controller/peeroperations.js';
import type { StoredRequests } from '../../src/controller/storedrequests.js';
import { StateService } from '../../src/emulator/state.js';
import type { HttpResponse, Requester } from '../../src/http/client.js';
import { type Job, makeJob } from '../../src/jobs/job.js';
import { JobRecords } from '../../src/jobs/records.js';
import { encodeFrame } from '../../src/peer/frames.js';
import type { Mesh } from '../../src/peer/mesh.js';
import { NOT_READY } from '../../src/scheduler/responses.js';
import { KEYS, OwnerTransactions } from '../../src/schema/schema.js';
import { writeReplicationMessage } from '../../src/standby/messages.js';
import { type ReplicationRecord, writeReplicationRecord } from '../../src/standby/replicationrecord.js';
import { ReplicationStream } from '../../src/standby/replicationstream.js';
import { StateStore } from '../../src/state/statestore.js';
import { type ListedMachine, writeList, writeTypes } from '../../src/wire/cloud.js';
import {
  type JobKind,
  type JobSpec,
  type JobStatus,
  readJob,
  writeJob,
  writeStatus,
} from '../../src/wire/users.js';
import {
  type ExitCause,
  type TaskState,
  type TaskStatus,
  type WorkerCommand,
  writeCommands,
  writeHeartbeat,
  writeHeartbeatResponse,
} from '../../src/wire/workers.js';
import { FakeClock } from './clock.js';
import { FakeCluster, job } from './cluster.js';
import { httpBytes } from './heads.js';
import { meshFrames } from './meshbytes.js';

/** Encoded messages or records by name, as the fixtures store them. */
export type EncodedTexts = Record<string, string>;

const LIMITS = { valueKb: 2, txnOps: 16, layoutKb: 8 };
const OWNER = { node: 'n1', run: 'n1-7', lease: 12 };

/** Returns a job in which every member of a submission is set. */
export function fullSpec(change: object = {}): JobSpec {
  const read = readJob(
    job('wk-full_1', {
      shape: 'ensemble',
      urgency: 'urgent',
      pieces: 3,
      cpus: 1.5,
      cards: 2,
      flavors: ['c8', 'g8'],
      yard: 'a',
      oneZone: true,
      spread: true,
      dueS: 900.5,
      waitsOn: ['wk-0', 'wk-00'],
      ...change,
    }),
  );
  if (typeof read === 'string') throw new Error(read);
  return { ...read, match: { requirements: 'TARGET.Memory >= 2048', rank: null } };
}

/** One record of each kind in the replication stream to a standby; a missing kind does not compile. */
export const REPLICATION_RECORDS: {
  [K in ReplicationRecord['kind']]: Extract<ReplicationRecord, { kind: K }>;
} = {
  snapshotBegin: { kind: 'snapshotBegin' },
  inSync: { kind: 'inSync' },
  mayRunOn: { kind: 'mayRunOn', job: 'wk-1', machine: 'm-1' },
  runsOnlyOn: { kind: 'runsOnlyOn', job: 'wk-1', machines: ['m-1', 'm-2'] },
  leftMachine: { kind: 'leftMachine', job: 'wk-1', machine: 'm-1' },
  jobEnded: { kind: 'jobEnded', job: 'wk-1' },
  attemptRunning: { kind: 'attemptRunning', task: 'wk-1/3', attempt: 7, runningSince: 1_700_000_000_000 },
  machine: { kind: 'machine', id: 'm-1', incarnation: 2, images: [{ image: 'img', gb: 1.5 }] },
  runtimeEstimate: { kind: 'runtimeEstimate', jobClass: 'train', log: 0.25, count: 3 },
  quarantined: { kind: 'quarantined', job: 'wk-1', failures: 2, until: 1_700_000_001_000 },
  quarantineLifted: { kind: 'quarantineLifted', job: 'wk-1' },
};

interface RecordingClients {
  store: StateStore;
  cloud: Cloud;
  /** The requests that were sent, in order. */
  sent: string[];
}

/** Creates clients of the key-value store and the cloud whose requests are recorded and answered by `answer`. */
function recordingClients(
  answer: (method: string, path: string, body: unknown) => unknown,
): RecordingClients {
  const clock = new FakeClock();
  const sent: string[] = [];
  const http: Requester = {
    request: async (_address, method, path, body): Promise<HttpResponse> => {
      sent.push(`${method} ${path}${body === null ? '' : ` ${JSON.stringify(body)}`}`);
      const served = (await answer(method, path, body)) as { status: number; body: unknown };
      return { ...served, headers: new Map() };
    },
  };
  const store = new StateStore(clock, http, 'state:1', { rps: 6000, writeRps: 6000, nodes: 1 });
  return { store, cloud: new Cloud(clock, http, 'cloud:1', 6000, 1), sent };
}

function numberRequests(name: string, sent: readonly string[]): EncodedTexts {
  return Object.fromEntries(sent.map((text, i) => [`${name} ${i + 1}`, text]));
}

/** Returns every kind of request to the key-value store. */
export async function stateRequests(): Promise<EncodedTexts> {
  const service = new StateService(new FakeClock());
  const { store, sent } = recordingClients((method, path, body) => {
    if (path.startsWith('/watch')) return { status: 410, body: {} };
    if (!path.startsWith('/keys?')) return service.serve(method, path, body);
    const entries = [{ path: 'act/wk 1', value: {}, stamp: 3 }];
    return { status: 200, body: { entries, more: !path.includes('since'), ledgerRev: 3 } };
  });
  const lease = await store.grant(8000);
  await store.renew(lease, 1000);
  await store.compareAndSwap(
    [{ key: 'c/a', version: 0 }],
    [{ put: 'c/a', value: { x: 1 }, lease }, { delete: 'c/b' }],
  );
  await store.compareAndSwap([], [{ put: 'c/c', value: null }]);
  await store.get('c/a');
  await store.list('act/');
  await store.watch('c/', 7, 5000);
  await store.revoke(lease);
  return numberRequests('state', sent);
}

/** Returns every kind of request to the cloud. */
export async function cloudRequests(): Promise<EncodedTexts> {
  const listed = (id: string) =>
    ({ id, addr: '10.1.0.1:9000', type: 'c8', zone: 'a', spot: true, state: 'booting', ageS: 5 }) as const;
  const { cloud, sent } = recordingClients((method, path) => {
    if (path === '/flavors') return { status: 200, body: writeTypes(new FakeCluster([]).types) };
    if (method === 'GET') return { status: 200, body: writeList([listed('m 1')], !path.includes('since')) };
    return { status: 200, body: { workers: ['m-1'] } };
  });
  await cloud.listMachineTypes();
  await cloud.listMachines();
  await cloud.rent({ request: 'n0-1-7-2', type: 'c8', zone: 'a', spot: true, count: 3 });
  await cloud.release(['m-1', 'm-2']);
  return numberRequests('cloud', sent);
}

/**
 * Returns every kind of request that the client sends to a controller and to the service that stores job
 * descriptions.
 */
export async function clientRequests(): Promise<EncodedTexts> {
  const sent: string[] = [];
  const http: Requester = {
    request: async (address, method, path, body) => {
      const text = body === null ? '' : ` ${JSON.stringify(body)}`;
      sent.push(`${address} ${method} ${path}${text}`.replace(/[0-9a-f]{8}-[0-9a-f-]{27}/, 'UUID'));
      const view = { id: 'wk-1', status: 'queued', done: 0, running: 0 };
      const lists = { jobs: [], procs: [], clusters: [], more: false };
      return { status: 200, body: { ...view, ...lists, changed: 1 }, headers: new Map() };
    },
  };
  const client = new SpartrayClient(new FakeClock(), http, { servers: ['server:1'], depot: 'depot:1' });
  await client.submit(fullSpec());
  await client.status('wk-1');
  await client.cancel('wk-1');
  await client.list('wk-');
  const condor = new CondorClient(client);
  await condor.submit('queue 1', { 0: ['a'] }, 'ann');
  await condor.clusters(true);
  await condor.procs(7);
  await condor.analyze(7, 1);
  await condor.act('hold', 7, { procs: [1], constraint: 'ProcId == 1', reason: 'wait' });
  return numberRequests('client', sent);
}

function accepted(spec: JobSpec, version: number): Job {
  return makeJob(
    spec,
    { accepted: 1_700_000_000_000, deadline: 1_700_000_900_000, order: 0, fresh: true, version },
    { team: 0, types: null, zone: null, image: 0, match: null },
  );
}

/** Returns the writes that an owner makes for its jobs, from acceptance to the end, in both layouts. */
export async function jobWrites(): Promise<EncodedTexts> {
  const service = new StateService(new FakeClock());
  const { store, sent } = recordingClients((...request) => service.serve(...request));
  const owned = await store.compareAndSwap([], [{ put: KEYS.owner(2), value: OWNER }]);
  const term = owned.ok ? owned.revision : 0;
  const times = { accepted: 1_700_000_000_000, deadline: 1_700_000_900_000 };
  const records = (all: boolean) => new JobRecords(new OwnerTransactions(store, 2, term), LIMITS, () => all);
  const waitsOn = Array.from({ length: 200 }, (_, i) => `wk-needed-${i}`);
  for (const [id, change, all] of [
    ['wk-whole', {}, true],
    ['wk-parts', { waitsOn }, true],
    ['wk-stated', { shape: 'sweep', pieces: 20_000 }, true],
    ['wk-former', { shape: 'sweep', pieces: 60_000 }, false],
  ] as const) {
    const spec = fullSpec({ id, ...change });
    const done = await records(all).accept({ spec, ...times }, `tag-${id}`);
    if (done.kind !== 'accepted') throw new Error(`${id} was not accepted`);
    const stored = accepted(spec, done.version);
    for (const task of [0, 2, 11_600, 50_000]) {
      if (!stored.done.add(task)) continue;
      stored.dirtyChunks.add(records(all).chunkOf(stored, task));
    }
    await records(all).storeDone(stored);
    await records(all).finish(stored, id === 'wk-whole' ? 'cancelled' : 'done');
  }
  return numberRequests('jobs', sent);
}

/** Returns the writes for clusters of submit files. */
export async function clusterWrites(): Promise<EncodedTexts> {
  const service = new StateService(new FakeClock());
  const { store, sent } = recordingClients((...request) => service.serve(...request));
  const claimed = await store.compareAndSwap([], [{ put: 'c/condor', value: OWNER }]);
  const term = claimed.ok ? claimed.revision : 0;
  const records = new ClusterRecords(store, LIMITS);
  const text = 'executable = run.sh\nqueue 40\n';
  const submission = { text, rows: { 0: ['a b'] }, user: 'ann', at: 1_700_000_000 };
  await records.create('submission-1', submission, 40, 'nightly');
  const [loaded] = await records.listClusters();
  if (!loaded) throw new Error('no cluster was stored');
  const expanded = { ...loaded.record, from: 2, upTo: 5, state: 'removing' as const };
  const version = await records.put(term, loaded, expanded);
  const exceptions = new Map([
    [1, { start: 0, state: 'held' as const, why: 'as its owner asked' }],
    [33, { start: 2, state: 'idle' as const, why: 'released' }],
    [34, { start: 0, state: 'removed' as const, why: '' }],
  ]);
  await records.putExceptions(term, 1, exceptions, [0, 1], new Map());
  const ended = { ...loaded, version: version! };
  await records.moveToEnded(term, ended, { ...expanded, state: 'over', removed: 2 });
  await records.deleteObsolete(term, ended);
  const compressed = deflateRawSync(JSON.stringify(submission)).toString('base64');
  // The compressed bytes depend on the library, so the fixture holds the uncompressed content in their place.
  return numberRequests(
    'clusters',
    sent.map((request) => request.replace(compressed, JSON.stringify(submission).replaceAll('"', "'"))),
  );
}

const frame = (message: Parameters<typeof encodeFrame>[0]) => encodeFrame(message).toString('hex');

/** Returns the frames of the requests and notifications that owners send to each other. */
export async function ownerRequestFrames(): Promise<EncodedTexts> {
  const frames: EncodedTexts = {};
  const mesh: Mesh = {
    request: async (node, op, args) => {
      frames[`${op} to ${node}`] = frame({ q: 1, op, a: args });
      return true;
    },
    notify: (node, op, args) => {
      frames[`${op} to ${node}`] = frame({ op, a: args });
    },
    connected: () => true,
    refused: () => false,
  };
  const context = { settings: { node: 'n0' } } as ControllerContext;
  const members = { owner: () => OWNER } as unknown as Membership;
  const shards = new Map();
  const peers = new PeerConnections();
  peers.connect(mesh);
  const owners = new OwnerClient({
    context,
    members,
    storedRequests: null as unknown as StoredRequests,
    shards,
    nodes: [],
    incomingHandovers: new IncomingHandovers(new FakeClock(), shards),
    peers,
  });
  const need: Required<ResourceDemand> = {
    types: ['c8'],
    zone: 'a',
    spot: true,
    cpus: 2,
    gpus: 1,
    memoryGb: 4.5,
    count: 3,
    priority: 2,
    guaranteed: true,
    deadline: 1_700_000_000_000,
    waitS: 9,
    kinds: ['c8 a spot'],
  };
  const answerHere = () => Promise.reject(new Error('not here'));
  await owners.transferMachine(1, 'm-1', 2);
  await owners.evictForTransfer(1, 'm-1', 2, 3);
  await owners.reserveForTransfer(1, 2, need, 'a');
  await owners.requestDependencyStatus(1, 2, [{ id: 'wk-1', priority: 2, dueWall: 1_700_000_000_000 }]);
  owners.notifyDependencyEnded(1, 'wk-1', 'cancelled');
  for (const op of [PEER_OPS.submit, PEER_OPS.submitWithDependencies])
    await owners.request({ shard: 1, op, args: { spec: fullSpec() }, answerHere });
  for (const op of [PEER_OPS.status, PEER_OPS.cancel])
    await owners.request({ shard: 1, op, args: { id: 'wk-1' }, answerHere });
  await owners.request({
    shard: 1,
    op: PEER_OPS.list,
    args: { under: 'wk-', after: '', most: 200 },
    answerHere,
  });
  frames['not ready'] = frame({ r: 1, e: NOT_READY });
  return frames;
}

/** Returns the replication stream to a standby: a snapshot, changes made after it, and one message of the stream. */
export function standbyFrames(): EncodedTexts {
  const { snapshotBegin: _begin, inSync: _inSync, mayRunOn: _mayRunOn, ...streamed } = REPLICATION_RECORDS;
  const feed = new ReplicationStream({ snapshot: () => Object.values(streamed).values() });
  feed.add({ kind: 'runsOnlyOn', job: 'wk-2', machines: null });
  void feed.announce([{ job: 'wk-1', machine: 'm-1' }]);
  const message = writeReplicationMessage({
    shard: 1,
    term: 9,
    revision: 11,
    incarnation: 'n1-7',
    ...feed.batch(),
    recordChanges: 5,
  });
  const { from, records } = message;
  const produced: EncodedTexts = { batch: JSON.stringify({ from, records }) };
  for (const record of Object.values(REPLICATION_RECORDS)) {
    const written = writeReplicationRecord(record);
    produced[`record ${written.t}`] = JSON.stringify(written);
  }
  produced.stand = frame({ q: 2, op: 'stand', a: message });
  return produced;
}

/** Returns the batches of changes that a change feed serves to other nodes. */
export function changeFeedFrames(): EncodedTexts {
  const log = new ChangeLog();
  log.append({
    since: 3,
    revision: 8,
    changes: [
      { key: 'c/own/1', value: OWNER, version: 5 },
      { key: 'c/own/2', gone: true, version: 7 },
    ],
  });
  return {
    batch: frame({ r: 3, a: log.after(3) }),
    later: frame({ r: 3, a: log.after(7) }),
    gap: String(log.after(2)),
  };
}

/** Returns complete responses to users and workers, except responses that depend on the outcome of planning. */
export async function apiAnswers(): Promise<EncodedTexts> {
  const cluster = new FakeCluster(['n0']);
  cluster.addWorker('c8', 'a');
  cluster.startNode('n0');
  const produced: EncodedTexts = {};
  const call = async (method: string, path: string, body: object | null = null) => {
    const { status, headers, body: answer } = await cluster.call('n0', method, path, body);
    const name = `${method} ${path} ${(body as { id?: string } | null)?.id ?? ''}`.trim();
    produced[`${Object.keys(produced).length + 1} ${name}`] = JSON.stringify({ status, headers, answer });
  };
  await call('GET', '/healthz');
  await call('POST', '/api/jobs', job('wk-1'));
  await cluster.clock.advance(8000);
  await call('POST', '/api/jobs', { ...job('wk-2'), pieces: 0 });
  await call('POST', '/api/jobs', job('wk-3', { owner: 'green' }));
  await call('POST', '/api/jobs', job('wk-4', { cpus: 900 }));
  await call('POST', '/api/jobs', job('wk-5', { waitsOn: ['wk-none'] }));
  await call('POST', '/api/jobs', job('wk-6', { dueS: 1 }));
  await call('POST', '/api/jobs', job('wk-7'));
  await call('POST', '/api/jobs', job('wk-7'));
  await call('GET', '/api/jobs/wk-7');
  await call('GET', '/api/jobs');
  await call('GET', '/api/jobs/wk-none');
  await call('POST', '/api/jobs/wk-none/abort');
  await call('POST', '/api/jobs/wk-7/other');
  await call('POST', '/api/jobs/wk-7/abort');
  await call('GET', '/api/jobs/wk-7');
  await call('GET', '/api/jobs/wk-7/abort');
  await call('PUT', '/api/jobs/wk-7');
  await call('PUT', '/api/jobs');
  await call('POST', '/healthz');
  await call('GET', '/v1/report');
  await call('POST', '/v1/report', { worker: 1 });
  await call('GET', '/other');
  return produced;
}

/** Internal enum values, each mapped to itself: a missing value does not compile. */
const JOB_KINDS: { [K in JobKind]: K } = { array: 'array', gang: 'gang', service: 'service' };
const JOB_STATUSES: { [S in JobStatus]: S } = {
  queued: 'queued',
  running: 'running',
  done: 'done',
  cancelled: 'cancelled',
};
const TASK_STATES: { [S in TaskState]: S } = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
const EXIT_CAUSES: { [C in ExitCause]: C } = {
  done: 'done',
  stopped: 'stopped',
  peers: 'peers',
  alone: 'alone',
  error: 'error',
  no_room: 'no_room',
  busy: 'busy',
  unknown: 'unknown',
};
const MACHINE_STATES: { [S in ListedMachine['state']]: S } = {
  booting: 'booting',
  running: 'running',
  failed: 'failed',
};
const ATTEMPT = { job: 'wk-1', index: 3, attempt: 7 };
const ORDERS: { [O in WorkerCommand['op']]: Extract<WorkerCommand, { op: O }> } = {
  start: { op: 'start', ...ATTEMPT },
  stop: { op: 'stop', ...ATTEMPT, graceS: 2.5 },
  forget: { op: 'forget', ...ATTEMPT },
};

/** Returns a message for each enum value in the formats for users, workers and the cloud. */
export function wireEnums(): EncodedTexts {
  const produced: EncodedTexts = {};
  const add = (name: string, value: object) => {
    produced[name] = JSON.stringify(value);
  };
  for (const kind of Object.values(JOB_KINDS)) add(`kind ${kind}`, writeJob({ ...fullSpec(), kind }));
  for (const priority of [0, 1, 2, 3]) add(`priority ${priority}`, writeJob({ ...fullSpec(), priority }));
  for (const status of Object.values(JOB_STATUSES))
    add(`status ${status}`, writeStatus('wk-1', status, 2, 1));
  const report = (task: TaskStatus) =>
    writeHeartbeat({
      machine: 'm-1',
      addr: '10.1.0.1:9000',
      type: 'c8',
      zone: 'a',
      spot: true,
      incarnation: 2,
      sequence: 9,
      fencingToken: 12,
      reclaimInS: 30,
      tasks: [task],
    });
  for (const state of Object.values(TASK_STATES)) {
    const cause = state === 'exited' ? 'done' : null;
    add(`task ${state}`, report({ ...ATTEMPT, state, cause, saved: state === 'saving' }));
  }
  for (const cause of Object.values(EXIT_CAUSES))
    add(`cause ${cause}`, report({ ...ATTEMPT, state: 'exited', cause, saved: false }));
  for (const state of Object.values(MACHINE_STATES)) {
    const place = { id: 'm-1', addr: '10.1.0.1:9000', type: 'c8', zone: 'a', spot: false };
    add(`machine ${state}`, writeList([{ ...place, state, ageS: 3 }], true));
  }
  for (const [name, order] of Object.entries(ORDERS))
    add(`order ${name}`, writeHeartbeatResponse(12, [order]));
  add('commands', writeCommands(12, 2, Object.values(ORDERS)));
  return produced;
}

/** The functions that produce encoded messages, by the names of their fixtures. */
export const ENCODERS: Readonly<Record<string, () => Promise<EncodedTexts> | EncodedTexts>> = {
  'state-requests': stateRequests,
  'cloud-requests': cloudRequests,
  'job-writes': jobWrites,
  'cluster-writes': clusterWrites,
  'owners-frames': ownerRequestFrames,
  'standby-frames': standbyFrames,
  'feed-frames': changeFeedFrames,
  'wire-words': wireEnums,
  'http-bytes': httpBytes,
  'mesh-frames': meshFrames,
  'client-requests': clientRequests,
  'api-answers': apiAnswers,
};
