import { type Ad, childrenOf, type Expr, isLiteral, UNDEFINED, Undefined } from './ast.js';
import { evaluate } from './evaluate.js';

const IMPURE = new Set(['time', 'formattime', 'random']);

/** Names of attributes that an expression asks of the other side, in lower case; its own ad has `my`. */
export function targetAttributeNames(expr: Expr, my: Ad): Set<string> {
  const names = new Set<string>();
  const visit = (x: Expr): void => {
    if (x.node === 'name' && x.scope !== 'my' && (x.scope === 'target' || !my.has(x.name)))
      names.add(x.name.toLowerCase());
    if (x.node === 'ad') for (const [, inner] of x.ad) visit(inner);
    else childrenOf(x).forEach(visit);
  };
  visit(expr);
  return names;
}

/**
 * The expression with all that its own side says put in, and worked out as far as that goes: what is left asks the other
 * side alone. It has the same value beside every other side, as long as time plays no part.
 */
export function flatten(expr: Expr, my: Ad, depth = 0): Expr {
  const flattenChild = (x: Expr) => flatten(x, my, depth + 1);
  const substitute = (): Expr => {
    switch (expr.node) {
      case 'literal':
      case 'ad':
        return expr;
      case 'name': {
        if (expr.scope === 'target' || depth > 50) return expr;
        const ownExpr = my.get(expr.name);
        if (ownExpr) return flattenChild(ownExpr);
        return expr.scope === 'my' ? { node: 'literal', value: UNDEFINED } : { ...expr, scope: 'target' };
      }
      case 'select':
        return { ...expr, operand: flattenChild(expr.operand) };
      case 'index':
        return { ...expr, operand: flattenChild(expr.operand), at: flattenChild(expr.at) };
      case 'unary':
        return { ...expr, operand: flattenChild(expr.operand) };
      case 'binary':
        return simplifyLogical({ ...expr, left: flattenChild(expr.left), right: flattenChild(expr.right) });
      case 'if': {
        const test = flattenChild(expr.test);
        return {
          ...expr,
          test,
          consequent: expr.consequent && flattenChild(expr.consequent),
          alternate: flattenChild(expr.alternate),
        };
      }
      case 'list':
        return { ...expr, items: expr.items.map(flattenChild) };
      case 'call':
        return { ...expr, args: expr.args.map(flattenChild) };
    }
  };
  const substituted = substitute();
  if (substituted.node === 'literal' || !isConstant(substituted)) return substituted;
  const value = evaluate(substituted, { my, target: null });
  return isLiteral(value) && !(value instanceof Undefined && readsAttribute(substituted))
    ? { node: 'literal', value }
    : substituted;
}

/** Nothing of the other side, and nothing that changes, is left in it. */
function isConstant(expr: Expr): boolean {
  if (expr.node === 'name' || expr.node === 'ad') return false;
  if (expr.node === 'call' && IMPURE.has(expr.name.toLowerCase())) return false;
  return childrenOf(expr).every(isConstant);
}

function readsAttribute(expr: Expr): boolean {
  return expr.node === 'name' || childrenOf(expr).some(readsAttribute);
}

/** `true && x` asks no more than `x` where x is asked for a truth, as operands of && and || are. */
function simplifyLogical(expr: Expr & { node: 'binary' }): Expr {
  const isBooleanLiteral = (x: Expr, value: boolean) => x.node === 'literal' && x.value === value;
  const yieldsLogicalValue = (x: Expr) =>
    x.node === 'binary' && /^(&&|\|\||==|!=|=\?=|=!=|<|<=|>|>=)$/.test(x.op);
  if (expr.op === '&&' && isBooleanLiteral(expr.left, true) && yieldsLogicalValue(expr.right))
    return expr.right;
  if (expr.op === '&&' && isBooleanLiteral(expr.right, true) && yieldsLogicalValue(expr.left))
    return expr.left;
  if (expr.op === '&&' && isBooleanLiteral(expr.left, false)) return expr.left;
  if (expr.op === '||' && isBooleanLiteral(expr.left, false) && yieldsLogicalValue(expr.right))
    return expr.right;
  if (expr.op === '||' && isBooleanLiteral(expr.right, false) && yieldsLogicalValue(expr.left))
    return expr.left;
  if (expr.op === '||' && isBooleanLiteral(expr.left, true)) return expr.left;
  return expr;
}
