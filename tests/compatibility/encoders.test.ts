/**
 * Checks byte for byte what the code writes, and that it reads what earlier versions wrote. The fixtures were
 * written by the code of version 0.2.0, and no test changes them. The fixture of a new message or record is added
 * by hand, from the output of the failing test.
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
import { ENCODERS, type EncodedTexts, fullSpec, REPLICATION_RECORDS } from '../support/produced.js';

function fixture<T>(name: string): T {
  return JSON.parse(readFileSync(`tests/fixtures/compatibility/${name}.json`, 'utf8')) as T;
}

for (const [family, produce] of Object.entries(ENCODERS)) {
  test(`${family}: encodes the same bytes as version 0.2.0`, async () => {
    const produced = await produce();
    const expected = fixture<EncodedTexts>(family);
    assert.deepEqual(Object.keys(produced), Object.keys(expected));
    for (const [name, text] of Object.entries(expected)) assert.equal(produced[name], text, name);
  });
}

// --- captured examples, decoded and encoded again

type Examples = Record<string, string[]>;
type Rewrite = (value: never) => unknown;

/** Returns the decoded value; fails if decoding returned null or an error message. */
function assertReadable<T>(value: T | null | string): T {
  assert.ok(value !== null && typeof value !== 'string', `cannot be decoded: ${value}`);
  return value as T;
}

/** Checks that the decoded value has exactly the members of the encoded one. */
function readsEveryMember<T>(reader: (value: unknown) => T | null): Rewrite {
  return (value: unknown) => {
    assert.deepEqual(reader(value), value);
    return value;
  };
}

const readStatusView = (body: unknown) => assertReadable(users.readStatus(body));
const rewriteAcceptance = (body: unknown) =>
  users.writeAccepted(readStatusView(body).id, readStatusView(body).status);
const rewriteHeartbeat = (body: unknown) =>
  workers.writeHeartbeat(assertReadable(workers.readHeartbeat(body)));
const rewriteLease = (body: unknown) => state.writeLease(assertReadable<number>(state.readLease(body)));
const rewriteTxnAnswer = (body: unknown) => {
  const { revision, failed } = assertReadable(state.readTxn(body));
  return state.writeTxnAnswer(revision, failed.length > 0 ? failed : null);
};

/** HTTP messages for which the code has a reader and a writer. */
const HTTP_REWRITERS: Record<string, Rewrite> = {
  'POST /api/jobs request': (body) => users.writeJob(assertReadable(users.readJob(body))),
  'POST /api/jobs 200': rewriteAcceptance,
  'POST /api/jobs 201': rewriteAcceptance,
  'POST /api/jobs/ID/abort 200': rewriteAcceptance,
  'GET /api/jobs 200': (body) => {
    const { jobs, more } = assertReadable(users.readJobList(body));
    return users.writeJobList(jobs, more);
  },
  'GET /api/jobs/ID 200': (body) => {
    const { id, status, done, running } = readStatusView(body);
    return users.writeStatus(id, status, done, running);
  },
  'GET /healthz 200': (body) => users.writeHealth(assertReadable<number>(users.readHealth(body))),
  'POST /v1/report request': rewriteHeartbeat,
  'GET /show 200': rewriteHeartbeat,
  'POST /do 200': rewriteHeartbeat,
  'POST /v1/report 200': (body) => {
    const { token, commands } = assertReadable(workers.readCommands(body));
    return workers.writeHeartbeatResponse(token!, commands);
  },
  'POST /do request': (body) => {
    const { token, incarnation, commands } = assertReadable(workers.readCommands(body));
    return workers.writeCommands(token!, incarnation!, commands);
  },
  'POST /v1/report 421': (body) => workers.writeRedirect(workers.readRedirect(body)),
  'GET /flavors 200': (body) => cloud.writeTypes(assertReadable(cloud.readTypes(body))),
  'GET /machines?most 200': (body) => {
    const { machines, more } = assertReadable(cloud.readList(body));
    return cloud.writeList(machines, more);
  },
  'POST /machines request': (body) => {
    const { request, type, zone, spot, count } = assertReadable(cloud.readRental(body));
    return cloud.writeRental(request, type, zone, spot, count);
  },
  'POST /machines 200': (body) => ({ workers: assertReadable(cloud.readRented(body)) }),
  'POST /machines/release request': (body) => cloud.writeRelease(assertReadable(cloud.readRelease(body))),
  'POST /txn request': (body) => {
    const { when, writes } = assertReadable(state.readTxnRequest(body));
    return state.writeTxn(when, writes);
  },
  'POST /txn 200': rewriteTxnAnswer,
  'POST /txn 409': rewriteTxnAnswer,
  'POST /leases request': (body) =>
    state.writeLeaseRequest(assertReadable<number>(state.readLeaseRequest(body))),
  'POST /leases 200': rewriteLease,
  'POST /leases/N/touch 200': rewriteLease,
  'DELETE /leases/N 200': rewriteLease,
  'GET /keys/KEY 200': (body: { permit?: number }) =>
    state.writeEntry(assertReadable(state.readEntry(body)), body.permit ?? null),
  'GET /keys?under&most 200': (body) => {
    const { entries, more, revision } = assertReadable(state.readEntries(body));
    return state.writeEntries(entries, more, revision);
  },
  'GET /watch?under&since&waitMs 200': (body) => {
    const { changes, revision } = assertReadable(state.readChanges(body));
    return state.writeChanges(changes, revision);
  },
};

