import { type Ad, childrenOf, type Expr, isLiteral, UNDEFINED, Undefined } from './ast.js';
import { evaluate } from './evaluate.js';

const IMPURE = new Set(['time', 'formattime', 'random']);

/** Returns the lower-case names of the attributes that an expression reads from the target ad; `my` is its own ad. */
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
 * Partially evaluates an expression: the attributes of its own ad are substituted and constant parts are
 * evaluated, so that the result reads only the target ad. For every target it has the same value as the
 * original expression, unless that depends on the time.
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

/** Returns whether an expression contains no attribute reference, no nested ad and no call whose result varies. */
function isConstant(expr: Expr): boolean {
  if (expr.node === 'name' || expr.node === 'ad') return false;
  if (expr.node === 'call' && IMPURE.has(expr.name.toLowerCase())) return false;
  return childrenOf(expr).every(isConstant);
}

function readsAttribute(expr: Expr): boolean {
  return expr.node === 'name' || childrenOf(expr).some(readsAttribute);
}

/**
 * Simplifies `&&` and `||` with a boolean literal as one operand. `true && x` becomes `x` only if `x` is a
 * logical operation or a comparison, because `&&` and `||` convert their operands to booleans and `x` alone
 * would not be converted.
 */
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
