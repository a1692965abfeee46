/** Logging to standard error, one JSON object per line. */

import pino from 'pino';

/**
 * The logger shared by the components of a node. Errors are logged in the field `err`, ids in fields of their own.
 */
export type Log = pino.Logger;

/** The values of `LOG_LEVEL`, from the least to the most verbose. */
export const LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** Returns a logger to standard error for lines of `level` and above; each line names the node. */
export function makeLog(level: string, node: string): Log {
  return pino(
    { level, base: { node }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}
