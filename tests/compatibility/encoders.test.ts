/**
 * What the code writes, byte for byte, and that it reads what versions before it wrote. The fixtures were written by the
 * code of version 0.2.0; no test changes them. A message or record that is new gets a fixture of its own by hand, from
 * what the failing test shows.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parse, stringify } from 'smol-toml';
import { readResourceDemand, readShardStatus, writeShardStatus } from '../../src/autoscaler/shardstatus.js';
import {
  readChangesRequest,
  readChangesResponse,
  readLatestRevisionResponse,
} from '../../src/changefeed/messages.js';
import { ClusterRecords } from '../../src/condor/records.js';
import { parseSettings, type Settings, SettingsError } from '../../src/config/settings.js';
import { MachineTypeCatalog } from '../../src/context/machinetypecatalog.js';
import { NameTables } from '../../src/context/nametables.js';
import { StateService } from '../../src/emulator/state.js';
import {
  readChunk,
  readJobEntry,
  readLoaded,
  readParts,
  readSpec,
  shardOfRecord,
} from '../../src/jobs/records.js';
import { encodeFrame, FrameReader, type PeerMessage } from '../../src/peer/frames.js';
import { readDependencyStatuses, readDependentClaims } from '../../src/scheduler/dependencymessages.js';
import {
  KEYS,
  readLeaseHolder,
  readMachineRecord,
  readStandbyRecord,
  readTeamAssignment,
  writeLeaseHolder,
  writeStandbyRecord,
} from '../../src/schema/schema.js';
import {
  readHandoverMessage,
  readReplicationMessage,
  readReplicationResponse,
  writeHandoverMessage,
  writeReplicationMessage,
  writeReplicationResponse,
} from '../../src/standby/messages.js';
import { writeReplicationRecord } from '../../src/standby/replicationrecord.js';
import { ShardReplica } from '../../src/standby/shardreplica.js';
import { StateStore } from '../../src/state/statestore.js';
import * as cloud from '../../src/wire/cloud.js';
import * as state from '../../src/wire/state.js';
import * as users from '../../src/wire/users.js';
import * as workers from '../../src/wire/workers.js';
import { FakeClock } from '../support/clock.js';
import { FAMILIES, fullSpec, type Produced, STREAM } from '../support/produced.js';

function fixture<T>(name: string): T {
  return JSON.parse(readFileSync(`tests/fixtures/compatibility/${name}.json`, 'utf8')) as T;
}

for (const [family, produce] of Object.entries(FAMILIES)) {
  test(`${family}: the code writes what it wrote before, byte for byte`, async () => {
    const produced = await produce();
    const expected = fixture<Produced>(family);
    assert.deepEqual(Object.keys(produced), Object.keys(expected));
    for (const [name, text] of Object.entries(expected)) assert.equal(produced[name], text, name);
  });
}

// --- captured examples, read and written again

type Examples = Record<string, string[]>;
type Rewrite = (value: never) => unknown;

/** Reads a value that must be readable. */
function read<T>(value: T | null | string): T {
  assert.ok(value !== null && typeof value !== 'string', `not readable: ${value}`);
  return value as T;
}

/** What was read must have every member of what was written, and no other. */
function unchanged<T>(reader: (value: unknown) => T | null): Rewrite {
  return (value: unknown) => {
    assert.deepEqual(reader(value), value);
    return value;
  };
}

const viewed = (body: unknown) => read(users.readStatus(body));
const answered = (body: unknown) => users.writeAccepted(viewed(body).id, viewed(body).status);
const reported = (body: unknown) => workers.writeHeartbeat(read(workers.readHeartbeat(body)));
const leased = (body: unknown) => state.writeLease(read<number>(state.readLease(body)));
const settled = (body: unknown) => {
  const { revision, failed } = read(state.readTxn(body));
  return state.writeTxnAnswer(revision, failed.length > 0 ? failed : null);
};

