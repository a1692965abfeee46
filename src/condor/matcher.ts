import { Ad, type Expr, LIMITS, type Value } from '../classad/ast.js';
import { asNumber, evaluate } from '../classad/evaluate.js';
import { targetAttributeNames } from '../classad/flatten.js';
import { parseExpr } from '../classad/parser.js';
import type { MatchCompiler } from '../context/context.js';
import type { MachineTypeCatalog } from '../context/machinetypecatalog.js';
import type { NameTables } from '../context/nametables.js';
import type { Match, PlanMachine } from '../plan/model.js';
import type { MachineType } from '../wire/cloud.js';
import type { MatchSpec } from '../wire/users.js';

/** Attributes that depend on the tasks that run on a machine. */
const LOAD_ATTRIBUTES = ['loadavg', 'totalloadavg', 'freecpus', 'freememory', 'freegpus'];
/** Attributes of a single machine; the other attributes belong to its kind. */
const MACHINE_ATTRIBUTES = new Set(['name', 'machine', 'cachedimages', ...LOAD_ATTRIBUTES]);
const VARYING_KIND_ATTRIBUTES = new Set(['price']);
const EMPTY_AD = new Ad();
const MAX_CACHE_ENTRIES = 4000;

const MAX_ZONES = 4096;

function kindKey(type: number, zone: number, spot: boolean): number {
  return (type * MAX_ZONES + zone) * 2 + (spot ? 1 : 0);
}

/** Returns the ad of a kind of machine. Amounts are in the units of HTCondor: MiB of memory, KiB of disk. */
export function kindAd(type: MachineType, zone: string, spot: boolean): Ad {
  return new Ad()
    .setValue('MyType', 'Machine')
    .setValue('Arch', 'X86_64')
    .setValue('OpSys', 'LINUX')
    .setValue('HasFileTransfer', true)
    .setValue('Cpus', BigInt(Math.floor(type.cpus)))
    .setValue('TotalCpus', type.cpus)
    .setValue('GPUs', BigInt(Math.floor(type.gpus)))
    .setValue('TotalGPUs', BigInt(Math.floor(type.gpus)))
    .setValue('Memory', BigInt(Math.floor(type.memoryGb * 1024)))
    .setValue('TotalMemory', BigInt(Math.floor(type.memoryGb * 1024)))
    .setValue('Disk', BigInt(Math.floor(type.cacheGb * 1024 * 1024)))
    .setValue('MachineType', type.name)
    .setValue('Zone', zone)
    .setValue('Spot', spot)
    .setValue('Price', spot ? type.spotPrice : type.price)
    .setValue('BootSeconds', type.bootS);
}

/** Compiles match expressions; the same text is compiled once, and evaluated once for each kind of machine. */
export class ClassAdMatcher implements MatchCompiler {
  private readonly compiled = new Map<string, Match>();
  private readonly kindAds = new Map<number, Ad>();
  private kindAdsVersion = -1;
  /** Number of evaluations so far. */
  evaluationCount = 0;

  constructor(
    private readonly names: NameTables,
    private readonly catalog: MachineTypeCatalog,
  ) {}

  compile(spec: MatchSpec): Match {
    const key = `${spec.requirements}\n${spec.rank ?? ''}`;
    let match = this.compiled.get(key);
    if (!match) {
      match = this.build(parseExpr(spec.requirements), spec.rank === null ? null : parseExpr(spec.rank));
      if (this.compiled.size >= MAX_CACHE_ENTRIES) this.compiled.delete(this.compiled.keys().next().value!);
      this.compiled.set(key, match);
    }
    return match;
  }

