import type { Platform } from './platform.js';

/** Where something is: services belong to a region only, machines to a rack of a zone. */
export interface Site {
  region: string;
  zone: string | null;
  rack: number | null;
}

/** A part of the network that has lost its links to the rest, or two regions that have lost theirs to each other. */
export type Cut =
  | { kind: 'rack'; zone: string; rack: number }
  | { kind: 'zone'; zone: string }
  | { kind: 'regions' };

const ONLY_REGION = 'region';

/** The delays and cuts between the sites of an emulated cluster. */
export class Network {
  private readonly cuts = new Set<Cut>();
  private readonly regionOf = new Map<string, string>();

  constructor(private readonly platform: Pick<Platform, 'zones' | 'regions' | 'network' | 'racks_per_zone'>) {
    for (const [region, zones] of Object.entries(platform.regions))
      for (const zone of zones) this.regionOf.set(zone, region);
  }

  /** The site of a controller in a zone; controllers stand in no rack of workers. */
  inZone(zone: string): Site {
    return { region: this.region(zone), zone, rack: null };
  }

  /** The site of a machine; machines of a zone are spread over its racks by their number. */
  inRack(zone: string, machine: number): Site {
    return { ...this.inZone(zone), rack: machine % this.platform.racks_per_zone };
  }

  /** The site of the services and users, which belong to no zone. */
  get services(): Site {
    return { region: this.region(this.platform.zones[0]!), zone: null, rack: null };
  }

  /** Delay of a message from one site to another, in milliseconds. */
  delayMs(a: Site, b: Site): number {
    const { same_zone_ms, cross_zone_ms, cross_region_ms } = this.platform.network;
    if (a.region !== b.region) return cross_region_ms;
    return a.zone === b.zone ? same_zone_ms : cross_zone_ms;
  }

  /** Whether no message passes between two sites. */
  apart(a: Site, b: Site): boolean {
    for (const cut of this.cuts) if (separates(cut, a, b)) return true;
    return false;
  }

  /** Cuts links; returns what restores them. */
  cut(cut: Cut): () => void {
    this.cuts.add(cut);
    return () => this.cuts.delete(cut);
  }

  private region(zone: string): string {
    return this.regionOf.get(zone) ?? ONLY_REGION;
  }
}

function separates(cut: Cut, a: Site, b: Site): boolean {
  if (cut.kind === 'regions') return a.region !== b.region;
  if (cut.kind === 'zone') return (a.zone === cut.zone) !== (b.zone === cut.zone);
  const inRack = (s: Site) => s.zone === cut.zone && s.rack === cut.rack;
  return inRack(a) !== inRack(b);
}
