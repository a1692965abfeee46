import type { Platform } from './platform.js';

/** Network location: services belong to a region only, controllers to a zone, machines to a rack of a zone. */
export interface Site {
  region: string;
  zone: string | null;
  rack: number | null;
}

/** Network partition: a rack or zone is separated from the rest, or the regions from each other. */
export type NetworkCut =
  | { kind: 'rack'; zone: string; rack: number }
  | { kind: 'zone'; zone: string }
  | { kind: 'regions' };

const DEFAULT_REGION = 'region';

/** Delays and partitions between the sites of an emulated cluster. */
export class Network {
  private readonly cuts = new Set<NetworkCut>();
  private readonly regionOf = new Map<string, string>();

  constructor(private readonly platform: Pick<Platform, 'zones' | 'regions' | 'network' | 'racks_per_zone'>) {
    for (const [region, zones] of Object.entries(platform.regions))
      for (const zone of zones) this.regionOf.set(zone, region);
  }

  /** Returns the site of a controller in a zone; controllers are in none of the workers' racks. */
  inZone(zone: string): Site {
    return { region: this.region(zone), zone, rack: null };
  }

  /** Returns the site of a machine; the machines of a zone are spread over its racks by their number. */
  inRack(zone: string, machine: number): Site {
    return { ...this.inZone(zone), rack: machine % this.platform.racks_per_zone };
  }

  /** Site of the services and users, which belong to no zone. */
  get services(): Site {
    return { region: this.region(this.platform.zones[0]!), zone: null, rack: null };
  }

  /** Returns the delay of a message from one site to another, in milliseconds. */
  delayMs(a: Site, b: Site): number {
    const { same_zone_ms, cross_zone_ms, cross_region_ms } = this.platform.network;
    if (a.region !== b.region) return cross_region_ms;
    return a.zone === b.zone ? same_zone_ms : cross_zone_ms;
  }

  /** Returns whether a partition separates two sites, so that no message passes between them. */
  isSeparated(a: Site, b: Site): boolean {
    for (const cut of this.cuts) if (isBetween(cut, a, b)) return true;
    return false;
  }

  /** Starts a partition; returns a function that ends it. */
  startPartition(cut: NetworkCut): () => void {
    this.cuts.add(cut);
    return () => this.cuts.delete(cut);
  }

  private region(zone: string): string {
    return this.regionOf.get(zone) ?? DEFAULT_REGION;
  }
}

function isBetween(cut: NetworkCut, a: Site, b: Site): boolean {
  if (cut.kind === 'regions') return a.region !== b.region;
  if (cut.kind === 'zone') return (a.zone === cut.zone) !== (b.zone === cut.zone);
  const inRack = (s: Site) => s.zone === cut.zone && s.rack === cut.rack;
  return inRack(a) !== inRack(b);
}
