/**
 * Encodes requests to the cloud and decodes its responses. The protocol calls a machine type `flavor`, a zone `yard`,
 * a spot machine `loaner`, the id of a rental request `booking`, and machines `workers`. The types below use the
 * standard terms; where a field has another name in the protocol, its comment gives that name in backquotes.
 */

import * as v from 'valibot';

/** A machine type offered by the cloud: an element of `flavors`. */
export interface MachineType {
  /** `label`. */
  name: string;
  cpus: number;
  /** `cards`. */
  gpus: number;
  memoryGb: number;
  /** `localGb`: disk space for cached images. */
  cacheGb: number;
  /** `pullGbPerS`: the rate at which images are fetched. */
  fetchGbPerS: number;
  /** Price per hour. */
  price: number;
  /** `lowPrice`: the price per hour of a spot machine. */
  spotPrice: number;
  /** `readyS`: time from the rental to the first heartbeat. */
  bootS: number;
  /** `yards`. */
  zones: string[];
}

/** A rented machine in the cloud's list: an element of `workers`. */
export interface ListedMachine {
  id: string;
  /** `host:port` of its worker; empty while it has none. */
  addr: string;
  /** `flavor`. */
  type: string;
  /** `yard`. */
  zone: string;
  /** `loaner`. */
  spot: boolean;
  /** `status`, where `starting` means booting. */
  state: 'booting' | 'running' | 'failed';
  /** `heldS`: time since the rental. */
  ageS: number;
}

const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0));
const typesBody = v.object({
  flavors: v.array(
    v.object({
      label: v.string(),
      cpus: nonNegative,
      cards: v.optional(nonNegative, 0),
      memoryGb: nonNegative,
      localGb: v.optional(nonNegative, 0),
      pullGbPerS: v.optional(nonNegative, 1),
      price: nonNegative,
      lowPrice: v.optional(nonNegative, 0),
      readyS: nonNegative,
      yards: v.array(v.string()),
    }),
  ),
});

/** Decodes the response to `CLOUD_PATHS.types`; returns null if it is malformed. */
export function readTypes(body: unknown): MachineType[] | null {
  const parsed = v.safeParse(typesBody, body);
  if (!parsed.success) return null;
  return parsed.output.flavors.map((flavor) => ({
    name: flavor.label,
    cpus: flavor.cpus,
    gpus: flavor.cards,
    memoryGb: flavor.memoryGb,
    cacheGb: flavor.localGb,
    fetchGbPerS: flavor.pullGbPerS > 0 ? flavor.pullGbPerS : 0.1,
    price: flavor.price,
    spotPrice: flavor.lowPrice,
    bootS: flavor.readyS,
    zones: flavor.yards,
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

/** Decodes a page of machines (`listPath`); returns null if it is malformed. `more`: further pages follow. */
export function readList(body: unknown): { machines: ListedMachine[]; more: boolean } | null {
  const parsed = v.safeParse(listBody, body);
  if (!parsed.success) return null;
  return {
    more: parsed.output.more,
    machines: parsed.output.workers.map((worker) => ({
      id: worker.id,
      addr: worker.addr ?? '',
      type: worker.flavor,
      zone: worker.yard,
      spot: worker.loaner,
      state: worker.status === 'starting' ? 'booting' : worker.status === 'failed' ? 'failed' : 'running',
      ageS: worker.heldS,
    })),
  };
}

const rentedBody = v.object({ workers: v.array(v.string()) });

/** Decodes the response to a rental: the ids of the rented machines (`workers`); returns null if it is malformed. */
export function readRented(body: unknown): string[] | null {
  const parsed = v.safeParse(rentedBody, body);
  return parsed.success ? parsed.output.workers : null;
}

/** Encodes a rental. `request` (`booking`) is the id of the request, by which the cloud detects a retry. */
export function writeRental(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): object {
  return { booking: request, flavor: type, yard: zone, loaner: spot, count };
}

/** Encodes a release: the ids of the machines (`workers`). */
export function writeRelease(machines: string[]): object {
  return { workers: machines };
}

/** Returns the path of a page of machines: those after an id (`since`), at most `limit` (`most`) of them. */
export function listPath(after: string | null, limit: number): string {
  const since = after === null ? '' : `since=${encodeURIComponent(after)}&`;
  return `${CLOUD_PATHS.machines}?${since}most=${limit}`;
}

/** Paths of the cloud's API; a POST to `machines` rents machines. */
export const CLOUD_PATHS = {
  types: '/flavors',
  machines: '/machines',
  release: '/machines/release',
} as const;
/** Maximum number of machines per rental. */
export const RENT_LIMIT = 50;
/** Maximum number of machines per release. */
export const RELEASE_LIMIT = 100;

// --- The cloud's side of the protocol.

/** Encodes the response that `readTypes` decodes. */
export function writeTypes(types: readonly MachineType[]): object {
  return {
    flavors: types.map((type) => ({
      label: type.name,
      cpus: type.cpus,
      cards: type.gpus,
      memoryGb: type.memoryGb,
      localGb: type.cacheGb,
      pullGbPerS: type.fetchGbPerS,
      price: type.price,
      lowPrice: type.spotPrice,
      readyS: type.bootS,
      yards: type.zones,
    })),
  };
}

const STATUS_WORDS = { booting: 'starting', running: 'running', failed: 'failed' } as const;

/** Encodes the response that `readList` decodes. */
export function writeList(machines: readonly ListedMachine[], more: boolean): object {
  return {
    workers: machines.map((machine) => ({
      id: machine.id,
      addr: machine.addr,
      flavor: machine.type,
      yard: machine.zone,
      loaner: machine.spot,
      status: STATUS_WORDS[machine.state],
      heldS: machine.ageS,
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

/** A request to rent `count` machines of the same type, zone and spot setting. */
export interface Rental {
  /** `booking`: the idempotency key; a retry with the same key rents no further machines. */
  request: string;
  /** `flavor`. */
  type: string;
  /** `yard`. */
  zone: string;
  /** `loaner`. */
  spot: boolean;
  count: number;
}

/** Decodes what `writeRental` encodes; returns null if it is malformed. */
export function readRental(body: unknown): Rental | null {
  const parsed = v.safeParse(rentalBody, body);
  if (!parsed.success) return null;
  const { booking, flavor, yard, loaner, count } = parsed.output;
  return { request: booking, type: flavor, zone: yard, spot: loaner, count };
}

const releaseBody = v.object({ workers: v.pipe(v.array(v.string()), v.maxLength(RELEASE_LIMIT)) });

/** Decodes what `writeRelease` encodes; returns null if it is malformed. */
export function readRelease(body: unknown): string[] | null {
  const parsed = v.safeParse(releaseBody, body);
  return parsed.success ? parsed.output.workers : null;
}
