/** Reading and validation of the settings made by operators and the platform. */

import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { InvalidInputError } from '../errors/errors.js';
import { type SettingsFile, settingsFile } from './settingsfile.js';

/**
 * A team and its share of the cluster: the resources it is guaranteed, and the most it may use (0 means no limit).
 */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** A service-level objective; fields that are null are not part of it. */
export interface Objective {
  kind: string;
  /** The class of jobs that the objective applies to. */
  class: string | null;
  withinS: number | null;
  share: number | null;
}

/** An address to listen on. */
export interface Endpoint {
  host: string;
  port: number;
}

/** Another controller named in the settings. */
export interface Peer {
  node: string;
  zone: string;
  /** Address as `host:port`. */
  addr: string;
}

/**
 * The settings of one controller. Field names end with the unit: `S` seconds, `Ms` milliseconds, `Kb` kilobytes of
 * 1000 bytes, `Mb` megabytes.
 */
export interface Settings {
  /** The name of this node. */
  node: string;
  zone: string;
  /** The address for users and workers. */
  listen: Endpoint;
  /** The address for the other controllers. */
  peerListen: Endpoint;
  peers: Peer[];
  /** `host:port` of the cloud. */
  cloud: string;
  /** `host:port` of the key-value store. */
  state: string;
  /** Number of controllers. */
  nodes: number;
  zones: string[];
  /** The zones of each region; empty if all zones are in one region. */
  regions: Record<string, string[]>;
  /** Maximum difference between the wall clocks of two machines. */
  skewMs: number;
  teams: Team[];
  objectives: Objective[];
  /** Timing of the worker protocol: heartbeat interval, lease, gang start and loss, and cancellation. */
  workers: { reportS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  /** Limits of the key-value store: the lower of each current limit and the one announced for later (`state.next`). */
  stateLimits: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  /**
   * The value size that determines the former layout of completed tasks: always the current limit, regardless of
   * announced ones.
   */
  layoutKb: number;
  cloudLimits: { rps: number; listLagS: number };
  /** Resource limits of the process itself. */
  limits: { cores: number; memoryMb: number; maxSockets: number };
}

type Params = SettingsFile['params'];

/** The settings file cannot be used; the message names the field. */
export class SettingsError extends InvalidInputError {}

function endpoint(addr: string): Endpoint {
  const colon = addr.lastIndexOf(':');
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
}

/**
 * Divides the process's `sockets` between their uses: most are for connections of users and workers (`incoming`),
 * some for the other controllers, and the rest for outgoing connections. The key-value store and the cloud
 * (`services`) have connections of their own, because requests to hundreds of machines at once (`workers`) must not
 * delay the renewal of a lease.
 */
export function allocateSockets(sockets: number): { incoming: number; services: number; workers: number } {
  const outgoing = Math.max(8, Math.floor(sockets * 0.3));
  const services = Math.max(4, Math.min(48, Math.floor(outgoing / 4)));
  return { incoming: Math.max(16, sockets - outgoing - 80), services, workers: outgoing - services };
}

/**
 * Returns the maximum number of machines in a shard. Each machine keeps a connection to the shard's owner, in
 * addition to the connections of users. With more machines their connections would evict each other, and the machines
 * would lose their leases.
 */
export function maxMachinesPerShard(sockets: number): number {
  return Math.floor(allocateSockets(sockets).incoming * 0.75);
}

/** Returns the region of a node; the same for all nodes if no regions are configured. */
export function regionOfNode(s: Pick<Settings, 'node' | 'zone' | 'peers' | 'regions'>, node: string): string {
  const zone = node === s.node ? s.zone : s.peers.find((p) => p.node === node)?.zone;
  const region = Object.entries(s.regions).find(([, zones]) => zone !== undefined && zones.includes(zone));
  return region?.[0] ?? '';
}

/**
 * Parses the text of a settings file. Throws `SettingsError` if it is not TOML, if a field is missing or has an
 * invalid value, or if two nodes have the same name.
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
    teams: params.teams.map(readTeam),
    objectives: params.objectives.map(readObjective),
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

function readTeam(team: Params['teams'][number]): Team {
  return {
    name: team.name,
    cpus: team.cpus,
    cpusMax: team.cpus_max,
    gpus: team.gpus,
    gpusMax: team.gpus_max,
  };
}

function readObjective(objective: Params['objectives'][number]): Objective {
  return {
    kind: objective.kind,
    class: objective.class ?? null,
    withinS: objective.within_s ?? null,
    share: objective.share ?? null,
  };
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

/** Returns the lower of the current and the announced value of each limit. */
function stateLimits({ next, ...now }: Params['state']): Settings['stateLimits'] {
  return {
    rps: Math.min(now.rps, next.rps ?? now.rps),
    writeRps: Math.min(now.write_rps, next.write_rps ?? now.write_rps),
    valueKb: Math.min(now.value_kb, next.value_kb ?? now.value_kb),
    txnOps: Math.min(now.txn_ops, next.txn_ops ?? now.txn_ops),
  };
}

/** Reads a settings file. Throws `SettingsError` if the file cannot be read, and in the cases of `parseSettings`. */
export function loadSettings(path: string): Settings {
  let content: string;
  try {
    content = readFileSync(path, 'utf8');
  } catch (error) {
    throw new SettingsError(`cannot read ${path}: ${error instanceof Error ? error.message : error}`);
  }
  return parseSettings(content);
}
