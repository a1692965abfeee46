import type { Ad, Expr } from '../classad/ast.js';
import { evaluate } from '../classad/evaluate.js';
import { printExpr, printValue } from '../classad/print.js';

/** A kind of machine that is offered. */
export interface Offer {
  type: string;
  zone: string;
  spot: boolean;
  ad: Ad;
}

/** One clause of a process's requirements. */
export interface Clause {
  text: string;
  /** How many kinds it alone holds for. */
  matches: number;
  /** Where it is a comparison with an attribute that no kind satisfies: the nearest that there is, and of how many. */
  nearest?: string;
}

/** What the requirements of a process match. */
export interface Analysis {
  /** Number of kinds of machines. */
  kinds: number;
  /** Number of those that match all clauses. */
  matches: number;
  clauses: Clause[];
  /** What keeps the process from starting, in one sentence; null when some kind matches. */
  reason: string | null;
}

/** The parts of a requirement that must all hold. */
function conjunctsOf(expr: Expr): Expr[] {
  return expr.node === 'binary' && expr.op === '&&'
    ? [...conjunctsOf(expr.left), ...conjunctsOf(expr.right)]
    : [expr];
}

const isSatisfied = (expr: Expr, my: Ad, offer: Offer) => evaluate(expr, { my, target: offer.ad }) === true;

/** Which clauses of a requirement fail on which kinds. Requests that no kind is large enough for count as clauses. */
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

/** Of `Memory > 512000`: the largest memory that there is. */
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
