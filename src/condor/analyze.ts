import type { Ad, Expr } from '../classad/ast.js';
import { evaluate } from '../classad/evaluate.js';
import { printExpr, printValue } from '../classad/print.js';

/** A kind of machine on offer. */
export interface Offer {
  type: string;
  zone: string;
  spot: boolean;
  ad: Ad;
}

/** A clause of the requirements of a process. */
export interface Clause {
  text: string;
  /** Number of kinds that satisfy this clause on its own. */
  matches: number;
  /**
   * If no kind satisfies a comparison with an attribute: the nearest value on offer, and the number of types
   * with it.
   */
  nearest?: string;
}

/** Result of matching the requirements of a process against all kinds of machines. */
export interface Analysis {
  /** Number of kinds of machines. */
  kinds: number;
  /** Number of kinds that match every clause. */
  matches: number;
  clauses: Clause[];
  /** Why the process cannot start, in one sentence; null when some kind matches. */
  reason: string | null;
}

/** Splits a requirement into the operands of its top-level `&&` operators. */
function conjunctsOf(expr: Expr): Expr[] {
  return expr.node === 'binary' && expr.op === '&&'
    ? [...conjunctsOf(expr.left), ...conjunctsOf(expr.right)]
    : [expr];
}

const isSatisfied = (expr: Expr, my: Ad, offer: Offer) => evaluate(expr, { my, target: offer.ad }) === true;

/**
 * Returns how many kinds match each clause of a requirement and all of them. The size requirements count as
 * clauses too, so that a request that no kind is large enough for is reported.
 */
export function analyze(
  requirements: Expr,
  my: Ad,
  offers: readonly Offer[],
  sizeRequirements: readonly Expr[] = [],
): Analysis {
  const conjuncts = [...sizeRequirements, ...conjunctsOf(requirements)];
  const clauses = conjuncts.map((e) => {
    const matches = offers.filter((o) => isSatisfied(e, my, o)).length;
    const nearest = matches === 0 ? nearestValue(e, my, offers) : null;
    return { text: printExpr(e), matches, ...(nearest !== null && { nearest }) };
  });
  const matches = offers.filter((o) => conjuncts.every((e) => isSatisfied(e, my, o))).length;
  return {
    kinds: offers.length,
    matches,
    clauses,
    reason: matches > 0 ? null : reasonOf(conjuncts, clauses, my, offers),
  };
}

function reasonOf(
  conjuncts: readonly Expr[],
  clauses: readonly Clause[],
  my: Ad,
  offers: readonly Offer[],
): string {
  if (offers.length === 0) return 'no kind of machine is offered';
  const failing = clauses.filter((c) => c.matches === 0);
  if (failing.length === 0)
    return `every clause matches some kinds, but none of the ${offers.length} matches all: ${clauses.map((c) => `${c.text} ${c.matches}`).join('; ')}`;
  const others = conjuncts.filter((_, i) => clauses[i]!.matches > 0);
  const matchingOthers = offers.filter((o) => others.every((e) => isSatisfied(e, my, o))).length;
  const explanations = failing.map((c) =>
    c.nearest ? `${c.text}: ${c.nearest}` : `${c.text}: on none of ${offers.length} kinds`,
  );
  return others.length === 0
    ? explanations.join('; ')
    : `${explanations.join('; ')}; the other clauses match ${matchingOthers}`;
}

/** Returns the value on offer that comes nearest to a comparison: for `Memory > 512000`, the largest memory. */
function nearestValue(clause: Expr, my: Ad, offers: readonly Offer[]): string | null {
  if (clause.node !== 'binary' || !/^(<|<=|>|>=|==)$/.test(clause.op)) return null;
  const isTargetAttribute = (x: Expr) => x.node === 'name' && (x.scope === 'target' || !my.has(x.name));
  const targetAttribute = isTargetAttribute(clause.left)
    ? clause.left
    : isTargetAttribute(clause.right)
      ? clause.right
      : null;
  if (!targetAttribute) return null;
  const values = offers.map((o) => evaluate(targetAttribute, { my, target: o.ad }));
  const numbers = values.filter((v) => typeof v === 'bigint' || typeof v === 'number');
  if (numbers.length === 0) {
    const offeredStrings = new Set(values.filter((v) => typeof v === 'string').map(printValue));
    return offeredStrings.size === 0
      ? 'no kind has that attribute'
      : `there are ${[...offeredStrings].slice(0, 8).join(', ')}`;
  }
  const wantsLarger =
    (targetAttribute === clause.left) === (clause.op === '>' || clause.op === '>=' || clause.op === '==');
  const best = numbers.reduce((a, b) => ((wantsLarger ? b > a : b < a) ? b : a));
  const types = new Set(offers.filter((_, i) => values[i] === best).map((o) => o.type));
  return `${wantsLarger ? 'largest' : 'smallest'} is ${printValue(best)} on ${types.size} type${types.size === 1 ? '' : 's'}`;
}
