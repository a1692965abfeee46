/** What operators and the platform set, validated. */

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { InvalidInputError } from '../errors/errors.js';
import { type SettingsFile, settingsFile } from './settingsfile.js';

/** A team and its share of the cluster: what it is entitled to, and what it may use at most (0: no bound). */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** A service-level objective; what is null is not part of it. */
export interface Objective {
  kind: string;
  /** The class of jobs that it is for. */
  class: string | null;
  withinS: number | null;
  share: number | null;
}

/** An address to listen at. */
export interface Endpoint {
  host: string;
  port: number;
}

/** Another controller, as the settings name it. */
export interface Peer {
  node: string;
  zone: string;
  /** `host:port`. */
  addr: string;
}

/** The settings of one controller. Names end with the unit: `S` seconds, `Ms` milliseconds, `Kb` kilobytes of 1000 bytes, `Mb` megabytes. */
export interface Settings {
  /** The name of this node. */
  node: string;
  zone: string;
  /** Where users and workers connect. */
  listen: Endpoint;
  /** Where the other controllers connect. */
  peerListen: Endpoint;
  peers: Peer[];
  /** `host:port` of the cloud. */
  cloud: string;
  /** `host:port` of the key-value store. */
  state: string;
  /** Number of controllers. */
  nodes: number;
  zones: string[];
  /** Zones of each region; none where all are in one. */
  regions: Record<string, string[]>;
  /** By how much the times of day of two machines may differ. */
  skewMs: number;
  teams: Team[];
  objectives: Objective[];
  /** Times of the protocol with the workers: heartbeat interval, lease, gang start and loss, and cancellation. */
  workers: { reportS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  /** What the key-value store allows now and, where that is less, from some later moment on (`state.next`). */
  stateLimits: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  /** The size of values that the former layout of done tasks depends on: the one of now, whatever comes. */
  layoutKb: number;
  cloudLimits: { rps: number; listLagS: number };
  /** What the process itself may use. */
  limits: { cores: number; memoryMb: number; maxSockets: number };
}

type Params = SettingsFile['params'];

/** A settings file that cannot be used; the message names the field. */
export class SettingsError extends InvalidInputError {}

function endpoint(addr: string): Endpoint {
  const colon = addr.lastIndexOf(':');
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
}

/**
 * How many of its `sockets` a process uses for what: most for connections of users and workers (`incoming`), some for the
 * other controllers, the rest for those that it opens itself. Key-value store and cloud (`services`) have connections of
 * their own: requests to hundreds of machines at once (`workers`) must not keep a lease from renewal.
 */
export function allocateSockets(sockets: number): { incoming: number; services: number; workers: number } {
  const outgoing = Math.max(8, Math.floor(sockets * 0.3));
  const services = Math.max(4, Math.min(48, Math.floor(outgoing / 4)));
  return { incoming: Math.max(16, sockets - outgoing - 80), services, workers: outgoing - services };
}

/**
 * How many machines a shard may have: each keeps a connection to the shard's owner, beside those of its users. More than
 * that would evict each other's connections, and lose their leases.
 */
export function maxMachinesPerShard(sockets: number): number {
  return Math.floor(allocateSockets(sockets).incoming * 0.75);
}

/** The region that a node is in; the same for all where no regions are set. */
export function regionOfNode(s: Pick<Settings, 'node' | 'zone' | 'peers' | 'regions'>, node: string): string {
  const zone = node === s.node ? s.zone : s.peers.find((p) => p.node === node)?.zone;
  const region = Object.entries(s.regions).find(([, zones]) => zone !== undefined && zones.includes(zone));
  return region?.[0] ?? '';
}

/**
 * Reads the text of a settings file. Throws `SettingsError` when it is not TOML, when a field is missing or has a wrong
 * value, or when two nodes have the same name.
 */
export function parseSettings(content: string): Settings {
  const file = validate(parseToml(content));
  checkNodeNames(file);
  const { params } = file;
  return {
    node: file.node,
    zone: file.zone,
    listen: endpoint(file.bind),
    peerListen: endpoint(file.peer_bind),
    peers: file.seeds.map((s) => ({ node: s.node, zone: s.zone, addr: s.endpoint })),
    cloud: file.external.cloud,
    state: file.external.state,
    nodes: params.initial_size,
    zones: params.zones,
    regions: params.regions,
    skewMs: params.skew_ms,
    teams: params.teams.map(team),
    objectives: params.objectives.map(objective),
    workers: workerTimes(params.workers),
    stateLimits: stateLimits(params.state),
    layoutKb: params.state.value_kb,
    cloudLimits: { rps: params.cloud.rps, listLagS: params.cloud.list_lag_s },
    limits: {
      cores: params.limits.cores,
      memoryMb: params.limits.memory_mb,
      maxSockets: params.limits.max_sockets,
    },
  };
}

function parseToml(content: string): unknown {
  try {
    return parse(content);
  } catch (error) {
    throw new SettingsError(`not TOML: ${error instanceof Error ? error.message.split('\n')[0] : error}`);
  }
}

function validate(raw: unknown): SettingsFile {
  const parsed = v.safeParse(settingsFile, raw);
  if (parsed.success) return parsed.output;
  const issue = parsed.issues[0];
  throw new SettingsError(`${v.getDotPath(issue) ?? 'settings'}: ${issue.message}`);
}

function checkNodeNames(file: SettingsFile): void {
  const names = new Set<string>([file.node]);
  for (const [i, seed] of file.seeds.entries()) {
    if (names.has(seed.node)) throw new SettingsError(`seeds.${i}.node: ${seed.node} is named twice`);
    names.add(seed.node);
  }
}

function team(t: Params['teams'][number]): Team {
  return { name: t.name, cpus: t.cpus, cpusMax: t.cpus_max, gpus: t.gpus, gpusMax: t.gpus_max };
}

function objective(o: Params['objectives'][number]): Objective {
  return { kind: o.kind, class: o.class ?? null, withinS: o.within_s ?? null, share: o.share ?? null };
}

function workerTimes(w: Params['workers']): Settings['workers'] {
  return {
    reportS: w.report_s,
    leaseS: w.lease_s,
    gangWaitS: w.gang_wait_s,
    gangPeerS: w.gang_peer_s,
    cancelS: w.cancel_s,
  };
}

/** The lesser of each limit as it is now and as it will be. */
function stateLimits({ next, ...now }: Params['state']): Settings['stateLimits'] {
  return {
    rps: Math.min(now.rps, next.rps ?? now.rps),
    writeRps: Math.min(now.write_rps, next.write_rps ?? now.write_rps),
    valueKb: Math.min(now.value_kb, next.value_kb ?? now.value_kb),
    txnOps: Math.min(now.txn_ops, next.txn_ops ?? now.txn_ops),
  };
}

/** Reads a settings file; throws `SettingsError` as `parseSettings` does, and when the file cannot be read. */
export function loadSettings(path: string): Settings {
  let content: string;
  try {
    content = readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`cannot read ${path}: ${error instanceof Error ? error.message : error}`);
  }
  return parseSettings(content);
}
