import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { encodeFrame } from '../../src/peer/frames.js';
import { type Issued, type Issuer, issue, makeIssuer } from '../../src/tls/certs.js';
import { CredentialStore, type Credentials, loadCredentials, TlsError } from '../../src/tls/credentials.js';
import { LINK_LIMITS, WRONG_VERSION } from '../../src/tls/links.js';
import { PartnerAway, PartnerLink } from '../../src/tls/partnerlink.js';
import { PartnerServer } from '../../src/tls/partnerserver.js';
import { FakeClock } from '../support/clock.js';

// Good for as long as anybody runs these tests, so that the time of day plays no part.
const EVER = [new Date('1990-01-01'), new Date('2999-01-01')] as const;
const dir = mkdtempSync(join(tmpdir(), 'spartray-tls-'));
let ca: Issuer;
let other: Issuer;
let home: Issued;
let serial = 16;
before(async () => {
  ca = await makeIssuer('trials', ...EVER);
  other = await makeIssuer('others', ...EVER);
  home = await certFor('home');
});
after(() => rmSync(dir, { recursive: true, force: true }));

const certFor = (cluster: string, from: Issuer = ca, dates: readonly [Date, Date] = EVER) =>
  issue(from, cluster, (serial++).toString(16), dates[0], dates[1]);
const put = (name: string, text: string) => {
  const path = join(dir, name);
  writeFileSync(path, text);
  return path;
};
const files = (name: string, i: Issued, issuer = ca, revoked: string | null = null) => ({
  key: put(`${name}.key`, i.key),
  cert: put(`${name}.pem`, i.cert),
  ca: put(`${name}-ca.pem`, issuer.cert),
  revoked: revoked === null ? null : put(`${name}.revoked`, revoked),
});
const NOW = Date.parse('2026-01-01');
const load = (name: string, i: Issued, issuer = ca, revoked: string | null = null) =>
  loadCredentials(files(name, i, issuer, revoked), NOW);

/** Waits for sockets, whose events come when they come. */
async function until(what: () => boolean): Promise<void> {
  for (let i = 0; i < 2000 && !what(); i++) await new Promise((resolve) => setImmediate(resolve));
  for (let i = 0; i < 400 && !what(); i++) await new Promise((resolve) => setTimeout(resolve, 5));
  assert.ok(what());
}

async function server(c: Credentials, limits = LINK_LIMITS) {
  const clock = new FakeClock();
  const refused: string[] = [];
  const s = new PartnerServer(
    clock,
    c,
    new Set(['home', 'east']),
    {
      answer: async (partner, op, args) => {
        if (op === 'fail') throw new Error('a secret');
        return { partner, op, args };
      },
      refused: (why) => refused.push(why),
    },
    limits,
  );
  const port = await s.listen('127.0.0.1', 0);
  return { s, clock, refused, port };
}

const link = (c: Credentials, port: number, partner = 'away', clock = new FakeClock()) =>
  new PartnerLink(
    clock,
    () => c,
    partner,
    { host: '127.0.0.1', port },
    () => 0.5,
  );

test('partners ask each other over mutual TLS, and know who asks', async () => {
  const { s, port } = await server(load('away', await certFor('away')));
  const l = link(load('home', home), port);
  const answers = await Promise.all([1, 2, 3].map((n) => l.ask('offer', n, 5000)));
  assert.deepEqual(answers[2], { partner: 'home', op: 'offer', args: 3 });
  await assert.rejects(
    l.ask('fail', null, 5000),
    (e) => e instanceof PartnerAway && !/secret/.test(e.message),
  );
  l.close();
  s.close();
});

test('who is expired, of another name, issuer or on the list is refused, and the reason is known', async () => {
  const revoked = await certFor('east');
  const { s, port, refused } = await server(
    load('away', await certFor('away'), ca, `# withdrawn\n0${revoked.serial}\n`),
  );
  const old = [new Date('1990-01-01'), new Date('1991-01-01')] as const;
  const expired = await certFor('home', ca, old);
  const cases: [Credentials, RegExp][] = [
    [{ ...load('h', home), key: expired.key, cert: expired.cert }, /^expired$/],
    [load('strange', await certFor('strange')), /wrong name \(strange\)/],
    [{ ...load('o', await certFor('home', other), other), ca: ca.cert }, /unknown issuer/],
    [load('revoked', revoked), /^revoked$/],
  ];
  for (const [i, [c, why]] of cases.entries()) {
    const l = link(c, port);
    await assert.rejects(l.ask('offer', 1, 5000), PartnerAway);
    await until(() => refused.length === i + 1);
    assert.match(refused[i]!, why);
    l.close();
  }
  // And the other way round: a server that is not the partner it should be.
  const l = link(load('home', home), port, 'west');
  await assert.rejects(l.ask('offer', 1, 5000), PartnerAway);
  assert.equal(l.refused, 'wrong name (away)');
  s.close();
});

