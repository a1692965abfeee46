/** Common replies of the HTTP handlers. */

import type { HttpReply } from './server.js';

/** Returns a reply with status 400 (bad request). */
export function badRequest(error: string): HttpReply {
  return { status: 400, body: { error } };
}

/** Returns a reply with `status` and a `Retry-After` header of `seconds`. */
export function retryLater(status: number, seconds: number, error: string): HttpReply {
  return { status, body: { error }, headers: { 'Retry-After': String(seconds) } };
}

/** Returns a reply with status 405; `allow` lists the methods that the path allows. */
export function methodNotAllowed(allow: string): HttpReply {
  return { status: 405, body: { error: 'method not allowed' }, headers: { Allow: allow } };
}

/** Parses a body as JSON; returns undefined if it is not valid JSON. */
export function parseBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
