import { pause } from '../clock/clock.js';
import { CloudError } from '../cloud/cloud.js';
import { maxMachinesPerShard } from '../config/settings.js';
import { chooseRentals, type RentOption, type Shortage } from '../plan/rentalchoice.js';
import { RENT_LIMIT, type Rental } from '../wire/cloud.js';
import type { MachineRecords } from './machinerecords.js';
import type { AutoscalerOptions } from './options.js';

/** Backoff after which an unavailable kind of machine is requested again; doubled with each failure. */
const NO_CAPACITY_BACKOFF_MS = 15_000;
const MAX_NO_CAPACITY_BACKOFF_MS = 30_000;
/** Maximum fraction of the cloud's request rate that all shards together use to probe for unavailable kinds. */
const PROBING_FRACTION = 0.2;
/** While the cloud fails, one rental at a time is attempted, at growing intervals. */
const CLOUD_BACKOFF_MS = 1000;
const MAX_CLOUD_BACKOFF_MS = 2500;
const MAX_PENDING_RENTALS = 6;

/** Machines that have been requested from the cloud and are not recorded yet. */
export interface PendingRental {
  readonly option: RentOption;
  readonly count: number;
  /** When the rental was started, in monotonic milliseconds. */
  readonly at: number;
}

/** A pause of `pauseMs` milliseconds during which nothing is attempted, and its end in monotonic milliseconds. */
interface Backoff {
  readonly until: number;
  readonly pauseMs: number;
}

/** The outcome of a rental. */
type RentalOutcome =
  | { readonly kind: 'rented'; readonly machines: string[] }
  /** The cloud currently has no such machines. */
  | { readonly kind: 'noCapacity' }
  /** The cloud did not answer, or failed; the demand is planned again. */
  | { readonly kind: 'failed' };

const NO_BACKOFF: Backoff = { until: 0, pauseMs: 0 };

/** Rents a shard's machines. */
export class ScaleOut {
  readonly rentals = new Set<PendingRental>();
  /** Backoffs of the kinds of machine that were unavailable, by `kindKey`. */
  private readonly unavailableKinds = new Map<string, Backoff>();
  private cloudBackoff = NO_BACKOFF;

  constructor(
    private readonly options: AutoscalerOptions,
    private readonly records: MachineRecords,
  ) {}

  /** Returns whether any machine may be rented at `now`. */
  mayRent(now: number): boolean {
    const { context, registry } = this.options;
    return (
      this.rentals.size < MAX_PENDING_RENTALS &&
      now >= this.cloudBackoff.until &&
      registry.machines.size < maxMachinesPerShard(context.settings.limits.maxSockets) &&
      this.rentOptions(now).length > 0
    );
  }

  /** Rents machines for tasks that would wait too long, in the order of `shortages`. */
  rentFor(shortages: Shortage[], now: number): void {
    const { context, registry, hooks } = this.options;
    const maxRentals = MAX_PENDING_RENTALS - this.rentals.size;
    if (shortages.length === 0 || maxRentals <= 0 || now < this.cloudBackoff.until) return;
    // A shard may have no more machines than its owner has connections for.
    let maxMachines = maxMachinesPerShard(context.settings.limits.maxSockets) - registry.machines.size;
    for (const r of this.rentals) maxMachines -= r.count;
    const wanted = [];
    for (const rental of chooseRentals(shortages, this.rentOptions(now), RENT_LIMIT).slice(0, maxRentals)) {
      const count = Math.min(rental.count, maxMachines);
      if (count <= 0) break;
      maxMachines -= count;
      wanted.push({ option: rental.option, count });
    }
    for (const rental of wanted) void this.rent(rental.option, rental.count);
    if (wanted.length > 0) hooks.requestPlan();
  }

  /** Returns the machines that may be rented now; among equal options the shard's own zone comes first. */
  rentOptions(now: number): RentOption[] {
    const { catalog, names, settings } = this.options.context;
    const options: RentOption[] = [];
    for (const [type, machineType] of catalog.offeredTypes()) {
      // Among equals the shard's own zone comes first, because a partition between zones does not cut the shard off
      // from it.
      const zones = [...machineType.zones].sort(
        (a, b) => Number(b === settings.zone) - Number(a === settings.zone),
      );
      for (const zoneName of zones) {
        const zone = names.zones.index(zoneName);
        for (const spot of [true, false]) {
          if (spot && machineType.spotPrice <= 0) continue;
          if ((this.unavailableKinds.get(kindKey(type, zone, spot))?.until ?? 0) > now) continue;
          const size = { cpus: machineType.cpus, gpus: machineType.gpus, memoryGb: machineType.memoryGb };
          options.push({
            type,
            zone,
            spot,
            size,
            price: spot ? machineType.spotPrice : machineType.price,
            bootS: machineType.bootS,
          });
        }
      }
    }
    return options;
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
      this.recordAvailability(kindKey(option.type, option.zone, option.spot), rented?.length === count);
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

  /** Requests machines from the cloud; repeats a request without an answer, since it may have been executed. */
  private async requestRental(request: Rental): Promise<RentalOutcome> {
    const { context, hooks, log } = this.options;
    while (!hooks.isStopped()) {
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
        // After an outage the demand is planned again; the same request is repeated only while it may have been
        // executed.
        if (!(error instanceof CloudError) || !error.mayHaveApplied) break;
      }
    }
    return { kind: 'failed' };
  }

  private recordAvailability(key: string, available: boolean): void {
    if (available) {
      this.unavailableKinds.delete(key);
      return;
    }
    const { catalog, clock, settings } = this.options.context;
    const kinds = catalog
      .offeredTypes()
      .reduce((sum, [, machineType]) => sum + 2 * machineType.zones.length, 0);
    const probingRate = Math.max(0.1, settings.cloudLimits.rps * PROBING_FRACTION);
    // The time that all shards need to request all kinds one after another at that rate.
    const probingMs = (kinds * settings.nodes * 1000) / probingRate;
    const pauseMs = Math.min(
      Math.max(MAX_NO_CAPACITY_BACKOFF_MS, probingMs),
      (this.unavailableKinds.get(key)?.pauseMs ?? NO_CAPACITY_BACKOFF_MS / 2) * 2,
    );
    this.unavailableKinds.set(key, { until: clock.now() + pauseMs, pauseMs });
  }
}

/** Returns the key of a kind of machine: the indices of its type and zone, and whether it is a spot machine. */
export function kindKey(type: number, zone: number, spot: boolean): string {
  return `${type}/${zone}/${spot}`;
}
