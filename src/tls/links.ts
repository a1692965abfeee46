/** Definitions shared by both ends of a link between partner clusters: mutual TLS 1.3, protocol version and limits. */

import type { X509Certificate } from 'node:crypto';
import type tls from 'node:tls';
import type { Credentials } from './credentials.js';

/** Limits of links; times in milliseconds. */
export interface LinkLimits {
  /** Largest number of connections whose handshake is not complete. */
  pendingHandshakes: number;
  /** Largest number of open connections of one partner. */
  connectionsPerPartner: number;
  /** Timeout of a handshake. */
  handshakeMs: number;
  /** Time without messages after which a connection without requests in progress is closed. */
  idleMs: number;
  /** Largest frame, in bytes. */
  frameBytes: number;
  /** Largest amount of responses that the other side has not received, in bytes. */
  unsentBytes: number;
  /** Largest number of requests in progress on one connection. */
  concurrentRequests: number;
}

/** Limits used in production. */
export const LINK_LIMITS: LinkLimits = {
  pendingHandshakes: 64,
  connectionsPerPartner: 8,
  handshakeMs: 5000,
  idleMs: 60_000,
  frameBytes: 256 * 1024,
  unsentBytes: 512 * 1024,
  concurrentRequests: 32,
};

/** Version of the protocol between partners. Requests of another version are answered with `WRONG_VERSION`. */
export const PARTNER_VERSION = 1;
/** Error text of the response to a request of another version. */
export const WRONG_VERSION = 'another version';

const TLS_VERSIONS = { minVersion: 'TLSv1.3' } as const;

/** Returns the TLS options for a cluster's credentials. */
export function secureContextOptions(credentials: Credentials): tls.SecureContextOptions {
  return { key: credentials.key, cert: credentials.cert, ca: credentials.ca, ...TLS_VERSIONS };
}

/** Returns the certificate of the other side. */
export function peerCertificateOf(socket: tls.TLSSocket): X509Certificate | undefined {
  return socket.getPeerX509Certificate();
}

/** Returns the error code of the verification of the other side's certificate, or null when it is trusted. */
export function verificationErrorOf(socket: tls.TLSSocket): string | null {
  if (socket.authorized) return null;
  const error: unknown = socket.authorizationError;
  if (error instanceof Error) return (error as NodeJS.ErrnoException).code ?? error.message;
  return error === null || error === undefined ? 'unverified' : String(error);
}
