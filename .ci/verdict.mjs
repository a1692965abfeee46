// The verdict on a run of the tests: passes over those that KNOWN-RED.txt names, and only those.
// Usage: node .ci/verdict.mjs KNOWN-RED.txt TAP-OUTPUT EXIT-CODE. A line of the file: test | cause | issue. Exit status 0 or 1.
import { existsSync, readFileSync } from 'node:fs';

const MOST = 3;
const [, , listed, output, code] = process.argv;
const wrong = [];

const known = new Map();
const lines = existsSync(listed) ? readFileSync(listed, 'utf8').split('\n') : [];
for (const line of lines.map((l) => l.trim()).filter((l) => l !== '')) {
  const parts = line.split(' | ').map((p) => p.trim());
  if (parts.length !== 3 || parts.includes('')) wrong.push(`not "test | cause | issue": ${line}`);
  else if (known.has(parts[0])) wrong.push(`named twice: ${parts[0]}`);
  else known.set(parts[0], { cause: parts[1], issue: parts[2] });
}
if (known.size > MOST) wrong.push(`${known.size} tests are named, ${MOST} at most may be`);

const passed = new Set();
const failed = new Set();
for (const line of readFileSync(output, 'utf8').split('\n')) {
  const told = /^(not )?ok \d+ - (.*)$/.exec(line);
  if (!told || / # (SKIP|TODO)/.test(told[2])) continue;
  const name = told[2].replace(/\\([#\\])/g, '$1').trim();
  (told[1] ? failed : passed).add(name);
}
for (const [name, { cause, issue }] of known) {
  if (failed.has(name)) process.stdout.write(`known red: ${name}: ${cause} (${issue})\n`);
  else if (passed.has(name)) wrong.push(`it passes, and is named as red: ${name}`);
  else wrong.push(`no such test has run: ${name}`);
}
for (const name of failed) if (!known.has(name)) wrong.push(`failed: ${name}`);
if (code !== '0' && failed.size === 0) wrong.push(`the tests ended with ${code}, and none of them failed`);
if (code === '0' && failed.size > 0) wrong.push('a test failed, and the tests ended with 0');
if (passed.size === 0) wrong.push('no test has passed');
for (const why of wrong) process.stdout.write(`verdict: ${why}\n`);
process.exitCode = wrong.length > 0 ? 1 : 0;
