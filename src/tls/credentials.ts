/** Loads the key and certificates of a cluster, and checks the certificates of partner clusters. */

import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFileSync, statSync } from 'node:fs';
import type { Clock, Timer } from '../clock/clock.js';
import { InvalidInputError } from '../errors/errors.js';

/** A key or certificate cannot be used; the message names the file. */
export class TlsError extends InvalidInputError {}

/** Paths of the credential files; key and certificates are in PEM. */
export interface TlsFiles {
  key: string;
  cert: string;
  /** Certificate authorities that are trusted. */
  ca: string;
  /** File of the serial numbers of revoked certificates, one per line; null for none. */
  revoked: string | null;
}

/** Validated contents of the credential files. */
export interface Credentials {
  key: string;
  cert: string;
  ca: string;
  revoked: ReadonlySet<string>;
  /** Name of the cluster in the certificate. */
  cluster: string;
  /** End of the validity of the certificate, in milliseconds since the epoch. */
  expiresAt: number;
}

const CLUSTER_URI = /URI:spartray:\/\/([A-Za-z0-9._-]{1,64})(?:,|$)/;
const FILE_CHECK_INTERVAL_MS = 5000;
const EXPIRY_WARNING_MS = 14 * 86_400_000;
const EXPIRY_WARNING_INTERVAL_MS = 3_600_000;

/** Returns the cluster name of a certificate, from the alternative name `spartray://NAME`; null when there is none. */
export function clusterNameOf(cert: X509Certificate): string | null {
  return CLUSTER_URI.exec(cert.subjectAltName ?? '')?.[1] ?? null;
}

function readCredentialFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw new TlsError(`${path}: ${error instanceof Error ? error.message : error}`);
  }
}

/**
 * Reads the files, and checks that the certificate matches the key, names a cluster, is valid at `now` (milliseconds
 * since the epoch) and was issued by the certificate authority. Throws `TlsError`.
 */
export function loadCredentials(files: TlsFiles, now: number): Credentials {
  const [key, cert, ca] = [
    readCredentialFile(files.key),
    readCredentialFile(files.cert),
    readCredentialFile(files.ca),
  ];
  const parseCertificate = (path: string, text: string) => {
    try {
      return new X509Certificate(text);
    } catch {
      throw new TlsError(`${path}: not a certificate in PEM`);
    }
  };
  const ownCertificate = parseCertificate(files.cert, cert);
  const issuer = parseCertificate(files.ca, ca);
  let keyMatches: boolean;
  try {
    keyMatches = ownCertificate.checkPrivateKey(createPrivateKey(key));
  } catch {
    throw new TlsError(`${files.key}: not a private key in PEM`);
  }
  if (!keyMatches) throw new TlsError(`${files.key}: not the key of ${files.cert}`);
  const cluster = clusterNameOf(ownCertificate);
  if (cluster === null) throw new TlsError(`${files.cert}: names no cluster (spartray://NAME)`);
  const expiresAt = Date.parse(ownCertificate.validTo);
  if (expiresAt <= now) throw new TlsError(`${files.cert}: expired on ${ownCertificate.validTo}`);
  if (Date.parse(ownCertificate.validFrom) > now)
    throw new TlsError(`${files.cert}: not valid before ${ownCertificate.validFrom}`);
  if (!ownCertificate.checkIssued(issuer)) throw new TlsError(`${files.cert}: not issued by ${files.ca}`);
  const revokedLines = files.revoked === null ? [] : readCredentialFile(files.revoked).split(/\r?\n/);
  return {
    key,
    cert,
    ca,
    revoked: new Set(
      revokedLines.map((line) => normalizeSerial(line.replace(/#.*/, ''))).filter((line) => line !== ''),
    ),
    cluster,
    expiresAt,
  };
}

function normalizeSerial(text: string): string {
  return text.replace(/[\s:]/g, '').replace(/^0+/, '').toUpperCase();
}

/**
 * Returns the reason for which a partner's certificate is rejected, or null when it is accepted. `verificationError`
 * is the error code of the TLS library, which verifies issuer and validity period; null when it found no error. The
 * TLS library checks neither the cluster name nor the revocation list, so this function does.
 */
export function rejectionReason(
  cert: X509Certificate | undefined,
  verificationError: string | null,
  expected: ReadonlySet<string>,
  credentials: Credentials,
): string | null {
  if (!cert) return 'no certificate';
  if (verificationError === 'CERT_HAS_EXPIRED') return 'expired';
  if (verificationError === 'CERT_NOT_YET_VALID') return 'not yet valid';
  if (verificationError !== null) return `unknown issuer (${verificationError})`;
  const cluster = clusterNameOf(cert);
  if (cluster === null) return 'names no cluster';
  if (!expected.has(cluster)) return `wrong name (${cluster})`;
  return credentials.revoked.has(normalizeSerial(cert.serialNumber)) ? 'revoked' : null;
}

/** Callbacks of a credential store. */
export interface CredentialHooks {
  /** Called after changed files were loaded and took effect. */
  onReloaded(credentials: Credentials): void;
  /** Called when changed files cannot be used; the credentials loaded before stay in effect. */
  onReloadFailed(reason: string): void;
  /** Called at most once an hour when the certificate expires soon or has expired (`remainingMs` is then negative). */
  onExpiryNear(remainingMs: number): void;
}

/** Credentials that are reloaded when their files change, without a restart. */
export class CredentialStore {
  current: Credentials;
  private loadedFingerprint: string;
  private warnedAt = Number.NEGATIVE_INFINITY;
  private timer: Timer | null = null;

  /** Throws `TlsError` when the files cannot be used. */
  constructor(
    private readonly clock: Clock,
    private readonly files: TlsFiles,
    private readonly hooks: CredentialHooks,
  ) {
    this.loadedFingerprint = this.fileFingerprint();
    this.current = loadCredentials(files, clock.wall());
    this.checkFiles();
  }

  /** Remaining validity of the certificate in seconds, for a metric. */
  get remainingValidityS(): number {
    return (this.current.expiresAt - this.clock.wall()) / 1000;
  }

  stop(): void {
    this.timer?.cancel();
  }

  private fileFingerprint(): string {
    const { key, cert, ca, revoked } = this.files;
    return [key, cert, ca, ...(revoked === null ? [] : [revoked])]
      .map((path) => {
        try {
          const stats = statSync(path);
          return `${stats.mtimeMs} ${stats.size} ${stats.ino}`;
        } catch {
          return 'gone';
        }
      })
      .join();
  }

  private checkFiles(): void {
    const fingerprint = this.fileFingerprint();
    if (fingerprint !== this.loadedFingerprint) {
      this.loadedFingerprint = fingerprint;
      try {
        this.current = loadCredentials(this.files, this.clock.wall());
        this.hooks.onReloaded(this.current);
      } catch (error) {
        if (!(error instanceof TlsError)) throw error;
        this.hooks.onReloadFailed(error.message);
      }
    }
    const remainingMs = this.current.expiresAt - this.clock.wall();
    if (remainingMs < EXPIRY_WARNING_MS && this.clock.now() - this.warnedAt >= EXPIRY_WARNING_INTERVAL_MS) {
      this.warnedAt = this.clock.now();
      this.hooks.onExpiryNear(remainingMs);
    }
    this.timer = this.clock.after(FILE_CHECK_INTERVAL_MS, () => this.checkFiles());
  }
}