/**
 * HTTP messages without a reader: queries, headers, empty bodies, errors, and those that the submit-file client
 * only casts.
 */
const HTTP_WITHOUT_READER =
  / query$| headers$| [45]\d\d$|^(GET|POST) \/condor\/|^POST \/leases\/N\/touch request$|^POST \/machines\/release 200$/;

/** Checks that every example is encoded again unchanged; each kind must have a rewriter or match `withoutReader`. */
function assertRewritten(
  examples: Examples,
  rewriters: Record<string, Rewrite>,
  withoutReader: RegExp,
): void {
  for (const kind of Object.keys(rewriters)) assert.ok(examples[kind], `no fixture for ${kind}`);
  for (const [kind, texts] of Object.entries(examples)) {
    const rewrite = rewriters[kind];
    assert.ok(rewrite || withoutReader.test(kind), `no reader for ${kind}`);
    assert.ok(texts.length > 0, kind);
    for (const text of texts)
      if (rewrite) assert.equal(JSON.stringify(rewrite(JSON.parse(text) as never)), text, kind);
  }
}

test('captured HTTP messages are decoded and encoded again unchanged', () => {
  assertRewritten(fixture('http-examples'), HTTP_REWRITERS, HTTP_WITHOUT_READER);
});

const ENTRY = { key: 'k', version: 3 };

/** Returns a rewriter that reads a record as the team assignment stored at `key`. */
function rewriteAssignment(key: string): Rewrite {
  return (value: unknown) => {
    const entries = new Map([
      [KEYS.teams, { value: {} }],
      [key, { value }],
    ]);
    return readTeamAssignment(entries);
  };
}

const rewriteChunk = (name: string) => (value: unknown) => {
  const { from, bits } = assertReadable(readChunk(name, { ...ENTRY, value }));
  return from === null ? { done: bits } : { from, bits };
};

/** Rewrites a lease holder, whose members have other names in the code than in storage. */
const rewriteHolder: Rewrite = (value: unknown) => writeLeaseHolder(assertReadable(readLeaseHolder(value)));