test('files are checked at the start, each mistake by its file', async () => {
  const good = await certFor('home');
  const is = (why: RegExp) => (e: unknown) => e instanceof TlsError && why.test(e.message);
  const f = files('x', good);
  assert.equal(loadCredentials(f, NOW).cluster, 'home');
  assert.throws(() => loadCredentials({ ...f, key: join(dir, 'none') }, NOW), is(/none/));
  assert.throws(() => loadCredentials({ ...f, key: put('y.key', home.key) }, NOW), is(/y\.key: not the key/));
  assert.throws(
    () => loadCredentials({ ...f, cert: put('y.pem', 'text') }, NOW),
    is(/y\.pem: not a certificate/),
  );
  assert.throws(() => loadCredentials({ ...f, ca: put('y-ca.pem', other.cert) }, NOW), is(/not issued by/));
  assert.throws(() => loadCredentials(f, Date.parse('3000-01-01')), is(/expired on/));
  const bare = await issue(ca, 'a b', '99', ...EVER).catch(() => null);
  if (bare) assert.throws(() => load('bare', bare), TlsError);
});

test('new files are used without a restart, bad ones are not, and an end that is near is told', async () => {
  const clock = new FakeClock();
  const told: string[] = [];
  const soon = new Date(clock.wall() + 3 * 86_400_000);
  const f = files('r', await certFor('away', ca, [EVER[0], soon]));
  const store = new CredentialStore(clock, f, {
    changed: (c) => told.push(`changed ${c.expiresAt > clock.wall() + 1e10}`),
    failed: (why) => told.push(why.replace(dir, '')),
    ends: (left) => told.push(`ends in ${Math.round(left / 86_400_000)} days`),
  });
  assert.deepEqual(told.splice(0), ['ends in 3 days']);
  assert.ok(Math.abs(store.leftS - 3 * 86_400) < 2);
  const before = store.current;
  writeFileSync(f.cert, 'half a file');
  await clock.advance(6000);
  assert.match(told.splice(0).join(), /r\.pem: not a certificate/);
  assert.equal(store.current, before);
  const next = await certFor('away');
  writeFileSync(f.key, next.key);
  writeFileSync(f.cert, next.cert);
  await clock.advance(6000);
  assert.deepEqual(told.splice(0), ['changed true']);
  store.stop();

  const { s, port, refused } = await server(store.current);
  const l = link(load('home', home), port);
  await l.ask('offer', 1, 5000);
  s.renew({ ...store.current, revoked: new Set([home.serial.toUpperCase()]) });
  await until(() => refused.includes('revoked'));
  await assert.rejects(l.ask('offer', 2, 5000), PartnerAway);
  l.close();
  s.close();
});

// Guards against partners, or strangers, that would take every place: a thousand connections that never say who they are.
test('half-open handshakes and a thousand idle connections cost bounded places, and a partner still comes in', async () => {
  const { s, port, refused } = await server(load('away', await certFor('away')), {
    ...LINK_LIMITS,
    connections: 32,
  });
  const idle: net.Socket[] = [];
  for (let i = 0; i < 1000; i++) {
    const socket = net.connect({ host: '127.0.0.1', port });
    socket.on('error', () => socket.destroy());
    if (i % 2) socket.on('connect', () => socket.write(Buffer.from([22, 3, 1, 2, 0, 1])));
    idle.push(socket);
    if (i % 50 === 49) await until(() => s.open <= 33);
  }
  await until(() => refused.length > 900);
  assert.ok(s.open <= 33, `${s.open} open`);
  const l = link(load('home', home), port);
  assert.ok(await l.ask('offer', 1, 5000));
  l.close();
  for (const x of idle) x.destroy();
  s.close();
});

test('frames that are too long, a partner of another version and one that takes no answers are ended or told so', async () => {
  const { s, port, refused } = await server(load('away', await certFor('away')), {
    ...LINK_LIMITS,
    frameBytes: 4096,
  });
  const long = link(load('home', home), port);
  await assert.rejects(long.ask('offer', 'x'.repeat(10_000), 5000), PartnerAway);
  await until(() => refused.includes('not a frame'));
  const tls = await import('node:tls');
  const c = load('home', home);
  const raw = tls.connect({
    host: '127.0.0.1',
    port,
    key: c.key,
    cert: c.cert,
    ca: c.ca,
    rejectUnauthorized: false,
  });
  const said: Buffer[] = [];
  raw.on('data', (d) => said.push(d));
  raw.on('error', () => raw.destroy());
  raw.write(encodeFrame({ q: 1, op: 'offer', a: [99, null] }));
  await until(() => Buffer.concat(said).includes(WRONG_VERSION));
  raw.destroy();
  s.close();
});

test('a partner that fails three times in a row is left alone, longer each time, and not by all at once', async () => {
  const clock = new FakeClock();
  const closed = net.createServer();
  await new Promise<void>((resolve) => closed.listen(0, '127.0.0.1', resolve));
  const { port } = closed.address() as net.AddressInfo;
  await new Promise((resolve) => closed.close(resolve));
  const l = link(load('home', home), port, 'away', clock);
  const rests: number[] = [];
  for (let i = 0; i < 5; i++) {
    await assert.rejects(l.ask('offer', 1, 5000), PartnerAway);
    let rest = 0;
    for (; l.resting; rest += 100) await clock.advance(100);
    rests.push(rest);
  }
  assert.deepEqual(rests, [0, 0, 1000, 2000, 4000]);
});