/** Messages over HTTP with a reader and a writer in the code. */
const HTTP: Record<string, Rewrite> = {
  'POST /api/jobs request': (body) => users.writeJob(read(users.readJob(body))),
  'POST /api/jobs 200': answered,
  'POST /api/jobs 201': answered,
  'POST /api/jobs/ID/abort 200': answered,
  'GET /api/jobs 200': (body) => {
    const { jobs, more } = read(users.readJobList(body));
    return users.writeJobList(jobs, more);
  },
  'GET /api/jobs/ID 200': (body) => {
    const { id, status, done, running } = viewed(body);
    return users.writeStatus(id, status, done, running);
  },
  'GET /healthz 200': (body) => users.writeHealth(read<number>(users.readHealth(body))),
  'POST /v1/report request': reported,
  'GET /show 200': reported,
  'POST /do 200': reported,
  'POST /v1/report 200': (body) => {
    const { token, orders } = read(workers.readCommands(body));
    return workers.writeHeartbeatResponse(token!, orders);
  },
  'POST /do request': (body) => {
    const { token, session, orders } = read(workers.readCommands(body));
    return workers.writeCommands(token!, session!, orders);
  },
  'POST /v1/report 421': (body) => workers.writeRedirect(workers.readRedirect(body)),
  'GET /flavors 200': (body) => cloud.writeTypes(read(cloud.readTypes(body))),
  'GET /machines?most 200': (body) => {
    const { machines, more } = read(cloud.readList(body));
    return cloud.writeList(machines, more);
  },
  'POST /machines request': (body) => {
    const { request, type, zone, spot, count } = read(cloud.readRental(body));
    return cloud.writeRental(request, type, zone, spot, count);
  },
  'POST /machines 200': (body) => ({ workers: read(cloud.readRented(body)) }),
  'POST /machines/release request': (body) => cloud.writeRelease(read(cloud.readRelease(body))),
  'POST /txn request': (body) => {
    const { when, writes } = read(state.readTxnRequest(body));
    return state.writeTxn(when, writes);
  },
  'POST /txn 200': settled,
  'POST /txn 409': settled,
  'POST /leases request': (body) => state.writeLeaseRequest(read<number>(state.readLeaseRequest(body))),
  'POST /leases 200': leased,
  'POST /leases/N/touch 200': leased,
  'DELETE /leases/N 200': leased,
  'GET /keys/KEY 200': (body: { permit?: number }) =>
    state.writeEntry(read(state.readEntry(body)), body.permit ?? null),
  'GET /keys?under&most 200': (body) => {
    const { entries, more, revision } = read(state.readEntries(body));
    return state.writeEntries(entries, more, revision);
  },
  'GET /watch?under&since&waitMs 200': (body) => {
    const { changes, revision } = read(state.readChanges(body));
    return state.writeChanges(changes, revision);
  },
};

/** What has no reader in the code: queries, empty bodies, errors, and what only the client of submit files casts. */
const HTTP_PLAIN =
  / query$| headers$| [45]\d\d$|^(GET|POST) \/condor\/|^POST \/leases\/N\/touch request$|^POST \/machines\/release 200$/;

/** Every example is rewritten as it was; each kind has a rewriter or is known to have none. */
function assertRewritten(examples: Examples, rewriters: Record<string, Rewrite>, plain: RegExp): void {
  for (const kind of Object.keys(rewriters)) assert.ok(examples[kind], `no fixture for ${kind}`);
  for (const [kind, texts] of Object.entries(examples)) {
    const rewrite = rewriters[kind];
    assert.ok(rewrite || plain.test(kind), `nothing reads ${kind}`);
    assert.ok(texts.length > 0, kind);
    for (const text of texts)
      if (rewrite) assert.equal(JSON.stringify(rewrite(JSON.parse(text) as never)), text, kind);
  }
}

test('captured HTTP messages are read and written again as they were', () => {
  assertRewritten(fixture('http-examples'), HTTP, HTTP_PLAIN);
});

const ENTRY = { key: 'k', version: 3 };

/** The assignment of teams, with the record at one of its keys. */
function assignment(key: string): Rewrite {
  return (value: unknown) => {
    const entries = new Map([
      [KEYS.teams, { value: {} }],
      [key, { value }],
    ]);
    return readTeamAssignment(entries);
  };
}

const chunk = (name: string) => (value: unknown) => {
  const { from, bits } = read(readChunk(name, { ...ENTRY, value }));
  return from === null ? { done: bits } : { from, bits };
};

/** A holder has names of its own inside: what is read is written again in those of storage. */
const holderAsStored: Rewrite = (value: unknown) => writeLeaseHolder(read(readLeaseHolder(value)));