/** Stored records that the code reads individually. */
const STORED_REWRITERS: Record<string, Rewrite> = {
  'c/lead': rewriteHolder,
  'c/condor': rewriteHolder,
  'c/own/SHARD': rewriteHolder,
  'c/node/NAME': rewriteHolder,
  'c/m/ID': readsEveryMember(readMachineRecord),
  'c/stand/SHARD': (value: unknown) => writeStandbyRecord(assertReadable(readStandbyRecord(value))),
  'c/teams': rewriteAssignment(KEYS.teams),
  'c/teams/N': rewriteAssignment(KEYS.moreTeams(1)),
  'c/types': (value: cloud.MachineType[]) => {
    const catalog = new MachineTypeCatalog(new NameTables());
    catalog.set(value);
    return catalog.offeredTypes().map(([, type]) => type);
  },
  'job/ID': readsEveryMember(readJobEntry),
  'act/ID/N': rewriteChunk('0'),
  'act/ID/atN': rewriteChunk('at0'),
};
/** Records that are read together with others (tests below) or by a whole cluster (`c/mail`), and plain numbers. */
const STORED_WITHOUT_READER = /^act\/ID$|^part\/|^condor\/|^c\/mail\/|^c\/speaks\//;

test('captured stored records are decoded and encoded again unchanged', () => {
  const examples = fixture<Examples>('stored-examples');
  assert.deepEqual(Object.keys(examples), Object.keys(fixture<object>('stored-shapes')));
  assertRewritten(examples, STORED_REWRITERS, STORED_WITHOUT_READER);
});

test('captured jobs are loaded with all their stored members', async () => {
  const description = Buffer.from(JSON.stringify(fullSpec()));
  const parts = [description.subarray(0, 100), description.subarray(100)];
  const list = async (under: string) => {
    const values = parts.map((part) => part.toString('base64'));
    return { entries: values.map((value, n) => ({ key: `${under}${n}`, value, version: 3 })), revision: 3 };
  };
  assert.deepEqual(await readParts({ list }, KEYS.specParts('wk-1', 'tag'), 2), fullSpec());
  let splitCount = 0;
  for (const text of fixture<Examples>('stored-examples')['act/ID']!) {
    const value = JSON.parse(text);
    const count = value.parts;
    if (count !== undefined) value.parts = parts.length;
    const loaded = assertReadable(await readLoaded({ list }, 'wk-1', { ...ENTRY, value }));
    assert.equal(shardOfRecord(value), value.shard);
    const { accepted, deadline, spec: whole } = loaded.record;
    assert.deepEqual([accepted, deadline, whole], [value.accepted, value.deadline, value.spec ?? fullSpec()]);
    if (count === undefined) assert.equal(JSON.stringify(readSpec(value.spec)), JSON.stringify(value.spec));
    else splitCount++;
  }
  assert.ok(splitCount > 0, 'at least one job is stored in parts');
});

