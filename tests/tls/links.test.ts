import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { encodeFrame } from '../../src/peer/frames.js';
import { type Issuer, issueCertificate, type KeyAndCertificate, makeIssuer } from '../../src/tls/certs.js';
import { CredentialStore, type Credentials, loadCredentials, TlsError } from '../../src/tls/credentials.js';
import { LINK_LIMITS, WRONG_VERSION } from '../../src/tls/links.js';
import { PartnerLink, PartnerUnavailableError } from '../../src/tls/partnerlink.js';
import { PartnerServer } from '../../src/tls/partnerserver.js';
import { FakeClock } from '../support/clock.js';

// A validity period that contains any date on which the tests run, so that they do not depend on the wall clock.
const ALWAYS_VALID = [new Date('1990-01-01'), new Date('2999-01-01')] as const;
const dir = mkdtempSync(join(tmpdir(), 'spartray-tls-'));
let ca: Issuer;
let untrustedCa: Issuer;
let home: KeyAndCertificate;
let serial = 16;
before(async () => {
  ca = await makeIssuer('trials', ...ALWAYS_VALID);
  untrustedCa = await makeIssuer('others', ...ALWAYS_VALID);
  home = await certFor('home');
});
after(() => rmSync(dir, { recursive: true, force: true }));

const certFor = (cluster: string, from: Issuer = ca, dates: readonly [Date, Date] = ALWAYS_VALID) =>
  issueCertificate(from, cluster, (serial++).toString(16), dates[0], dates[1]);
const writeTestFile = (name: string, text: string) => {
  const path = join(dir, name);
  writeFileSync(path, text);
  return path;
};
const writeCredentialFiles = (
  name: string,
  issued: KeyAndCertificate,
  issuer = ca,
  revoked: string | null = null,
) => ({
  key: writeTestFile(`${name}.key`, issued.key),
  cert: writeTestFile(`${name}.pem`, issued.cert),
  ca: writeTestFile(`${name}-ca.pem`, issuer.cert),
  revoked: revoked === null ? null : writeTestFile(`${name}.revoked`, revoked),
});
const NOW = Date.parse('2026-01-01');
const loadTestCredentials = (
  name: string,
  issued: KeyAndCertificate,
  issuer = ca,
  revoked: string | null = null,
) => loadCredentials(writeCredentialFiles(name, issued, issuer, revoked), NOW);

/** Polls until the condition holds: socket events arrive in real time, which the fake clock does not control. */
async function waitUntil(condition: () => boolean): Promise<void> {
  for (let i = 0; i < 2000 && !condition(); i++) await new Promise((resolve) => setImmediate(resolve));
  for (let i = 0; i < 400 && !condition(); i++) await new Promise((resolve) => setTimeout(resolve, 5));
  assert.ok(condition());
}

async function startServer(credentials: Credentials, limits = LINK_LIMITS) {
  const clock = new FakeClock();
  const rejections: string[] = [];
  const server = new PartnerServer(
    clock,
    credentials,
    new Set(['home', 'east']),
    {
      handleRequest: async (partner, op, args) => {
        if (op === 'fail') throw new Error('a secret');
        return { partner, op, args };
      },
      onRejected: (reason) => rejections.push(reason),
    },
    limits,
  );
  const port = await server.listen('127.0.0.1', 0);
  return { server, clock, rejections, port };
}

const createLink = (credentials: Credentials, port: number, partner = 'away', clock = new FakeClock()) =>
  new PartnerLink(
    clock,
    () => credentials,
    partner,
    { host: '127.0.0.1', port },
    () => 0.5,
  );

test('answers requests over mutual TLS and identifies the requesting partner', async () => {
  const { server, port } = await startServer(loadTestCredentials('away', await certFor('away')));
  const link = createLink(loadTestCredentials('home', home), port);
  const answers = await Promise.all([1, 2, 3].map((n) => link.request('offer', n, 5000)));
  assert.deepEqual(answers[2], { partner: 'home', op: 'offer', args: 3 });
  await assert.rejects(
    link.request('fail', null, 5000),
    (error) => error instanceof PartnerUnavailableError && !/secret/.test(error.message),
  );
  link.close();
  server.close();
});

