import { readFileSync } from 'node:fs';
import { parse, stringify } from 'smol-toml';
import * as v from 'valibot';
import { SettingsError } from '../config/settings.js';
import type { MachineType } from '../wire/cloud.js';
import type { Capacity } from './market.js';

const positive = v.pipe(v.number(), v.gtValue(0));
const nonNegative = v.pipe(v.number(), v.minValue(0));
const nonNegativeInteger = v.pipe(nonNegative, v.integer());
const nonEmptyString = v.pipe(v.string(), v.minLength(1));
const fraction = v.pipe(nonNegative, v.maxValue(1));
/** Makes a numeric field optional; the default also applies when the whole table is missing. */
const withDefault = <T extends v.GenericSchema<number, number>>(schema: T, value: number) =>
  v.optional(schema, value);

const platformSchema = v.object({
  zones: v.pipe(v.array(nonEmptyString), v.minLength(1)),
  /** Zones by region; if omitted, all zones are in one region. */
  regions: v.optional(v.record(nonEmptyString, v.pipe(v.array(nonEmptyString), v.minLength(1))), {}),
  racks_per_zone: withDefault(v.pipe(nonNegativeInteger, v.minValue(1)), 1),
  machine_types: v.pipe(
    v.array(
      v.object({
        name: nonEmptyString,
        cpus: positive,
        gpus: withDefault(nonNegative, 0),
        memory_gb: positive,
        price: positive,
        spot_price: withDefault(nonNegative, 0),
        cache_gb: withDefault(positive, 100),
        fetch_gb_per_s: withDefault(positive, 1),
        boot_s: withDefault(positive, 30),
      }),
    ),
    v.minLength(1),
  ),
  capacity: v.pipe(
    v.array(
      v.object({
        type: nonEmptyString,
        zone: nonEmptyString,
        count: nonNegativeInteger,
        spot: withDefault(nonNegativeInteger, 0),
        up: withDefault(nonNegativeInteger, 0),
      }),
    ),
    v.minLength(1),
  ),
  teams: v.optional(
    v.array(
      v.object({
        name: nonEmptyString,
        cpus: withDefault(nonNegative, 0),
        cpus_max: withDefault(nonNegative, 0),
        gpus: withDefault(nonNegative, 0),
        gpus_max: withDefault(nonNegative, 0),
      }),
    ),
    [],
  ),
  objectives: v.optional(v.array(v.record(v.string(), v.union([v.string(), v.number()]))), []),
  workers: v.optional(
    v.object({
      report_s: withDefault(positive, 3),
      lease_s: withDefault(positive, 20),
      gang_wait_s: withDefault(positive, 40),
      gang_peer_s: withDefault(positive, 5),
      cancel_s: withDefault(positive, 45),
    }),
    {},
  ),
  state: v.optional(
    v.object({
      rps: withDefault(positive, 150),
      write_rps: withDefault(positive, 50),
      value_kb: withDefault(positive, 8),
      txn_ops: withDefault(v.pipe(nonNegativeInteger, v.minValue(1)), 32),
    }),
    {},
  ),
  cloud: v.optional(
    v.object({ rps: withDefault(positive, 10), list_lag_s: withDefault(nonNegative, 5) }),
    {},
  ),
  spot: v.optional(
    v.object({ per_hour: withDefault(nonNegative, 0.4), notice_s: withDefault(nonNegative, 20) }),
    {},
  ),
  boot_fail: withDefault(fraction, 0.01),
  /** Delay of a message in one direction. */
  network: v.optional(
    v.object({
      same_zone_ms: withDefault(nonNegative, 0),
      cross_zone_ms: withDefault(nonNegative, 0),
      cross_region_ms: withDefault(nonNegative, 0),
    }),
    {},
  ),
  /** Resource limits that each controller is given. */
  controllers: v.optional(
    v.object({
      cores: withDefault(positive, 1),
      memory_mb: withDefault(positive, 250),
      max_sockets: withDefault(positive, 1000),
    }),
    {},
  ),
});

