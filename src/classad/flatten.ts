import { type Ad, childrenOf, type Expr, isLiteral, UNDEFINED, Undefined } from './ast.js';
import { evaluate } from './evaluate.js';

const IMPURE = new Set(['time', 'formattime', 'random']);

/** Names of attributes that an expression asks of the other side, in lower case; its own ad has `my`. */
export function namesAsked(e: Expr, my: Ad): Set<string> {
  const names = new Set<string>();
  const visit = (x: Expr): void => {
    if (x.node === 'name' && x.scope !== 'my' && (x.scope === 'target' || !my.has(x.name)))
      names.add(x.name.toLowerCase());
    if (x.node === 'ad') for (const [, inner] of x.ad) visit(inner);
    else childrenOf(x).forEach(visit);
  };
  visit(e);
  return names;
}

/**
 * The expression with all that its own side says put in, and worked out as far as that goes: what is left asks the other
 * side alone. It has the same value beside every other side, as long as time plays no part.
 */
export function flatten(e: Expr, my: Ad, depth = 0): Expr {
  const inner = (x: Expr) => flatten(x, my, depth + 1);
  const put = (): Expr => {
    switch (e.node) {
      case 'literal':
      case 'ad':
        return e;
      case 'name': {
        if (e.scope === 'target' || depth > 50) return e;
        const own = my.get(e.name);
        if (own) return inner(own);
        return e.scope === 'my' ? { node: 'literal', value: UNDEFINED } : { ...e, scope: 'target' };
      }
      case 'select':
        return { ...e, of: inner(e.of) };
      case 'index':
        return { ...e, of: inner(e.of), at: inner(e.at) };
      case 'unary':
        return { ...e, of: inner(e.of) };
      case 'binary':
        return shorten({ ...e, left: inner(e.left), right: inner(e.right) });
      case 'if': {
        const test = inner(e.test);
        return { ...e, test, yes: e.yes && inner(e.yes), no: inner(e.no) };
      }
      case 'list':
        return { ...e, items: e.items.map(inner) };
      case 'call':
        return { ...e, args: e.args.map(inner) };
    }
  };
  const x = put();
  if (x.node === 'literal' || !settled(x)) return x;
  const value = evaluate(x, { my, target: null });
  return isLiteral(value) && !(value instanceof Undefined && asks(x)) ? { node: 'literal', value } : x;
}

/** Nothing of the other side, and nothing that changes, is left in it. */
function settled(e: Expr): boolean {
  if (e.node === 'name' || e.node === 'ad') return false;
  if (e.node === 'call' && IMPURE.has(e.name.toLowerCase())) return false;
  return childrenOf(e).every(settled);
}

function asks(e: Expr): boolean {
  return e.node === 'name' || childrenOf(e).some(asks);
}

/** `true && x` asks no more than `x` where x is asked for a truth, as operands of && and || are. */
function shorten(e: Expr & { node: 'binary' }): Expr {
  const truth = (x: Expr, value: boolean) => x.node === 'literal' && x.value === value;
  const logical = (x: Expr) => x.node === 'binary' && /^(&&|\|\||==|!=|=\?=|=!=|<|<=|>|>=)$/.test(x.op);
  if (e.op === '&&' && truth(e.left, true) && logical(e.right)) return e.right;
  if (e.op === '&&' && truth(e.right, true) && logical(e.left)) return e.left;
  if (e.op === '&&' && truth(e.left, false)) return e.left;
  if (e.op === '||' && truth(e.left, false) && logical(e.right)) return e.right;
  if (e.op === '||' && truth(e.right, false) && logical(e.left)) return e.left;
  if (e.op === '||' && truth(e.left, true)) return e.left;
  return e;
}