/** Stored records that the code reads on their own. */
const STORED: Record<string, Rewrite> = {
  'c/lead': holderAsStored,
  'c/condor': holderAsStored,
  'c/own/SHARD': holderAsStored,
  'c/node/NAME': holderAsStored,
  'c/m/ID': unchanged(readMachineRecord),
  'c/stand/SHARD': (value: unknown) => writeStandbyRecord(read(readStandbyRecord(value))),
  'c/teams': assignment(KEYS.teams),
  'c/teams/N': assignment(KEYS.moreTeams(1)),
  'c/types': (value: cloud.MachineType[]) => {
    const catalog = new MachineTypeCatalog(new NameTables());
    catalog.set(value);
    return catalog.all().map(([, type]) => type);
  },
  'job/ID': unchanged(readJobEntry),
  'act/ID/N': chunk('0'),
  'act/ID/atN': chunk('at0'),
};
/** Read together with others (below), by a cluster as a whole (`c/mail`), or plain numbers. */
const STORED_PLAIN = /^act\/ID$|^part\/|^condor\/|^c\/mail\/|^c\/speaks\//;

test('captured stored records are read and written again as they were', () => {
  const examples = fixture<Examples>('stored-examples');
  assert.deepEqual(Object.keys(examples), Object.keys(fixture<object>('stored-shapes')));
  assertRewritten(examples, STORED, STORED_PLAIN);
});

test('captured jobs are loaded with all that was stored of them', async () => {
  const description = Buffer.from(JSON.stringify(fullSpec()));
  const parts = [description.subarray(0, 100), description.subarray(100)];
  const list = async (under: string) => {
    const values = parts.map((part) => part.toString('base64'));
    return { entries: values.map((value, n) => ({ key: `${under}${n}`, value, version: 3 })), revision: 3 };
  };
  assert.deepEqual(await readParts({ list }, KEYS.specParts('wk-1', 'tag'), 2), fullSpec());
  let parted = 0;
  for (const text of fixture<Examples>('stored-examples')['act/ID']!) {
    const value = JSON.parse(text);
    const count = value.parts;
    if (count !== undefined) value.parts = parts.length;
    const loaded = read(await readLoaded({ list }, 'wk-1', { ...ENTRY, value }));
    assert.equal(shardOfRecord(value), value.shard);
    const { accepted, deadline, spec: whole } = loaded.record;
    assert.deepEqual([accepted, deadline, whole], [value.accepted, value.deadline, value.spec ?? fullSpec()]);
    if (count === undefined) assert.equal(JSON.stringify(readSpec(value.spec)), JSON.stringify(value.spec));
    else parted++;
  }
  assert.ok(parted > 0, 'one is stored in parts');
});

test('captured clusters of submit files are read with all that was stored of them', async () => {
  const examples = fixture<Examples>('stored-examples');
  const clock = new FakeClock();
  const service = new StateService(clock);
  const request = async (_address: string, method: string, path: string, body: object | null) => ({
    ...(await service.serve(method, path, body)),
    headers: new Map(),
  });
  const store = new StateStore(clock, { request }, 'state:1', { rps: 6000, writeRps: 6000, nodes: 1 });
  const records = new ClusterRecords(store, { valueKb: 8, txnOps: 16 });
  const kinds = { 'condor/c/00000001': 'condor/c/N', 'condor/over/00000002': 'condor/over/N' };
  for (const [key, kind] of Object.entries(kinds)) {
    for (const text of examples[kind]!) {
      await store.compareAndSwap([], [{ put: key, value: JSON.parse(text) }]);
      const [loaded] = await records.all(kind === 'condor/over/N');
      assert.equal(JSON.stringify(loaded!.record), text);
    }
  }
  for (const text of examples['condor/x/N/N']!) {
    await store.compareAndSwap([], [{ put: 'condor/x/00000001/00000000', value: JSON.parse(text) }]);
    const { exceptions } = await records.exceptions(1);
    assert.equal(JSON.stringify(Object.fromEntries(exceptions)), text);
  }
  const [part] = examples['condor/p/ID/N']!;
  await store.compareAndSwap([], [{ put: 'condor/p/sub-1/00000000', value: JSON.parse(part!) }]);
  const record = JSON.parse(examples['condor/c/N']![0]!);
  const submission = await records.submission({ ...record, submission: 'sub-1', parts: 1 });
  assert.deepEqual(Object.keys(submission), ['text', 'rows', 'user', 'at']);
  assert.match(submission.text, /^executable = run\.sh\n/);
});

// --- messages between controllers

const member = (name: string, rewrite: (value: never) => unknown) => (value: Record<string, unknown>) => ({
  ...value,
  [name]: rewrite(value[name] as never),
});
const specIn = member('spec', unchanged(readSpec));

