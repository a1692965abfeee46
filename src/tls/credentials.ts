/** Keys and certificates of a cluster, and which partners' certificates are accepted. */

import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFileSync, statSync } from 'node:fs';
import type { Clock, Timer } from '../clock/clock.js';
import { InvalidInputError } from '../errors/errors.js';

/** Keys or certificates that cannot be used; the message names the file. */
export class TlsError extends InvalidInputError {}

/** Paths of PEM files. */
export interface TlsFiles {
  key: string;
  cert: string;
  /** Issuers whose certificates are trusted. */
  ca: string;
  /** Serial numbers, one a line, that are trusted no more; null for none. */
  revoked: string | null;
}

/** The contents of the files, checked. */
export interface Credentials {
  key: string;
  cert: string;
  ca: string;
  revoked: ReadonlySet<string>;
  /** The cluster that the certificate names. */
  cluster: string;
  /** Milliseconds since the epoch. */
  expiresAt: number;
}

const NAME = /URI:spartray:\/\/([A-Za-z0-9._-]{1,64})(?:,|$)/;
const LOOK_MS = 5000;
const WARN_MS = 14 * 86_400_000;
const WARN_AGAIN_MS = 3_600_000;

/** The cluster that a certificate names, as `spartray://NAME` among its alternative names; null when it names none. */
export function clusterOf(cert: X509Certificate): string | null {
  return NAME.exec(cert.subjectAltName ?? '')?.[1] ?? null;
}

function read(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new TlsError(`${path}: ${error instanceof Error ? error.message : error}`);
  }
}

/** Reads and checks everything; `now` is in milliseconds since the epoch. Fails with `TlsError`. */
export function loadCredentials(files: TlsFiles, now: number): Credentials {
  const [key, cert, ca] = [read(files.key), read(files.cert), read(files.ca)];
  const parse = (path: string, text: string) => {
    try {
      return new X509Certificate(text);
    } catch {
      throw new TlsError(`${path}: not a certificate in PEM`);
    }
  };
  const own = parse(files.cert, cert);
  const issuer = parse(files.ca, ca);
  let fits: boolean;
  try {
    fits = own.checkPrivateKey(createPrivateKey(key));
  } catch {
    throw new TlsError(`${files.key}: not a private key in PEM`);
  }
  if (!fits) throw new TlsError(`${files.key}: not the key of ${files.cert}`);
  const cluster = clusterOf(own);
  if (cluster === null) throw new TlsError(`${files.cert}: names no cluster (spartray://NAME)`);
  const expiresAt = Date.parse(own.validTo);
  if (expiresAt <= now) throw new TlsError(`${files.cert}: expired on ${own.validTo}`);
  if (Date.parse(own.validFrom) > now) throw new TlsError(`${files.cert}: not valid before ${own.validFrom}`);
  if (!own.checkIssued(issuer)) throw new TlsError(`${files.cert}: not issued by ${files.ca}`);
  const revoked = files.revoked === null ? [] : read(files.revoked).split(/\r?\n/);
  return {
    key,
    cert,
    ca,
    revoked: new Set(revoked.map((l) => serial(l.replace(/#.*/, ''))).filter((l) => l !== '')),
    cluster,
    expiresAt,
  };
}

function serial(text: string): string {
  return text.replace(/[\s:]/g, '').replace(/^0+/, '').toUpperCase();
}

/**
 * Why a partner's certificate is refused; null when it is good. `doubt` is what the TLS library has against it, which
 * knows its issuer and its dates; the name and the list are up to us.
 */
export function refusal(
  cert: X509Certificate | undefined,
  doubt: string | null,
  expected: ReadonlySet<string>,
  c: Credentials,
): string | null {
  if (!cert) return 'no certificate';
  if (doubt === 'CERT_HAS_EXPIRED') return 'expired';
  if (doubt === 'CERT_NOT_YET_VALID') return 'not yet valid';
  if (doubt !== null) return `unknown issuer (${doubt})`;
  const cluster = clusterOf(cert);
  if (cluster === null) return 'names no cluster';
  if (!expected.has(cluster)) return `wrong name (${cluster})`;
  return c.revoked.has(serial(cert.serialNumber)) ? 'revoked' : null;
}

/** What a credential store calls. */
export interface CredentialHooks {
  /** New files are in use from now on. */
  changed(c: Credentials): void;
  /** Files changed and cannot be used: what was loaded before goes on. */
  failed(why: string): void;
  /** The certificate ends soon, or has. */
  ends(leftMs: number): void;
}

/** Credentials that are read again when their files change, without a restart. */
export class CredentialStore {
  current: Credentials;
  private seen: string;
  private warnedAt = Number.NEGATIVE_INFINITY;
  private timer: Timer | null = null;

  /** Fails with `TlsError` when the files cannot be used at the start. */
  constructor(
    private readonly clock: Clock,
    private readonly files: TlsFiles,
    private readonly hooks: CredentialHooks,
  ) {
    this.seen = this.stamp();
    this.current = loadCredentials(files, clock.wall());
    this.look();
  }

  /** How long the certificate is still good for, in seconds: a metric. */
  get leftS(): number {
    return (this.current.expiresAt - this.clock.wall()) / 1000;
  }

  stop(): void {
    this.timer?.cancel();
  }

  private stamp(): string {
    const { key, cert, ca, revoked } = this.files;
    return [key, cert, ca, ...(revoked === null ? [] : [revoked])]
      .map((path) => {
        try {
          const s = statSync(path);
          return `${s.mtimeMs} ${s.size} ${s.ino}`;
        } catch {
          return 'gone';
        }
      })
      .join();
  }

  private look(): void {
    const stamp = this.stamp();
    if (stamp !== this.seen) {
      this.seen = stamp;
      try {
        this.current = loadCredentials(this.files, this.clock.wall());
        this.hooks.changed(this.current);
      } catch (error) {
        if (!(error instanceof TlsError)) throw error;
        this.hooks.failed(error.message);
      }
    }
    const left = this.current.expiresAt - this.clock.wall();
    if (left < WARN_MS && this.clock.now() - this.warnedAt >= WARN_AGAIN_MS) {
      this.warnedAt = this.clock.now();
      this.hooks.ends(left);
    }
    this.timer = this.clock.after(LOOK_MS, () => this.look());
  }
}
