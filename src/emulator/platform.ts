import { readFileSync } from 'node:fs';
import { parse, stringify } from 'smol-toml';
import * as v from 'valibot';
import { SettingsError } from '../config/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Capacity } from './market.js';

const positive = v.pipe(v.number(), v.gtValue(0));
const amount = v.pipe(v.number(), v.minValue(0));
const whole = v.pipe(amount, v.integer());
const text = v.pipe(v.string(), v.minLength(1));
const share = v.pipe(amount, v.maxValue(1));
/** A field that may be left out, also when the whole table is. */
const or = <T extends v.GenericSchema<number, number>>(schema: T, value: number) => v.optional(schema, value);

const file = v.object({
  zones: v.pipe(v.array(text), v.minLength(1)),
  /** Zones that share a region; left out, all are in one. */
  regions: v.optional(v.record(text, v.pipe(v.array(text), v.minLength(1))), {}),
  racks_per_zone: or(v.pipe(whole, v.minValue(1)), 1),
  machine_types: v.pipe(
    v.array(
      v.object({
        name: text,
        cpus: positive,
        gpus: or(amount, 0),
        memory_gb: positive,
        price: positive,
        spot_price: or(amount, 0),
        cache_gb: or(positive, 100),
        fetch_gb_per_s: or(positive, 1),
        boot_s: or(positive, 30),
      }),
    ),
    v.minLength(1),
  ),
  capacity: v.pipe(
    v.array(v.object({ type: text, zone: text, count: whole, spot: or(whole, 0), up: or(whole, 0) })),
    v.minLength(1),
  ),
  teams: v.optional(
    v.array(
      v.object({
        name: text,
        cpus: or(amount, 0),
        cpus_max: or(amount, 0),
        gpus: or(amount, 0),
        gpus_max: or(amount, 0),
      }),
    ),
    [],
  ),
  objectives: v.optional(v.array(v.record(v.string(), v.union([v.string(), v.number()]))), []),
  workers: v.optional(
    v.object({
      report_s: or(positive, 3),
      lease_s: or(positive, 20),
      gang_wait_s: or(positive, 40),
      gang_peer_s: or(positive, 5),
      cancel_s: or(positive, 45),
    }),
    {},
  ),
  state: v.optional(
    v.object({
      rps: or(positive, 150),
      write_rps: or(positive, 50),
      value_kb: or(positive, 8),
      txn_ops: or(v.pipe(whole, v.minValue(1)), 32),
    }),
    {},
  ),
  cloud: v.optional(v.object({ rps: or(positive, 10), list_lag_s: or(amount, 5) }), {}),
  spot: v.optional(v.object({ per_hour: or(amount, 0.4), notice_s: or(amount, 20) }), {}),
  boot_fail: or(share, 0.01),
  /** How long a message is under way, in one direction. */
  network: v.optional(
    v.object({ same_zone_ms: or(amount, 0), cross_zone_ms: or(amount, 0), cross_region_ms: or(amount, 0) }),
    {},
  ),
  /** What a controller is told that it may use. */
  controllers: v.optional(
    v.object({ cores: or(positive, 1), memory_mb: or(positive, 250), max_sockets: or(positive, 1000) }),
    {},
  ),
});

/** What a cluster on one machine consists of, as its file says. */
export type Platform = v.InferOutput<typeof file>;

