/**
 * Requests to the cloud and its responses. Its words: `flavor` is a machine type, `yard` a zone, `loaner` a spot machine,
 * `booking` the id of a rental request, `workers` machines; the fields below have the term.
 */

import * as v from 'valibot';

/** A machine type (`flavors[]`) that the cloud offers. */
export interface MachineType {
  /** `label`. */
  name: string;
  cpus: number;
  /** `cards`. */
  gpus: number;
  memoryGb: number;
  /** `localGb`: disk for images. */
  cacheGb: number;
  /** `pullGbPerS`: the rate at which images are fetched. */
  fetchGbPerS: number;
  /** Per hour. */
  price: number;
  /** `lowPrice`: the price of a spot machine. */
  spotPrice: number;
  /** `readyS`: from the rental to the first heartbeat. */
  bootS: number;
  /** `yards`. */
  zones: string[];
}

/** A rented machine (`workers[]`) as the cloud lists it. */
export interface ListedMachine {
  id: string;
  /** `host:port` of its worker; empty until it has one. */
  addr: string;
  /** `flavor`. */
  type: string;
  /** `yard`. */
  zone: string;
  /** `loaner`. */
  spot: boolean;
  /** `status`, in which `starting` is booting. */
  state: 'booting' | 'running' | 'failed';
  /** `heldS`: time since it was rented. */
  ageS: number;
}

const num = v.pipe(v.number(), v.finite(), v.minValue(0));
const typesBody = v.object({
  flavors: v.array(
    v.object({
      label: v.string(),
      cpus: num,
      cards: v.optional(num, 0),
      memoryGb: num,
      localGb: v.optional(num, 0),
      pullGbPerS: v.optional(num, 1),
      price: num,
      lowPrice: v.optional(num, 0),
      readyS: num,
      yards: v.array(v.string()),
    }),
  ),
});

/** The response to `CLOUD_PATHS.types`; null when it is malformed. */
export function readTypes(body: unknown): MachineType[] | null {
  const parsed = v.safeParse(typesBody, body);
  if (!parsed.success) return null;
  return parsed.output.flavors.map((f) => ({
    name: f.label,
    cpus: f.cpus,
    gpus: f.cards,
    memoryGb: f.memoryGb,
    cacheGb: f.localGb,
    fetchGbPerS: f.pullGbPerS > 0 ? f.pullGbPerS : 0.1,
    price: f.price,
    spotPrice: f.lowPrice,
    bootS: f.readyS,
    zones: f.yards,
  }));
}

const listBody = v.object({
  workers: v.array(
    v.object({
      id: v.string(),
      addr: v.nullish(v.string()),
      flavor: v.string(),
      yard: v.string(),
      loaner: v.boolean(),
      status: v.string(),
      heldS: v.optional(v.number(), 0),
    }),
  ),
  more: v.optional(v.boolean(), false),
});

/** One page (`more`: not the last) of the response to `listPath`; null when it is malformed. */
export function readList(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const parsed = v.safeParse(listBody, body);
  if (!parsed.success) return null;
  return {
    more: parsed.output.more,
    machines: parsed.output.workers.map((w) => ({
      id: w.id,
      addr: w.addr ?? '',
      type: w.flavor,
      zone: w.yard,
      spot: w.loaner,
      state: w.status === 'starting' ? 'booting' : w.status === 'failed' ? 'failed' : 'running',
      ageS: w.heldS,
    })),
  };
}

const rentedBody = v.object({ workers: v.array(v.string()) });

/** The response to a rental: the ids of the machines (`workers`); null when it is malformed. */
export function readRented(body: unknown): string[] | null {
  const parsed = v.safeParse(rentedBody, body);
  return parsed.success ? parsed.output.workers : null;
}

/** The body of a rental: `booking` is the request's id, by which a repeated request is recognised. */
export function writeRental(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): object {
  return { booking: request, flavor: type, yard: zone, loaner: spot, count };
}

/** The body of a release: the ids of the machines (`workers`). */
export function writeRelease(machines: string[]): object {
  return { workers: machines };
}

/** The path of a page of the list: machines after an id (`since`), at most `limit` (`most`). */
export function listPath(after: string | null, limit: number): string {
  const since = after === null ? '' : `since=${encodeURIComponent(after)}&`;
  return `${CLOUD_PATHS.machines}?${since}most=${limit}`;
}

/** The paths of the cloud; a POST to `machines` rents. */
export const CLOUD_PATHS = {
  types: '/flavors',
  machines: '/machines',
  release: '/machines/release',
} as const;
/** The most machines of one rental. */
export const RENT_LIMIT = 50;
/** The most machines of one release. */
export const RELEASE_LIMIT = 100;

// --- the cloud's side

/** The cloud's side of `readTypes`. */
export function writeTypes(types: readonly MachineType[]): object {
  return {
    flavors: types.map((t) => ({
      label: t.name,
      cpus: t.cpus,
      cards: t.gpus,
      memoryGb: t.memoryGb,
      localGb: t.cacheGb,
      pullGbPerS: t.fetchGbPerS,
      price: t.price,
      lowPrice: t.spotPrice,
      readyS: t.bootS,
      yards: t.zones,
    })),
  };
}

const STATUS_WORDS = { booting: 'starting', running: 'running', failed: 'failed' } as const;

/** The cloud's side of `readList`. */
export function writeList(machines: readonly ListedMachine[], more: boolean): object {
  return {
    workers: machines.map((m) => ({
      id: m.id,
      addr: m.addr,
      flavor: m.type,
      yard: m.zone,
      loaner: m.spot,
      status: STATUS_WORDS[m.state],
      heldS: m.ageS,
    })),
    more,
  };
}

const rentalBody = v.object({
  booking: v.pipe(v.string(), v.minLength(1)),
  flavor: v.string(),
  yard: v.string(),
  loaner: v.boolean(),
  count: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(RENT_LIMIT)),
});

/** A request to rent `count` machines of one kind. */
export interface Rental {
  /** `booking`: an id; a request that is repeated under it rents nothing more. */
  request: string;
  /** `flavor`. */
  type: string;
  /** `yard`. */
  zone: string;
  /** `loaner`. */
  spot: boolean;
  count: number;
}

/** The cloud's side of `writeRental`; null when it is malformed. */
export function readRental(body: unknown): Rental | null {
  const p = v.safeParse(rentalBody, body);
  if (!p.success) return null;
  const { booking, flavor, yard, loaner, count } = p.output;
  return { request: booking, type: flavor, zone: yard, spot: loaner, count };
}

const releaseBody = v.object({ workers: v.pipe(v.array(v.string()), v.maxLength(RELEASE_LIMIT)) });

/** The cloud's side of `writeRelease`; null when it is malformed. */
export function readRelease(body: unknown): string[] | null {
  const p = v.safeParse(releaseBody, body);
  return p.success ? p.output.workers : null;
}
