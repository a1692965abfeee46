/** The version of the program. */

import { readFileSync } from 'node:fs';

/** Returns the version of this program from package.json. */
export function version(): string {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { version: string }).version;
}
