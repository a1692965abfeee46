import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';

const PAGES = ['docs/operations.md', 'docs/standby.md', 'docs/operations-condor.md'];
const LOG_METHODS = new Set(['error', 'warn', 'info', 'debug']);
const COMMAND = /^(npm|spartray) /;

/**
 * Collects the string literals in `src`: all of them, and those in the arguments of a logger call or of a new
 * error, which appear in a log line as its message or as the message of `err`.
 */
function literals(): { all: Set<string>; logged: Set<string> } {
  const all = new Set<string>();
  const logged = new Set<string>();
  const visit = (node: ts.Node, inLogCall: boolean): void => {
    if (ts.isStringLiteralLike(node)) {
      all.add(node.text);
      if (inLogCall) logged.add(node.text);
    }
    const isLogOrError =
      (ts.isCallExpression(node) &&
        ts.isPropertyAccessExpression(node.expression) &&
        LOG_METHODS.has(node.expression.name.text)) ||
      (ts.isNewExpression(node) && node.expression.getText().endsWith('Error'));
    ts.forEachChild(node, (child) => visit(child, inLogCall || isLogOrError));
  };
  for (const entry of readdirSync('src', { recursive: true, withFileTypes: true })) {
    if (!entry.isFile() || !entry.name.endsWith('.ts')) continue;
    const file = join(entry.parentPath, entry.name);
    visit(ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.ES2022, true), false);
  }
  return { all, logged };
}

/**
 * Returns the log lines that a page names: quoted texts of several lowercase words, and all quoted texts in its
 * paragraph on alerts.
 */
function namedLogLines(page: string): { messages: string[]; reasons: string[] } {
  const messages: string[] = [];
  const reasons: string[] = [];
  for (const line of readFileSync(page, 'utf8').split(/\n(?=\n|[|#-])/)) {
    const alerts = /Logs worth an alert/.test(line);
    for (const [, quoted] of line.matchAll(/`([^`]+)`/g)) {
      const text = quoted!.replaceAll(/\s+/g, ' ');
      const [message, reason] = text.split(/(?:^|, )why: /);
      if (reason !== undefined) reasons.push(reason);
      if (alerts || /^[a-z’']+( [a-z’':]+)+$/.test(message!)) messages.push(message!);
    }
  }
  return { messages: messages.filter((m) => m !== '' && !/^[a-z]+: /.test(m) && !COMMAND.test(m)), reasons };
}

// Guards against pages that refer operators to log lines that the program no longer writes.
test('every log line named in the operator pages exists in src', () => {
  const { all, logged } = literals();
  // A page may omit the part of a message after a colon.
  const isLogged = (m: string) => logged.has(m) || [...logged].some((text) => text.startsWith(`${m}: `));
  const missing: string[] = [];
  let named = 0;
  for (const page of PAGES) {
    const { messages, reasons } = namedLogLines(page);
    named += messages.length + reasons.length;
    for (const m of messages) if (!isLogged(m)) missing.push(`${page}: ${m}`);
    for (const r of reasons) if (!all.has(r)) missing.push(`${page}: why: ${r}`);
  }
  assert.ok(named > 30, `only ${named} log lines are named`);
  assert.deepEqual(missing, []);
});
