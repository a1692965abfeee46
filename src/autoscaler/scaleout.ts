import { pause } from '../clock/clock.js';
import { CloudError } from '../cloud/cloud.js';
import { maxMachinesPerShard } from '../config/settings.js';
import { chooseRentals, type RentOption, type Shortage } from '../plan/rentalchoice.js';
import { RENT_LIMIT, type Rental } from '../wire/cloud.js';
import type { MachineRecords } from './machinerecords.js';
import type { AutoscalerOptions } from './options.js';

/** A kind of machine that is not available is asked for again after this, and after twice as long each time. */
const NO_CAPACITY_BACKOFF_MS = 15_000;
const MAX_NO_CAPACITY_BACKOFF_MS = 30_000;
/** All shards asking for all kinds that are not available take no more than this of the cloud's rate. */
const PROBING_FRACTION = 0.2;
/** While the cloud fails, one rental at a time is tried, at growing intervals. */
const CLOUD_BACKOFF_MS = 1000;
const MAX_CLOUD_BACKOFF_MS = 2500;
const MAX_PENDING_RENTALS = 6;

/** Machines that have been asked for and are not recorded yet. */
export interface PendingRental {
  readonly option: RentOption;
  readonly count: number;
  /** When it began, in steady milliseconds. */
  readonly at: number;
}

/** Nothing is tried until then (steady milliseconds), after a pause of so many milliseconds. */
interface Backoff {
  readonly until: number;
  readonly pauseMs: number;
}

/** What became of a rental. */
type RentalOutcome =
  | { readonly kind: 'rented'; readonly machines: string[] }
  /** The cloud has no such machines at present. */
  | { readonly kind: 'noCapacity' }
  /** The cloud did not answer, or failed; what was wanted is planned anew. */
  | { readonly kind: 'failed' };

const NO_BACKOFF: Backoff = { until: 0, pauseMs: 0 };

/** Rents a shard's machines. */
export class ScaleOut {
  readonly rentals = new Set<PendingRental>();
  /** Kinds of machine (`kindKey`) that were not available. */
  private readonly unavailableKinds = new Map<string, Backoff>();
  private cloudBackoff = NO_BACKOFF;

  constructor(
    private readonly options: AutoscalerOptions,
    private readonly records: MachineRecords,
  ) {}

  /** Whether anything could be rented now. */
  mayRent(now: number): boolean {
    const { context, registry } = this.options;
    return (
      this.rentals.size < MAX_PENDING_RENTALS &&
      now >= this.cloudBackoff.until &&
      registry.machines.size < maxMachinesPerShard(context.settings.limits.maxSockets) &&
      this.rentOptions(now).length > 0
    );
  }

  /** Rents for tasks that would wait too long, the first shortage first. */
  rentFor(shortages: Shortage[], now: number): void {
    const { context, registry, hooks } = this.options;
    const maxRentals = MAX_PENDING_RENTALS - this.rentals.size;
    if (shortages.length === 0 || maxRentals <= 0 || now < this.cloudBackoff.until) return;
    // A shard has no more machines than its owner has connections for.
    let maxMachines = maxMachinesPerShard(context.settings.limits.maxSockets) - registry.machines.size;
    for (const r of this.rentals) maxMachines -= r.count;
    const wanted = [];
    for (const w of chooseRentals(shortages, this.rentOptions(now), RENT_LIMIT).slice(0, maxRentals)) {
      const count = Math.min(w.count, maxMachines);
      if (count <= 0) break;
      maxMachines -= count;
      wanted.push({ option: w.option, count });
    }
    for (const w of wanted) void this.rent(w.option, w.count);
    if (wanted.length > 0) hooks.requestPlan();
  }

  /** What may be rented now, the shard's own zone first among equals. */
  rentOptions(now: number): RentOption[] {
    const { catalog, names, settings } = this.options.context;
    const out: RentOption[] = [];
    for (const [type, t] of catalog.all()) {
      // Among equals its own zone comes first: a cut between zones does not part the shard from it.
      const zones = [...t.zones].sort((a, b) => Number(b === settings.zone) - Number(a === settings.zone));
      for (const z of zones) {
        const zone = names.zones.index(z);
        for (const spot of [true, false]) {
          if (spot && t.spotPrice <= 0) continue;
          if ((this.unavailableKinds.get(kindKey(type, zone, spot))?.until ?? 0) > now) continue;
          const size = { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb };
          out.push({ type, zone, spot, size, price: spot ? t.spotPrice : t.price, bootS: t.bootS });
        }
      }
    }
    return out;
  }

  private async rent(option: RentOption, count: number): Promise<void> {
    const { context, hooks, log } = this.options;
    const { names } = context;
    const pending: PendingRental = { option, count, at: context.clock.now() };
    const request = {
      request: hooks.uniqueName('r'),
      type: names.types.name(option.type),
      zone: names.zones.name(option.zone),
      spot: option.spot,
      count,
    };
    this.rentals.add(pending);
    try {
      const outcome = await this.requestRental(request);
      if (outcome.kind === 'failed') return;
      const rented = outcome.kind === 'rented' ? outcome.machines : null;
      this.noteAvailability(kindKey(option.type, option.zone, option.spot), rented?.length === count);
      log[rented ? 'info' : 'debug'](
        { ...request, rented },
        rented ? 'machines rented' : 'no machines to rent',
      );
      if (rented) await this.records.recordRented(rented, request, pending.at);
    } finally {
      this.rentals.delete(pending);
      hooks.requestPlan();
    }
  }

  /** Asks the cloud for machines. A request without an answer is repeated, since it may have been executed. */
  private async requestRental(request: Rental): Promise<RentalOutcome> {
    const { context, hooks, log } = this.options;
    while (!hooks.stopped()) {
      try {
        const machines = await context.cloud.rent(request);
        this.cloudBackoff = NO_BACKOFF;
        return machines ? { kind: 'rented', machines } : { kind: 'noCapacity' };
      } catch (error) {
        log.info({ ...request, err: error }, 'rental failed');
        const pauseMs = Math.min(
          MAX_CLOUD_BACKOFF_MS,
          Math.max(CLOUD_BACKOFF_MS, this.cloudBackoff.pauseMs * 2),
        );
        this.cloudBackoff = { until: context.clock.now() + pauseMs, pauseMs };
        await pause(context.clock, pauseMs);
        // After an outage, what was wanted is planned anew; the same request is only repeated while it may have worked.
        if (!(error instanceof CloudError) || !error.mayHaveApplied) break;
      }
    }
    return { kind: 'failed' };
  }

  private noteAvailability(key: string, available: boolean): void {
    if (available) {
      this.unavailableKinds.delete(key);
      return;
    }
    const { catalog, clock, settings } = this.options.context;
    const kinds = catalog.all().reduce((sum, [, t]) => sum + 2 * t.zones.length, 0);
    const probingRate = Math.max(0.1, settings.cloudLimits.rps * PROBING_FRACTION);
    // All shards that ask for all kinds, one after the other, take so long.
    const probingMs = (kinds * settings.nodes * 1000) / probingRate;
    const pauseMs = Math.min(
      Math.max(MAX_NO_CAPACITY_BACKOFF_MS, probingMs),
      (this.unavailableKinds.get(key)?.pauseMs ?? NO_CAPACITY_BACKOFF_MS / 2) * 2,
    );
    this.unavailableKinds.set(key, { until: clock.now() + pauseMs, pauseMs });
  }
}

/** Names a kind of machine by indices: type, zone, and whether it is a spot one. */
export function kindKey(type: number, zone: number, spot: boolean): string {
  return `${type}/${zone}/${spot}`;
}