/** What the code reads of the messages between controllers. */
const PEERS: Record<string, Rewrite> = {
  'gossip told': (value: unknown) => writeShardStatus(read(readShardStatus(value))),
  'cede asked': member('need', unchanged(readResourceDemand)),
  'owns told': member('holder', holderAsStored),
  'needed asked': member('claims', unchanged(readDependentClaims)),
  'needed answered': unchanged(readDependencyStatuses),
  'submit asked': specIn,
  'submitAfter asked': specIn,
  'changes asked': unchanged(readChangesRequest),
  'changes answered': unchanged(readChangesResponse),
  'changesHead answered': unchanged(readLatestRevisionResponse),
  'stand asked': (value: unknown) => writeReplicationMessage(read(readReplicationMessage(value))),
  'stand answered': (value: unknown) => writeReplicationResponse(read(readReplicationResponse(value))),
  'assume asked': (value: unknown) => writeHandoverMessage(read(readHandoverMessage(value))),
};
/** Members that are taken one by one where they are read, and answers of which only the type counts. */
const PEERS_PLAIN =
  /^(assume|cancel|cede|condor|give|list|status|submit|submitAfter|vacate|rates) answered$|^(cancel|changesHead|condor|give|list|rates|status|vacate) asked$|^(over|sent|stray) told$/;

function decoded(hex: string): PeerMessage {
  const [message, ...more] = [...new FrameReader().feed(Buffer.from(hex, 'hex'))];
  assert.equal(more.length, 0);
  return message!;
}

test('captured messages between controllers are read and written again byte for byte', () => {
  const frames = fixture<Examples>('peers-examples');
  assert.deepEqual(Object.keys(frames), Object.keys(fixture<object>('peers-shapes')));
  const texts: Examples = {};
  for (const [kind, list] of Object.entries(frames)) {
    texts[kind] = list.map((hex) => {
      const message = decoded(hex);
      assert.equal(encodeFrame(message).toString('hex'), hex, kind);
      if ('op' in message) assert.equal(message.op, kind.split(' ')[0]);
      return JSON.stringify('a' in message ? message.a : null);
    });
  }
  assertRewritten(texts, PEERS, PEERS_PLAIN);
});

test('frames that the code makes of owners and standbys are read with all their members', () => {
  const frames = fixture<Produced>('owners-frames');
  const asked = (op: string) => (decoded(frames[`${op} to n1`]!) as { a: Record<string, unknown> }).a;
  assert.deepEqual(readResourceDemand(asked('cede').need), asked('cede').need);
  assert.equal(readDependentClaims(asked('needed').claims).length, 1);
  for (const op of ['submit', 'submitAfter']) assert.deepEqual(readSpec(asked(op).spec), fullSpec());
  const stand = decoded(fixture<Produced>('standby-frames').stand!) as { a: { records: unknown[] } };
  const message = read(readReplicationMessage(stand.a));
  assert.deepEqual(writeReplicationMessage(message), stand.a);
  const kinds = new Set(message.records.map((record) => record.kind));
  assert.deepEqual([...kinds].sort(), Object.keys(STREAM).sort(), 'every kind of record is in the stream');
  const tags = new Set(stand.a.records.map((record) => (record as { t: string }).t));
  const written = Object.values(STREAM).map((record) => writeReplicationRecord(record).t);
  assert.deepEqual([...tags].sort(), written.sort(), 'every kind of record is sent by a tag of its own');
});

test('a standby takes the recorded stream as versions before this one sent it', () => {
  const batch = JSON.parse(fixture<Produced>('standby-frames').batch!);
  const sender = { shard: 1, term: 9, revision: 11, run: 'n1-7', changes: 5 };
  const { from, records } = read(readReplicationMessage({ ...sender, ...batch }));
  const copy = new ShardReplica();
  copy.applyBatch(from, records);
  assert.ok(copy.inSync);
  assert.equal(copy.machinesOf('wk-2'), null);
  assert.equal(copy.runningSince('wk-1/3', 7), 1_700_000_000_000);
  assert.deepEqual(copy.machine('m-1'), { incarnation: 2, images: [{ image: 'img', gb: 1.5 }] });
  assert.deepEqual([...copy.classes()], [['train', { log: 0.25, count: 3 }]]);
  const only = records.filter((r) => ['snapshotBegin', 'quarantined', 'inSync'].includes(r.kind));
  const suspecting = new ShardReplica();
  suspecting.applyBatch(0, only);
  assert.deepEqual(suspecting.quarantine('wk-1'), { failures: 2, until: 1_700_000_001_000 });
});

// --- settings

