import * as v from 'valibot';

/** What the cloud offers and answers. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  id: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
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

export function readRented(body: unknown): string[] | null {
  const parsed = v.safeParse(rentedBody, body);
  return parsed.success ? parsed.output.workers : null;
}

export function writeRental(
  request: string,
  type: string,
  zone: string,
  spot: boolean,
  count: number,
): object {
  return { booking: request, flavor: type, yard: zone, loaner: spot, count };
}

export function writeRelease(machines: string[]): object {
  return { workers: machines };
}

export function listPath(after: string | null, limit: number): string {
  const since = after === null ? '' : `since=${encodeURIComponent(after)}&`;
  return `${CLOUD_PATHS.machines}?${since}most=${limit}`;
}

export const CLOUD_PATHS = {
  types: '/flavors',
  machines: '/machines',
  release: '/machines/release',
} as const;
export const RENT_LIMIT = 50;
export const RELEASE_LIMIT = 100;

// --- the cloud's side

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

export interface Rental {
  request: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export function readRental(body: unknown): Rental | null {
  const p = v.safeParse(rentalBody, body);
  if (!p.success) return null;
  const { booking, flavor, yard, loaner, count } = p.output;
  return { request: booking, type: flavor, zone: yard, spot: loaner, count };
}

const releaseBody = v.object({ workers: v.pipe(v.array(v.string()), v.maxLength(RELEASE_LIMIT)) });

export function readRelease(body: unknown): string[] | null {
  const p = v.safeParse(releaseBody, body);
  return p.success ? p.output.workers : null;
}
