import pino from 'pino';

export type Log = pino.Logger;

export const LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** Logs to standard error, in the amount that `LOG_LEVEL` asks for. */
export function makeLog(level: string, node: string): Log {
  return pino(
    { level, base: { node }, timestamp: pino.stdTimeFunctions.isoTime },
    pino.destination({ dest: 2, sync: true }),
  );
}