interface SettingsFixture {
  toml: string;
  parsed: object;
  /** Without all that may be left out. */
  least: { toml: string; parsed: object };
  wrong: Record<string, string>;
  missing: Record<string, string>;
  /** Values of the right type that are refused. */
  refused: [path: string, value: unknown, said: string][];
}

/** Settings by the names of the file; one that is missing here does not compile. */
function byFileNames(s: Settings): object {
  const where = (endpoint: Settings['listen']) => `${endpoint.host}:${endpoint.port}`;
  const named: { [F in keyof Settings]: [name: string, value: unknown] } = {
    node: ['node', s.node],
    zone: ['zone', s.zone],
    listen: ['bind', where(s.listen)],
    peerListen: ['peer_bind', where(s.peerListen)],
    peers: ['seeds', s.peers.map((p) => ({ node: p.node, zone: p.zone, endpoint: p.addr }))],
    cloud: ['external.cloud', s.cloud],
    state: ['external.state', s.state],
    nodes: ['initial_size', s.nodes],
    zones: ['zones', s.zones],
    regions: ['regions', s.regions],
    skewMs: ['skew_ms', s.skewMs],
    teams: [
      'teams',
      s.teams.map((t) => ({
        name: t.name,
        cpus: t.cpus,
        cpus_max: t.cpusMax,
        gpus: t.gpus,
        gpus_max: t.gpusMax,
      })),
    ],
    objectives: [
      'objectives',
      s.objectives.map((o) => ({ kind: o.kind, class: o.class, within_s: o.withinS, share: o.share })),
    ],
    workers: [
      'workers',
      {
        report_s: s.workers.reportS,
        lease_s: s.workers.leaseS,
        gang_wait_s: s.workers.gangWaitS,
        gang_peer_s: s.workers.gangPeerS,
        cancel_s: s.workers.cancelS,
      },
    ],
    stateLimits: [
      'state, the least of now and next',
      {
        rps: s.stateLimits.rps,
        write_rps: s.stateLimits.writeRps,
        value_kb: s.stateLimits.valueKb,
        txn_ops: s.stateLimits.txnOps,
      },
    ],
    layoutKb: ['state.value_kb', s.layoutKb],
    cloudLimits: ['cloud', { rps: s.cloudLimits.rps, list_lag_s: s.cloudLimits.listLagS }],
    limits: [
      'limits',
      { cores: s.limits.cores, memory_mb: s.limits.memoryMb, max_sockets: s.limits.maxSockets },
    ],
  };
  return Object.fromEntries(Object.values(named));
}

/** Paths of all values of a settings file, as in `params.teams.0.cpus`. */
function valuePaths(value: unknown, path = ''): string[] {
  if (typeof value !== 'object' || value === null) return [path];
  const inside = Object.entries(value).flatMap(([name, v]) =>
    valuePaths(v, path === '' ? name : `${path}.${name}`),
  );
  return path === '' ? inside : [path, ...inside];
}

/** What is said of a file in which one value is something else, or is not there. */
function saidOf(toml: string, path: string, value: unknown): string {
  const file = parse(toml) as Record<string, unknown>;
  const names = path.split('.');
  const last = names.pop()!;
  let at = file;
  for (const name of names) at = at[name] as Record<string, unknown>;
  if (value === undefined) delete at[last];
  else at[last] = value;
  try {
    parseSettings(stringify(file));
    return 'accepted';
  } catch (error) {
    assert.ok(error instanceof SettingsError, `${path}: ${error}`);
    return error.message;
  }
}

test('a settings file with every field, and one with the fewest, is read as before', () => {
  const { toml, parsed, least } = fixture<SettingsFixture>('settings');
  assert.equal(JSON.stringify(byFileNames(parseSettings(toml))), JSON.stringify(parsed));
  assert.equal(JSON.stringify(byFileNames(parseSettings(least.toml))), JSON.stringify(least.parsed));
});

test('a bad or missing value of the settings is refused in the words of before, by the name of the field', () => {
  const { toml, wrong, missing, refused } = fixture<SettingsFixture>('settings');
  const paths = valuePaths(parse(toml));
  assert.deepEqual(Object.keys(wrong), paths);
  for (const path of paths) {
    const said = saidOf(toml, path, true);
    assert.equal(said, wrong[path]);
    assert.ok(said.startsWith(`${path}: `), said);
  }
  const members = paths.filter((path) => !/\.\d+$/.test(path));
  assert.deepEqual(Object.keys(missing), members);
  for (const path of members) assert.equal(saidOf(toml, path, undefined), missing[path], path);
  for (const [path, value, said] of refused) assert.equal(saidOf(toml, path, value), said, path);
});
