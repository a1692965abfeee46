/** Replies that all parts give in the same words. */

import type { HttpReply } from './server.js';

/** 400: the request is wrong. */
export function bad(error: string): HttpReply {
  return { status: 400, body: { error } };
}

/** `status` with the number of seconds after which the client should try again. */
export function later(status: number, seconds: number, error: string): HttpReply {
  return { status, body: { error }, headers: { 'Retry-After': String(seconds) } };
}

/** 405; `allow` lists the methods that the path allows. */
export function wrongMethod(allow: string): HttpReply {
  return { status: 405, body: { error: 'method not allowed' }, headers: { Allow: allow } };
}

/** The JSON value of a body; undefined when it is not JSON. */
export function parseBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
