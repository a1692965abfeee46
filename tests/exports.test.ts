import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative, resolve } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';

interface SourceModule {
  /**
   * Exported values, and exported types that the module itself does not mention: other types are part of a
   * signature.
   */
  readonly exported: ReadonlySet<string>;
  /** Names used from other modules, by module path; `*` stands for all names. */
  readonly used: ReadonlyMap<string, ReadonlySet<string>>;
}

function sourceFiles(directory: string): string[] {
  return readdirSync(directory, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => join(entry.parentPath, entry.name));
}

function isExported(node: ts.Statement): boolean {
  return (
    ts.canHaveModifiers(node) &&
    ts.getModifiers(node)?.some((m) => m.kind === ts.SyntaxKind.ExportKeyword) === true
  );
}

function exportedNames(source: ts.SourceFile): Set<string> {
  const names = new Set<string>();
  for (const node of source.statements) {
    if (ts.isExportDeclaration(node) && node.exportClause && ts.isNamedExports(node.exportClause))
      for (const e of node.exportClause.elements) names.add(e.name.text);
    if (!isExported(node)) continue;
    if (ts.isVariableStatement(node))
      for (const d of node.declarationList.declarations) names.add(d.name.getText(source));
    else if (ts.isFunctionDeclaration(node) || ts.isClassDeclaration(node) || ts.isEnumDeclaration(node))
      names.add(node.name!.text);
    else if (ts.isInterfaceDeclaration(node) || ts.isTypeAliasDeclaration(node)) {
      if (countIdentifiers(source, node.name.text) === 1) names.add(node.name.text);
    }
  }
  return names;
}

/** Counts the occurrences of an identifier in a module. */
function countIdentifiers(source: ts.SourceFile, name: string): number {
  let count = 0;
  const visit = (node: ts.Node): void => {
    if (ts.isIdentifier(node) && node.text === name) count++;
    ts.forEachChild(node, visit);
  };
  visit(source);
  return count;
}

/** Returns the names that a module uses from others, by import, re-export, `import()` or `import('...').Name`. */
function usedNames(file: string, source: ts.SourceFile): Map<string, Set<string>> {
  const used = new Map<string, Set<string>>();
  const add = (specifier: ts.Node, names: readonly string[]) => {
    if (!ts.isStringLiteralLike(specifier) || !specifier.text.startsWith('.')) return;
    const path = resolve(dirname(file), specifier.text.replace(/\.js$/, '.ts'));
    const known = used.get(path) ?? new Set();
    for (const name of names) known.add(name);
    used.set(path, known);
  };
  const elements = (list: readonly (ts.ImportSpecifier | ts.ExportSpecifier)[]) =>
    list.map((e) => (e.propertyName ?? e.name).text);
  const visit = (node: ts.Node): void => {
    if (ts.isImportDeclaration(node)) {
      const bindings = node.importClause?.namedBindings;
      add(
        node.moduleSpecifier,
        bindings && ts.isNamedImports(bindings) ? elements(bindings.elements) : bindings ? ['*'] : [],
      );
    } else if (ts.isExportDeclaration(node) && node.moduleSpecifier) {
      const clause = node.exportClause;
      add(node.moduleSpecifier, clause && ts.isNamedExports(clause) ? elements(clause.elements) : ['*']);
    } else if (ts.isCallExpression(node) && node.expression.kind === ts.SyntaxKind.ImportKeyword) {
      add(node.arguments[0]!, ['*']);
    } else if (ts.isImportTypeNode(node) && ts.isLiteralTypeNode(node.argument)) {
      const name = node.qualifier?.getText(source).split('.')[0] ?? '*';
      add(node.argument.literal, [name]);
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return used;
}

function readModule(file: string): SourceModule {
  const source = ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.ES2022, true);
  return { exported: exportedNames(source), used: usedNames(file, source) };
}

/** Returns the exports of `src` that no other file of `src` or `tests` uses, as `path name`. */
function unusedExports(files: readonly string[]): string[] {
  const modules = new Map(files.map((file) => [resolve(file), readModule(file)]));
  const used = new Map<string, Set<string>>();
  for (const { used: names } of modules.values())
    for (const [path, moduleNames] of names)
      used.set(path, new Set([...(used.get(path) ?? []), ...moduleNames]));
  const unused: string[] = [];
  for (const [path, { exported }] of modules) {
    const file = relative('.', path);
    const names = used.get(path);
    if (!file.startsWith('src/') || names?.has('*')) continue;
    for (const name of exported) if (!names?.has(name)) unused.push(`${file} ${name}`);
  }
  return unused.sort();
}

// Guards against exports that outlive their last use: they were reviewed and maintained as if other code depended
// on them.
test('every export of src is used by another file of src or tests', () => {
  const unused = unusedExports([...sourceFiles('src'), ...sourceFiles('tests')]);
  assert.deepEqual(unused, []);
});
