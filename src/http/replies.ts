import type { HttpReply } from './server.js';

/** Answers that every part gives in the same words. */
export function bad(error: string): HttpReply {
  return { status: 400, body: { error } };
}

export function later(status: number, seconds: number, error: string): HttpReply {
  return { status, body: { error }, headers: { 'Retry-After': String(seconds) } };
}

export function wrongMethod(allow: string): HttpReply {
  return { status: 405, body: { error: 'method not allowed' }, headers: { Allow: allow } };
}

/** The JSON of a body; undefined when it is none. */
export function parseBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