const BUILTIN = `
zones = ["north", "south"]
[[machine_types]]
name = "small"
cpus = 8
memory_gb = 32
price = 0.4
spot_price = 0.15
boot_s = 30
[[machine_types]]
name = "large"
cpus = 32
memory_gb = 128
price = 1.6
spot_price = 0.6
boot_s = 40
[[machine_types]]
name = "gpu"
cpus = 32
gpus = 4
memory_gb = 256
price = 9.0
spot_price = 3.4
boot_s = 50
[[capacity]]
type = "small"
zone = "north"
count = 12
spot = 6
up = 2
[[capacity]]
type = "small"
zone = "south"
count = 12
spot = 6
[[capacity]]
type = "large"
zone = "north"
count = 8
spot = 4
up = 1
[[capacity]]
type = "large"
zone = "south"
count = 8
spot = 4
[[capacity]]
type = "gpu"
zone = "north"
count = 4
spot = 2
[[teams]]
name = "red"
cpus = 64
cpus_max = 256
[[teams]]
name = "blue"
cpus = 32
cpus_max = 256
gpus_max = 8
[[teams]]
name = "guests"
`;

/** Reads a platform file; `builtin` is a small one for a first look. Fails with `SettingsError`, which names the field. */
export function loadPlatform(path: string): Platform {
  let raw: unknown;
  try {
    raw = parse(path === 'builtin' ? BUILTIN : readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(`${path}: ${error instanceof Error ? error.message.split('\n')[0] : error}`);
  }
  const p = v.safeParse(file, raw);
  if (!p.success)
    throw new SettingsError(`${path}: ${v.getDotPath(p.issues[0]) ?? 'file'}: ${p.issues[0].message}`);
  for (const [i, c] of p.output.capacity.entries()) {
    if (!p.output.machine_types.some((t) => t.name === c.type))
      throw new SettingsError(`${path}: capacity.${i}.type: no machine type ${c.type}`);
    if (!p.output.zones.includes(c.zone))
      throw new SettingsError(`${path}: capacity.${i}.zone: no zone ${c.zone}`);
  }
  checkRegions(path, p.output);
  return p.output;
}

/** Every zone is in one region, or none is named. */
function checkRegions(path: string, p: Platform): void {
  const regions = Object.entries(p.regions);
  if (regions.length === 0) return;
  const grouped = regions.flatMap(([, zones]) => zones);
  for (const [region, zones] of regions)
    for (const zone of zones)
      if (!p.zones.includes(zone)) throw new SettingsError(`${path}: regions.${region}: no zone ${zone}`);
  for (const zone of p.zones)
    if (grouped.filter((z) => z === zone).length !== 1)
      throw new SettingsError(`${path}: regions: ${zone} must be in one region`);
}

/** The machine types of a platform file, as the cloud lists them. */
export function typesOf(p: Platform): MachineType[] {
  return p.machine_types.map((t) => ({
    name: t.name,
    cpus: t.cpus,
    gpus: t.gpus,
    memoryGb: t.memory_gb,
    cacheGb: t.cache_gb,
    fetchGbPerS: t.fetch_gb_per_s,
    price: t.price,
    spotPrice: t.spot_price,
    bootS: t.boot_s,
    zones: [...new Set(p.capacity.filter((c) => c.type === t.name).map((c) => c.zone))],
  }));
}

/** What the zones of a platform file have. */
export const capacityOf = (p: Platform): Capacity[] => p.capacity;

/** Where a controller of an emulated cluster listens. */
export interface NodePlace {
  node: string;
  zone: string;
  bind: string;
  peerBind: string;
  /** Where the other controllers reach it. */
  peerAddr: string;
  cloud: string;
  state: string;
}

/** The settings file of one controller. */
export function settingsOf(p: Platform, own: NodePlace, all: readonly NodePlace[]): string {
  return stringify({
    node: own.node,
    zone: own.zone,
    bind: own.bind,
    peer_bind: own.peerBind,
    seeds: all.filter((n) => n !== own).map((n) => ({ node: n.node, zone: n.zone, endpoint: n.peerAddr })),
    external: { cloud: own.cloud, state: own.state },
    params: {
      initial_size: all.length,
      zones: p.zones,
      regions: p.regions,
      skew_ms: 1000,
      teams: p.teams,
      objectives: p.objectives,
      workers: p.workers,
      state: p.state,
      cloud: p.cloud,
      limits: p.controllers,
    },
  });
}
