import { Ad, type Expr, LIMITS, type Value } from '../classad/ast.js';
import { asNumber, evaluate } from '../classad/evaluate.js';
import { namesAsked } from '../classad/flatten.js';
import { parseExpr } from '../classad/parser.js';
import type { MatchCompiler } from '../context/context.js';
import type { MachineTypeCatalog } from '../context/machinetypecatalog.js';
import type { NameTables } from '../context/nametables.js';
import type { Match, PlanMachine } from '../plan/model.js';
import type { MachineType } from '../wire/cloud.js';
import type { MatchSpec } from '../wire/users.js';

/** Attributes that change with what a machine holds. */
const LOADS = ['loadavg', 'totalloadavg', 'freecpus', 'freememory', 'freegpus'];
/** Attributes of a single machine; all others are those of its kind. */
const OF_MACHINE = new Set(['name', 'machine', 'cachedimages', ...LOADS]);
const CHANGING = new Set(['price']);
const NOTHING = new Ad();
const MACHINES_KEPT = 4000;

const ZONES = 4096;

function kindKey(type: number, zone: number, spot: boolean): number {
  return (type * ZONES + zone) * 2 + (spot ? 1 : 0);
}

/** What a kind of machine is to match expressions. Amounts are in their language's units: MiB of memory, KiB of disk. */
export function kindAd(t: MachineType, zone: string, spot: boolean): Ad {
  return new Ad()
    .setValue('MyType', 'Machine')
    .setValue('Arch', 'X86_64')
    .setValue('OpSys', 'LINUX')
    .setValue('HasFileTransfer', true)
    .setValue('Cpus', BigInt(Math.floor(t.cpus)))
    .setValue('TotalCpus', t.cpus)
    .setValue('GPUs', BigInt(Math.floor(t.gpus)))
    .setValue('TotalGPUs', BigInt(Math.floor(t.gpus)))
    .setValue('Memory', BigInt(Math.floor(t.memoryGb * 1024)))
    .setValue('TotalMemory', BigInt(Math.floor(t.memoryGb * 1024)))
    .setValue('Disk', BigInt(Math.floor(t.cacheGb * 1024 * 1024)))
    .setValue('MachineType', t.name)
    .setValue('Zone', zone)
    .setValue('Spot', spot)
    .setValue('Price', spot ? t.spotPrice : t.price)
    .setValue('BootSeconds', t.bootS);
}

/** Compiles match expressions; the same text is compiled once, and asked once of each kind of machine. */
export class ClassAdMatcher implements MatchCompiler {
  private readonly compiled = new Map<string, Match>();
  private readonly kinds = new Map<number, Ad>();
  private version = -1;
  /** Expressions evaluated so far. */
  asked = 0;

  constructor(
    private readonly names: NameTables,
    private readonly catalog: MachineTypeCatalog,
  ) {}

  compile(spec: MatchSpec): Match {
    const key = `${spec.requirements}\n${spec.rank ?? ''}`;
    let match = this.compiled.get(key);
    if (!match) {
      match = this.build(parseExpr(spec.requirements), spec.rank === null ? null : parseExpr(spec.rank));
      if (this.compiled.size >= MACHINES_KEPT) this.compiled.delete(this.compiled.keys().next().value!);
      this.compiled.set(key, match);
    }
    return match;
  }

  private build(requirements: Expr, rank: Expr | null): Match {
    const names = namesAsked(requirements, NOTHING);
    const single = [...names].some((n) => OF_MACHINE.has(n));
    const moving = [...names].some((n) => CHANGING.has(n));
    const answers = new Map<number, boolean>();
    let asOf = -1;
    const kind = (type: number, zone: number, spot: boolean): boolean => {
      // A kind may yet take the job when only its machines can tell.
      if (moving && asOf !== this.catalog.version) answers.clear();
      asOf = this.catalog.version;
      const key = kindKey(type, zone, spot);
      let answer = answers.get(key);
      if (answer === undefined) {
        const ad = this.kind(type, zone, spot);
        if (!ad) return false;
        const value = this.ask(requirements, ad);
        answer = single ? value !== false : value === true;
        answers.set(key, answer);
      }
      return answer;
    };
    return {
      kind,
      machine: single ? this.byMachine(requirements, names, (v) => v === true) : null,
      rank: rank && this.byMachine(rank, namesAsked(rank, NOTHING), (v) => Number(asNumber(v) ?? 0) || 0),
    };
  }

  /** Asked once of each machine as it stands, as far as the expression looks at it. */
  private byMachine<T>(e: Expr, names: Set<string>, read: (v: Value) => T): (m: PlanMachine) => T {
    const known = new Map<string, { state: string; answer: T }>();
    return (m) => {
      const key = m.id ?? `${m.type} ${m.zone} ${m.spot}`;
      const state = stateOf(m, names, this.catalog.version);
      const cached = known.get(key);
      if (cached?.state === state) return cached.answer;
      const answer = read(this.ask(e, this.machine(m)));
      if (known.size >= MACHINES_KEPT) known.delete(known.keys().next().value!);
      known.set(key, { state, answer });
      return answer;
    };
  }

  private ask(e: Expr, target: Ad): Value {
    this.asked++;
    return evaluate(e, { my: NOTHING, target });
  }

  private kind(type: number, zone: number, spot: boolean): Ad | null {
    if (this.version !== this.catalog.version) this.kinds.clear();
    this.version = this.catalog.version;
    const key = kindKey(type, zone, spot);
    const known = this.kinds.get(key);
    if (known) return known;
    const t = this.catalog.get(type);
    if (!t) return null;
    const ad = kindAd(t, this.names.zones.name(zone), spot);
    this.kinds.set(key, ad);
    return ad;
  }

  private machine(m: PlanMachine): Ad {
    const kind = this.kind(m.type, m.zone, m.spot);
    const ad = kind ? kind.copy() : new Ad();
    const free = { ...m.size };
    for (const h of m.running) {
      free.cpus -= h.need.cpus;
      free.gpus -= h.need.gpus;
      free.memoryGb -= h.need.memoryGb;
    }
    const load = m.size.cpus - free.cpus;
    ad.setValue('LoadAvg', load)
      .setValue('TotalLoadAvg', load)
      .setValue('FreeCpus', free.cpus)
      .setValue('FreeGPUs', free.gpus)
      .setValue('FreeMemory', BigInt(Math.floor(free.memoryGb * 1024)));
    if (m.id !== null) ad.setValue('Name', `slot1@${m.id}`).setValue('Machine', m.id);
    const images = [...m.images].slice(0, LIMITS.list).map((i) => this.names.images.name(i));
    ad.set('CachedImages', { node: 'list', items: images.map((value) => ({ node: 'literal', value })) });
    return ad;
  }
}

/** What an expression with these names can see change of a machine. */
function stateOf(m: PlanMachine, names: ReadonlySet<string>, version: number): string {
  let state = names.has('price') ? String(version) : '';
  if (names.has('cachedimages')) state += ` i${[...m.images].join(',')}`;
  if (LOADS.some((n) => names.has(n))) {
    let [cpus, gpus, memoryGb] = [0, 0, 0];
    for (const { need } of m.running) {
      cpus += need.cpus;
      gpus += need.gpus;
      memoryGb += need.memoryGb;
    }
    state += ` l${cpus} ${gpus} ${memoryGb}`;
  }
  return state;
}