/** Contents of a platform file, which describes a cluster on one machine. */
export type Platform = v.InferOutput<typeof platformSchema>;

const BUILTIN_PLATFORM = `
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

/**
 * Reads a platform file; the path `builtin` selects a small example platform. Throws a `SettingsError` that names the
 * invalid field.
 */
export function loadPlatform(path: string): Platform {
  let raw: unknown;
  try {
    raw = parse(path === 'builtin' ? BUILTIN_PLATFORM : readFileSync(path, 'utf8'));
  } catch (error) {
    throw new SettingsError(`${path}: ${error instanceof Error ? error.message.split('\n')[0] : error}`);
  }
  const parsed = v.safeParse(platformSchema, raw);
  if (!parsed.success)
    throw new SettingsError(
      `${path}: ${v.getDotPath(parsed.issues[0]) ?? 'file'}: ${parsed.issues[0].message}`,
    );
  for (const [i, c] of parsed.output.capacity.entries()) {
    if (!parsed.output.machine_types.some((t) => t.name === c.type))
      throw new SettingsError(`${path}: capacity.${i}.type: no machine type ${c.type}`);
    if (!parsed.output.zones.includes(c.zone))
      throw new SettingsError(`${path}: capacity.${i}.zone: no zone ${c.zone}`);
  }
  checkRegions(path, parsed.output);
  return parsed.output;
}

/** Checks that every zone is in exactly one region, unless no regions are configured. */
function checkRegions(path: string, platform: Platform): void {
  const regions = Object.entries(platform.regions);
  if (regions.length === 0) return;
  const zonesInRegions = regions.flatMap(([, zones]) => zones);
  for (const [region, zones] of regions)
    for (const zone of zones)
      if (!platform.zones.includes(zone))
        throw new SettingsError(`${path}: regions.${region}: no zone ${zone}`);
  for (const zone of platform.zones)
    if (zonesInRegions.filter((z) => z === zone).length !== 1)
      throw new SettingsError(`${path}: regions: ${zone} must be in one region`);
}

/** Returns the machine types of a platform file in the form in which the cloud lists them. */
export function typesOf(platform: Platform): MachineType[] {
  return platform.machine_types.map((machineType) => ({
    name: machineType.name,
    cpus: machineType.cpus,
    gpus: machineType.gpus,
    memoryGb: machineType.memory_gb,
    cacheGb: machineType.cache_gb,
    fetchGbPerS: machineType.fetch_gb_per_s,
    price: machineType.price,
    spotPrice: machineType.spot_price,
    bootS: machineType.boot_s,
    zones: [...new Set(platform.capacity.filter((c) => c.type === machineType.name).map((c) => c.zone))],
  }));
}

/** Returns the machine capacity of the zones of a platform file. */
export const capacityOf = (platform: Platform): Capacity[] => platform.capacity;

/** Addresses of a controller of an emulated cluster. */
export interface ControllerEndpoints {
  node: string;
  zone: string;
  bind: string;
  peerBind: string;
  /** Address of the relay through which the other controllers reach it. */
  peerAddr: string;
  cloud: string;
  state: string;
}

/** Returns the contents of one controller's settings file. */
export function settingsOf(
  platform: Platform,
  own: ControllerEndpoints,
  all: readonly ControllerEndpoints[],
): string {
  return stringify({
    node: own.node,
    zone: own.zone,
    bind: own.bind,
    peer_bind: own.peerBind,
    seeds: all.filter((n) => n !== own).map((n) => ({ node: n.node, zone: n.zone, endpoint: n.peerAddr })),
    external: { cloud: own.cloud, state: own.state },
    params: {
      initial_size: all.length,
      zones: platform.zones,
      regions: platform.regions,
      skew_ms: 1000,
      teams: platform.teams,
      objectives: platform.objectives,
      workers: platform.workers,
      state: platform.state,
      cloud: platform.cloud,
      limits: platform.controllers,
    },
  });
}