  private build(requirements: Expr, rank: Expr | null): Match {
    const names = targetAttributeNames(requirements, EMPTY_AD);
    const dependsOnMachine = [...names].some((n) => MACHINE_ATTRIBUTES.has(n));
    const dependsOnVarying = [...names].some((n) => VARYING_KIND_ATTRIBUTES.has(n));
    const answers = new Map<number, boolean>();
    let answersVersion = -1;
    const kind = (type: number, zone: number, spot: boolean): boolean => {
      if (dependsOnVarying && answersVersion !== this.catalog.version) answers.clear();
      answersVersion = this.catalog.version;
      const key = kindKey(type, zone, spot);
      let answer = answers.get(key);
      if (answer === undefined) {
        const ad = this.kindAdOf(type, zone, spot);
        if (!ad) return false;
        const value = this.evaluateAgainst(requirements, ad);
        // If the result depends on single machines, a kind is excluded only when the expression is false for
        // the kind alone.
        answer = dependsOnMachine ? value !== false : value === true;
        answers.set(key, answer);
      }
      return answer;
    };
    return {
      kind,
      machine: dependsOnMachine ? this.cachedPerMachine(requirements, names, (v) => v === true) : null,
      rank:
        rank &&
        this.cachedPerMachine(
          rank,
          targetAttributeNames(rank, EMPTY_AD),
          (v) => Number(asNumber(v) ?? 0) || 0,
        ),
    };
  }

  /**
   * Evaluates an expression once for each machine, and again when the state that the expression reads has
   * changed.
   */
  private cachedPerMachine<T>(
    expr: Expr,
    names: Set<string>,
    convert: (v: Value) => T,
  ): (m: PlanMachine) => T {
    const cache = new Map<string, { state: string; answer: T }>();
    return (machine) => {
      const key = machine.id ?? `${machine.type} ${machine.zone} ${machine.spot}`;
      const state = visibleState(machine, names, this.catalog.version);
      const cached = cache.get(key);
      if (cached?.state === state) return cached.answer;
      const answer = convert(this.evaluateAgainst(expr, this.machineAdOf(machine)));
      if (cache.size >= MAX_CACHE_ENTRIES) cache.delete(cache.keys().next().value!);
      cache.set(key, { state, answer });
      return answer;
    };
  }

  private evaluateAgainst(expr: Expr, target: Ad): Value {
    this.evaluationCount++;
    return evaluate(expr, { my: EMPTY_AD, target });
  }

  private kindAdOf(type: number, zone: number, spot: boolean): Ad | null {
    if (this.kindAdsVersion !== this.catalog.version) this.kindAds.clear();
    this.kindAdsVersion = this.catalog.version;
    const key = kindKey(type, zone, spot);
    const known = this.kindAds.get(key);
    if (known) return known;
    const machineType = this.catalog.get(type);
    if (!machineType) return null;
    const ad = kindAd(machineType, this.names.zones.name(zone), spot);
    this.kindAds.set(key, ad);
    return ad;
  }

  private machineAdOf(machine: PlanMachine): Ad {
    const kindAttributes = this.kindAdOf(machine.type, machine.zone, machine.spot);
    const ad = kindAttributes ? kindAttributes.copy() : new Ad();
    const free = { ...machine.size };
    for (const task of machine.running) {
      free.cpus -= task.need.cpus;
      free.gpus -= task.need.gpus;
      free.memoryGb -= task.need.memoryGb;
    }
    const load = machine.size.cpus - free.cpus;
    ad.setValue('LoadAvg', load)
      .setValue('TotalLoadAvg', load)
      .setValue('FreeCpus', free.cpus)
      .setValue('FreeGPUs', free.gpus)
      .setValue('FreeMemory', BigInt(Math.floor(free.memoryGb * 1024)));
    if (machine.id !== null) ad.setValue('Name', `slot1@${machine.id}`).setValue('Machine', machine.id);
    const images = [...machine.images].slice(0, LIMITS.list).map((i) => this.names.images.name(i));
    ad.set('CachedImages', { node: 'list', items: images.map((value) => ({ node: 'literal', value })) });
    return ad;
  }
}

/** Returns a key for the variable state of a machine that an expression with these attribute names reads. */
function visibleState(machine: PlanMachine, names: ReadonlySet<string>, version: number): string {
  let state = names.has('price') ? String(version) : '';
  if (names.has('cachedimages')) state += ` i${[...machine.images].join(',')}`;
  if (LOAD_ATTRIBUTES.some((n) => names.has(n))) {
    let [cpus, gpus, memoryGb] = [0, 0, 0];
    for (const { need } of machine.running) {
      cpus += need.cpus;
      gpus += need.gpus;
      memoryGb += need.memoryGb;
    }
    state += ` l${cpus} ${gpus} ${memoryGb}`;
  }
  return state;
}
