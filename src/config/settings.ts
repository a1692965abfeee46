// This package: what operators and the platform set, validated, and logging.

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { InvalidInputError } from '../errors/errors.js';

export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

export interface Objective {
  kind: string;
  class: string | null;
  withinS: number | null;
  share: number | null;
}

export interface Endpoint {
  host: string;
  port: number;
}

export interface Peer {
  node: string;
  zone: string;
  addr: string;
}

export interface Settings {
  node: string;
  zone: string;
  listen: Endpoint;
  peerListen: Endpoint;
  peers: Peer[];
  cloud: string;
  state: string;
  nodes: number;
  zones: string[];
  /** Zones of each region; none where all are in one. */
  regions: Record<string, string[]>;
  skewMs: number;
  teams: Team[];
  objectives: Objective[];
  workers: { reportS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  /** What the state service allows now and, where that is less, from some later moment on (`state.next`). */
  stateLimits: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  /** The size of values that the former layout of done tasks depends on: the one of now, whatever comes. */
  layoutKb: number;
  cloudLimits: { rps: number; listLagS: number };
  limits: { cores: number; memoryMb: number; maxSockets: number };
}

/** A settings file that cannot be used; the message names the field. */
export class SettingsError extends InvalidInputError {}

const text = v.pipe(v.string(), v.minLength(1));
const address = v.pipe(v.string(), v.regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port'));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0, 'must be above 0'));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0, 'must not be negative'));

const file = v.object({
  node: text,
  zone: text,
  bind: address,
  peer_bind: address,
  seeds: v.optional(v.array(v.object({ node: text, zone: text, endpoint: address })), []),
  external: v.object({ cloud: address, state: address }),
  params: v.object({
    initial_size: v.pipe(v.number(), v.integer(), v.minValue(1)),
    zones: v.optional(v.array(text), []),
    regions: v.optional(v.record(text, v.array(text)), {}),
    skew_ms: v.optional(amount, 1000),
    teams: v.optional(
      v.array(
        v.object({
          name: text,
          cpus: v.optional(amount, 0),
          cpus_max: v.optional(amount, 0),
          gpus: v.optional(amount, 0),
          gpus_max: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: text,
          class: v.nullish(text),
          within_s: v.nullish(amount),
          share: v.nullish(amount),
        }),
      ),
      [],
    ),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: v.pipe(v.number(), v.integer(), v.minValue(1)),
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.object({ cores: positive, memory_mb: positive, max_sockets: positive }),
  }),
});

function endpoint(addr: string): Endpoint {
  const colon = addr.lastIndexOf(':');
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
}

/**
 * How a process parts its sockets: most are for users and workers, some for the other controllers, the rest for what it
 * opens itself. State service and cloud have connections of their own: asking hundreds of machines at once must not keep
 * a lease from renewal.
 */
export function partSockets(sockets: number): { incoming: number; services: number; workers: number } {
  const outgoing = Math.max(8, Math.floor(sockets * 0.3));
  const services = Math.max(4, Math.min(48, Math.floor(outgoing / 4)));
  return { incoming: Math.max(16, sockets - outgoing - 80), services, workers: outgoing - services };
}

/**
 * How many machines a shard may have: each keeps a connection to the shard's owner, beside those of its users. More of
 * them than that shut each other out, and lose their leases.
 */
export function mostMachines(sockets: number): number {
  return Math.floor(partSockets(sockets).incoming * 0.75);
}

/** The region that a node is in; the same for all where no regions are set. */
export function regionOfNode(s: Pick<Settings, 'node' | 'zone' | 'peers' | 'regions'>, node: string): string {
  const zone = node === s.node ? s.zone : s.peers.find((p) => p.node === node)?.zone;
  const region = Object.entries(s.regions).find(([, zones]) => zone !== undefined && zones.includes(zone));
  return region?.[0] ?? '';
}

export function parseSettings(content: string): Settings {
  let raw: unknown;
  try {
    raw = parse(content);
  } catch (error) {
    throw new SettingsError(`not TOML: ${error instanceof Error ? error.message.split('\n')[0] : error}`);
  }
  const parsed = v.safeParse(file, raw);
  if (!parsed.success) {
    const issue = parsed.issues[0];
    throw new SettingsError(`${v.getDotPath(issue) ?? 'settings'}: ${issue.message}`);
  }
  const f = parsed.output;
  const p = f.params;
  const names = new Set<string>([f.node]);
  for (const [i, s] of f.seeds.entries()) {
    if (names.has(s.node)) throw new SettingsError(`seeds.${i}.node: ${s.node} is named twice`);
    names.add(s.node);
  }
  return {
    node: f.node,
    zone: f.zone,
    listen: endpoint(f.bind),
    peerListen: endpoint(f.peer_bind),
    peers: f.seeds.map((s) => ({ node: s.node, zone: s.zone, addr: s.endpoint })),
    cloud: f.external.cloud,
    state: f.external.state,
    nodes: p.initial_size,
    zones: p.zones,
    regions: p.regions,
    skewMs: p.skew_ms,
    teams: p.teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      cpusMax: t.cpus_max,
      gpus: t.gpus,
      gpusMax: t.gpus_max,
    })),
    objectives: p.objectives.map((o) => ({
      kind: o.kind,
      class: o.class ?? null,
      withinS: o.within_s ?? null,
      share: o.share ?? null,
    })),
    workers: {
      reportS: p.workers.report_s,
      leaseS: p.workers.lease_s,
      gangWaitS: p.workers.gang_wait_s,
      gangPeerS: p.workers.gang_peer_s,
      cancelS: p.workers.cancel_s,
    },
    stateLimits: {
      rps: Math.min(p.state.rps, p.state.next.rps ?? p.state.rps),
      writeRps: Math.min(p.state.write_rps, p.state.next.write_rps ?? p.state.write_rps),
      valueKb: Math.min(p.state.value_kb, p.state.next.value_kb ?? p.state.value_kb),
      txnOps: Math.min(p.state.txn_ops, p.state.next.txn_ops ?? p.state.txn_ops),
    },
    layoutKb: p.state.value_kb,
    cloudLimits: { rps: p.cloud.rps, listLagS: p.cloud.list_lag_s },
    limits: { cores: p.limits.cores, memoryMb: p.limits.memory_mb, maxSockets: p.limits.max_sockets },
  };
}

export function loadSettings(path: string): Settings {
  let content: string;
  try {
    content = readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`cannot read ${path}: ${error instanceof Error ? error.message : error}`);
  }
  return parseSettings(content);
}
