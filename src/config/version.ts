/** The version of the program. */

import { readFileSync } from 'node:fs';

/** The version of this program, as its package says. */
export function version(): string {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { version: string }).version;
}