test('rejects expired, misnamed, untrusted and revoked certificates, and reports the reason', async () => {
  const revoked = await certFor('east');
  const { server, port, rejections } = await startServer(
    loadTestCredentials('away', await certFor('away'), ca, `# withdrawn\n0${revoked.serial}\n`),
  );
  const expiredDates = [new Date('1990-01-01'), new Date('1991-01-01')] as const;
  const expired = await certFor('home', ca, expiredDates);
  const cases: [Credentials, RegExp][] = [
    [{ ...loadTestCredentials('h', home), key: expired.key, cert: expired.cert }, /^expired$/],
    [loadTestCredentials('strange', await certFor('strange')), /wrong name \(strange\)/],
    [
      { ...loadTestCredentials('o', await certFor('home', untrustedCa), untrustedCa), ca: ca.cert },
      /unknown issuer/,
    ],
    [loadTestCredentials('revoked', revoked), /^revoked$/],
  ];
  for (const [i, [credentials, reason]] of cases.entries()) {
    const link = createLink(credentials, port);
    await assert.rejects(link.request('offer', 1, 5000), PartnerUnavailableError);
    await waitUntil(() => rejections.length === i + 1);
    assert.match(rejections[i]!, reason);
    link.close();
  }
  // A client rejects a server whose certificate names a different cluster than the expected partner.
  const link = createLink(loadTestCredentials('home', home), port, 'west');
  await assert.rejects(link.request('offer', 1, 5000), PartnerUnavailableError);
  assert.equal(link.lastRejectionReason, 'wrong name (away)');
  server.close();
});

test('validates the credential files when they are loaded, and names the faulty file', async () => {
  const good = await certFor('home');
  const tlsError = (message: RegExp) => (error: unknown) =>
    error instanceof TlsError && message.test(error.message);
  const paths = writeCredentialFiles('x', good);
  assert.equal(loadCredentials(paths, NOW).cluster, 'home');
  assert.throws(() => loadCredentials({ ...paths, key: join(dir, 'none') }, NOW), tlsError(/none/));
  assert.throws(
    () => loadCredentials({ ...paths, key: writeTestFile('y.key', home.key) }, NOW),
    tlsError(/y\.key: not the key/),
  );
  assert.throws(
    () => loadCredentials({ ...paths, cert: writeTestFile('y.pem', 'text') }, NOW),
    tlsError(/y\.pem: not a certificate/),
  );
  assert.throws(
    () => loadCredentials({ ...paths, ca: writeTestFile('y-ca.pem', untrustedCa.cert) }, NOW),
    tlsError(/not issued by/),
  );
  assert.throws(() => loadCredentials(paths, Date.parse('3000-01-01')), tlsError(/expired on/));
  const invalidName = await issueCertificate(ca, 'a b', '99', ...ALWAYS_VALID).catch(() => null);
  if (invalidName) assert.throws(() => loadTestCredentials('bare', invalidName), TlsError);
});

test('reloads changed credentials without a restart, keeps the old ones if the new ones are invalid, and warns before expiry', async () => {
  const clock = new FakeClock();
  const events: string[] = [];
  const expiresSoon = new Date(clock.wall() + 3 * 86_400_000);
  const paths = writeCredentialFiles('r', await certFor('away', ca, [ALWAYS_VALID[0], expiresSoon]));
  const store = new CredentialStore(clock, paths, {
    onReloaded: (credentials) => events.push(`changed ${credentials.expiresAt > clock.wall() + 1e10}`),
    onReloadFailed: (reason) => events.push(reason.replace(dir, '')),
    onExpiryNear: (remainingMs) => events.push(`ends in ${Math.round(remainingMs / 86_400_000)} days`),
  });
  assert.deepEqual(events.splice(0), ['ends in 3 days']);
  assert.ok(Math.abs(store.remainingValidityS - 3 * 86_400) < 2);
  const before = store.current;
  writeFileSync(paths.cert, 'half a file');
  await clock.advance(6000);
  assert.match(events.splice(0).join(), /r\.pem: not a certificate/);
  assert.equal(store.current, before);
  const renewed = await certFor('away');
  writeFileSync(paths.key, renewed.key);
  writeFileSync(paths.cert, renewed.cert);
  await clock.advance(6000);
  assert.deepEqual(events.splice(0), ['changed true']);
  store.stop();

  const { server, port, rejections } = await startServer(store.current);
  const link = createLink(loadTestCredentials('home', home), port);
  await link.request('offer', 1, 5000);
  server.replaceCredentials({ ...store.current, revoked: new Set([home.serial.toUpperCase()]) });
  await waitUntil(() => rejections.includes('revoked'));
  await assert.rejects(link.request('offer', 2, 5000), PartnerUnavailableError);
  link.close();
  server.close();
});