test('captured clusters of submit files are loaded with all their stored members', async () => {
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
      const [loaded] = await records.listClusters(kind === 'condor/over/N');
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

const rewriteMember =
  (name: string, rewrite: (value: never) => unknown) => (value: Record<string, unknown>) => ({
    ...value,
    [name]: rewrite(value[name] as never),
  });
const checkSpec = rewriteMember('spec', readsEveryMember(readSpec));

/** Messages between controllers for which the code has a reader. */
const PEER_REWRITERS: Record<string, Rewrite> = {
  'gossip told': (value: unknown) => writeShardStatus(assertReadable(readShardStatus(value))),
  'cede asked': rewriteMember('need', readsEveryMember(readResourceDemand)),
  'owns told': rewriteMember('holder', rewriteHolder),
  'needed asked': rewriteMember('claims', readsEveryMember(readDependentClaims)),
  'needed answered': readsEveryMember(readDependencyStatuses),
  'submit asked': checkSpec,
  'submitAfter asked': checkSpec,
  'changes asked': readsEveryMember(readChangesRequest),
  'changes answered': readsEveryMember(readChangesResponse),
  'changesHead answered': readsEveryMember(readLatestRevisionResponse),
  'stand asked': (value: unknown) => writeReplicationMessage(assertReadable(readReplicationMessage(value))),
  'stand answered': (value: unknown) =>
    writeReplicationResponse(assertReadable(readReplicationResponse(value))),
  'assume asked': (value: unknown) => writeHandoverMessage(assertReadable(readHandoverMessage(value))),
};
/** Messages whose members are read one by one where they are used, and answers of which only the type is checked. */
const PEERS_WITHOUT_READER =
  /^(assume|cancel|cede|condor|give|list|status|submit|submitAfter|vacate|rates) answered$|^(cancel|changesHead|condor|give|list|rates|status|vacate) asked$|^(over|sent|stray) told$/;

function decodeSingleFrame(hex: string): PeerMessage {
  const [message, ...extra] = [...new FrameReader().feed(Buffer.from(hex, 'hex'))];
  assert.equal(extra.length, 0);
  return message!;
}

test('captured messages between controllers are decoded and encoded again byte for byte', () => {
  const frames = fixture<Examples>('peers-examples');
  assert.deepEqual(Object.keys(frames), Object.keys(fixture<object>('peers-shapes')));
  const texts: Examples = {};
  for (const [kind, list] of Object.entries(frames)) {
    texts[kind] = list.map((hex) => {
      const message = decodeSingleFrame(hex);
      assert.equal(encodeFrame(message).toString('hex'), hex, kind);
      if ('op' in message) assert.equal(message.op, kind.split(' ')[0]);
      return JSON.stringify('a' in message ? message.a : null);
    });
  }
  assertRewritten(texts, PEER_REWRITERS, PEERS_WITHOUT_READER);
});

test('frames that owners and standbys send are decoded with all their members', () => {
  const frames = fixture<EncodedTexts>('owners-frames');
  const asked = (op: string) =>
    (decodeSingleFrame(frames[`${op} to n1`]!) as { a: Record<string, unknown> }).a;
  assert.deepEqual(readResourceDemand(asked('cede').need), asked('cede').need);
  assert.equal(readDependentClaims(asked('needed').claims).length, 1);
  for (const op of ['submit', 'submitAfter']) assert.deepEqual(readSpec(asked(op).spec), fullSpec());
  const stand = decodeSingleFrame(fixture<EncodedTexts>('standby-frames').stand!) as {
    a: { records: unknown[] };
  };
  const message = assertReadable(readReplicationMessage(stand.a));
  assert.deepEqual(writeReplicationMessage(message), stand.a);
  const kinds = new Set(message.records.map((record) => record.kind));
  assert.deepEqual(
    [...kinds].sort(),
    Object.keys(REPLICATION_RECORDS).sort(),
    'every kind of record is in the stream',
  );
  const tags = new Set(stand.a.records.map((record) => (record as { t: string }).t));
  const written = Object.values(REPLICATION_RECORDS).map((record) => writeReplicationRecord(record).t);
  assert.deepEqual([...tags].sort(), written.sort(), 'every kind of record has a distinct tag');
});

test('a standby applies the replication stream that earlier versions sent', () => {
  const batch = JSON.parse(fixture<EncodedTexts>('standby-frames').batch!);
  const sender = { shard: 1, term: 9, revision: 11, run: 'n1-7', changes: 5 };
  const { from, records } = assertReadable(readReplicationMessage({ ...sender, ...batch }));
  const replica = new ShardReplica();
  replica.applyBatch(from, records);
  assert.ok(replica.inSync);
  assert.equal(replica.machinesOf('wk-2'), null);
  assert.equal(replica.runningSince('wk-1/3', 7), 1_700_000_000_000);
  assert.deepEqual(replica.machine('m-1'), { incarnation: 2, images: [{ image: 'img', gb: 1.5 }] });
  assert.deepEqual([...replica.runtimeEstimates()], [['train', { log: 0.25, count: 3 }]]);
  const only = records.filter((r) => ['snapshotBegin', 'quarantined', 'inSync'].includes(r.kind));
  const quarantining = new ShardReplica();
  quarantining.applyBatch(0, only);
  assert.deepEqual(quarantining.quarantine('wk-1'), { failures: 2, until: 1_700_000_001_000 });
});

// --- settings

interface SettingsFixture {
  toml: string;
  parsed: object;
  /** A file without the optional fields. */
  least: { toml: string; parsed: object };
  wrong: Record<string, string>;
  missing: Record<string, string>;
  /** Values of the right type that are rejected, with the error message. */
  refused: [path: string, value: unknown, said: string][];
}

/** Maps settings to their names in the file; a missing one does not compile. */
function byFileNames(settings: Settings): object {
  const endpointText = (endpoint: Settings['listen']) => `${endpoint.host}:${endpoint.port}`;
  const named: { [F in keyof Settings]: [name: string, value: unknown] } = {
    node: ['node', settings.node],
    zone: ['zone', settings.zone],
    listen: ['bind', endpointText(settings.listen)],
    peerListen: ['peer_bind', endpointText(settings.peerListen)],
    peers: ['seeds', settings.peers.map((p) => ({ node: p.node, zone: p.zone, endpoint: p.addr }))],
    cloud: ['external.cloud', settings.cloud],
    state: ['external.state', settings.state],
    nodes: ['initial_size', settings.nodes],
    zones: ['zones', settings.zones],
    regions: ['regions', settings.regions],
    skewMs: ['skew_ms', settings.skewMs],
    teams: [
      'teams',
      settings.teams.map((t) => ({
        name: t.name,
        cpus: t.cpus,
        cpus_max: t.cpusMax,
        gpus: t.gpus,
        gpus_max: t.gpusMax,
      })),
    ],
    objectives: [
      'objectives',
      settings.objectives.map((o) => ({ kind: o.kind, class: o.class, within_s: o.withinS, share: o.share })),
    ],
    workers: [
      'workers',
      {
        report_s: settings.workers.reportS,
        lease_s: settings.workers.leaseS,
        gang_wait_s: settings.workers.gangWaitS,
        gang_peer_s: settings.workers.gangPeerS,
        cancel_s: settings.workers.cancelS,
      },
    ],
    stateLimits: [
      'state, the least of now and next',
      {
        rps: settings.stateLimits.rps,
        write_rps: settings.stateLimits.writeRps,
        value_kb: settings.stateLimits.valueKb,
        txn_ops: settings.stateLimits.txnOps,
      },
    ],
    layoutKb: ['state.value_kb', settings.layoutKb],
    cloudLimits: ['cloud', { rps: settings.cloudLimits.rps, list_lag_s: settings.cloudLimits.listLagS }],
    limits: [
      'limits',
      {
        cores: settings.limits.cores,
        memory_mb: settings.limits.memoryMb,
        max_sockets: settings.limits.maxSockets,
      },
    ],
  };
  return Object.fromEntries(Object.values(named));
}

/** Returns the paths of all values of a settings file, such as `params.teams.0.cpus`. */
function valuePaths(value: unknown, path = ''): string[] {
  if (typeof value !== 'object' || value === null) return [path];
  const nested = Object.entries(value).flatMap(([name, v]) =>
    valuePaths(v, path === '' ? name : `${path}.${name}`),
  );
  return path === '' ? nested : [path, ...nested];
}

/** Returns the error message for a settings file in which one value is replaced, or removed if undefined. */
function settingsError(toml: string, path: string, value: unknown): string {
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

test('settings files with all fields and with only the required ones are parsed as in version 0.2.0', () => {
  const { toml, parsed, least } = fixture<SettingsFixture>('settings');
  assert.equal(JSON.stringify(byFileNames(parseSettings(toml))), JSON.stringify(parsed));
  assert.equal(JSON.stringify(byFileNames(parseSettings(least.toml))), JSON.stringify(least.parsed));
});

test('an invalid or missing setting is rejected with the error message of version 0.2.0, which names the field', () => {
  const { toml, wrong, missing, refused } = fixture<SettingsFixture>('settings');
  const paths = valuePaths(parse(toml));
  assert.deepEqual(Object.keys(wrong), paths);
  for (const path of paths) {
    const message = settingsError(toml, path, true);
    assert.equal(message, wrong[path]);
    assert.ok(message.startsWith(`${path}: `), message);
  }
  const members = paths.filter((path) => !/\.\d+$/.test(path));
  assert.deepEqual(Object.keys(missing), members);
  for (const path of members) assert.equal(settingsError(toml, path, undefined), missing[path], path);
  for (const [path, value, message] of refused) assert.equal(settingsError(toml, path, value), message, path);
});
