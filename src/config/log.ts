/** Logging: one JSON object a line on standard error. */

import pino from 'pino';

/** The logger that the parts of a node share; errors go in the field `err`, ids in fields of their own. */
export type Log = pino.Logger;

/** The values of `LOG_LEVEL`, the fewest lines first. */
export const LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** A logger to standard error for lines of `level` and above; each line names the node. */
export function makeLog(level: string, node: string): Log {
  return pino(
    { level, base: { node }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}