// Guards against exhaustion of the connections by partners or strangers, with a thousand connections that never
// authenticate. Half of them send nothing, the other half only the beginning of a handshake.
test('limits half-open and idle connections, and still accepts a partner during a thousand of them', async () => {
  const { server, port, rejections } = await startServer(loadTestCredentials('away', await certFor('away')), {
    ...LINK_LIMITS,
    pendingHandshakes: 32,
  });
  const idleSockets: net.Socket[] = [];
  for (let i = 0; i < 1000; i++) {
    const socket = net.connect({ host: '127.0.0.1', port });
    socket.on('error', () => socket.destroy());
    if (i % 2) socket.on('connect', () => socket.write(Buffer.from([22, 3, 1, 2, 0, 1])));
    idleSockets.push(socket);
    if (i % 50 === 49) await waitUntil(() => server.openConnections <= 33);
  }
  await waitUntil(() => rejections.length > 900);
  assert.ok(server.openConnections <= 33, `${server.openConnections} connections open`);
  const link = createLink(loadTestCredentials('home', home), port);
  assert.ok(await link.request('offer', 1, 5000));
  link.close();
  for (const socket of idleSockets) socket.destroy();
  server.close();
});

test('closes a connection that sends an oversized frame, and answers another protocol version with an error', async () => {
  const { server, port, rejections } = await startServer(loadTestCredentials('away', await certFor('away')), {
    ...LINK_LIMITS,
    frameBytes: 4096,
  });
  const sender = createLink(loadTestCredentials('home', home), port);
  await assert.rejects(sender.request('offer', 'x'.repeat(10_000), 5000), PartnerUnavailableError);
  await waitUntil(() => rejections.includes('not a frame'));
  const tls = await import('node:tls');
  const credentials = loadTestCredentials('home', home);
  const rawSocket = tls.connect({
    host: '127.0.0.1',
    port,
    key: credentials.key,
    cert: credentials.cert,
    ca: credentials.ca,
    rejectUnauthorized: false,
  });
  const received: Buffer[] = [];
  rawSocket.on('data', (d) => received.push(d));
  rawSocket.on('error', () => rawSocket.destroy());
  rawSocket.write(encodeFrame({ q: 1, op: 'offer', a: [99, null] }));
  await waitUntil(() => Buffer.concat(received).includes(WRONG_VERSION));
  rawSocket.destroy();
  server.close();
});

test('backs off for increasing periods after three consecutive failures of a partner', async () => {
  const clock = new FakeClock();
  const closedServer = net.createServer();
  await new Promise<void>((resolve) => closedServer.listen(0, '127.0.0.1', resolve));
  const { port } = closedServer.address() as net.AddressInfo;
  await new Promise((resolve) => closedServer.close(resolve));
  const link = createLink(loadTestCredentials('home', home), port, 'away', clock);
  const backoffsMs: number[] = [];
  for (let i = 0; i < 5; i++) {
    await assert.rejects(link.request('offer', 1, 5000), PartnerUnavailableError);
    let backoffMs = 0;
    for (; link.isBackingOff; backoffMs += 100) await clock.advance(100);
    backoffsMs.push(backoffMs);
  }
  assert.deepEqual(backoffsMs, [0, 0, 1000, 2000, 4000]);
});
