/** What both ends of a link between partner clusters share: TLS 1.3 with certificates of both sides, and bounds. */

import type { X509Certificate } from 'node:crypto';
import type tls from 'node:tls';
import type { Credentials } from './credentials.js';

/** Bounds of links; times in milliseconds. */
export interface LinkLimits {
  /** Connections at once whose handshake is not complete. */
  connections: number;
  /** Connections at once of one partner. */
  ofOne: number;
  /** The longest time for a handshake. */
  handshakeMs: number;
  /** A connection without requests is ended after this time. */
  idleMs: number;
  /** The longest frame. */
  frameBytes: number;
  /** Responses that the other side has not received. */
  unsentBytes: number;
  /** Requests of one connection that are being answered at once. */
  asked: number;
}

/** The bounds in production. */
export const LINK_LIMITS: LinkLimits = {
  connections: 64,
  ofOne: 8,
  handshakeMs: 5000,
  idleMs: 60_000,
  frameBytes: 256 * 1024,
  unsentBytes: 512 * 1024,
  asked: 32,
};

/** The version of the protocol between partners. Requests of another version are answered with `WRONG_VERSION`. */
export const PARTNER_VERSION = 1;
/** The error text of the response to a request of another version. */
export const WRONG_VERSION = 'another version';

const VERSIONS = { minVersion: 'TLSv1.3' } as const;

/** The options of TLS by a cluster's credentials. */
export function context(c: Credentials): tls.SecureContextOptions {
  return { key: c.key, cert: c.cert, ca: c.ca, ...VERSIONS };
}

/** The other side's certificate. */
export function certOf(socket: tls.TLSSocket): X509Certificate | undefined {
  return socket.getPeerX509Certificate();
}

/** Why the other side's certificate is not trusted; null when it is. */
export function doubtOf(socket: tls.TLSSocket): string | null {
  if (socket.authorized) return null;
  const error: unknown = socket.authorizationError;
  if (error instanceof Error) return (error as NodeJS.ErrnoException).code ?? error.message;
  return error === null || error === undefined ? 'unverified' : String(error);
}
