/** The options and the client of commands that send requests to a cluster. */

import { type Command, Option } from 'commander';
import { SpartrayClient } from '../client/client.js';
import { systemClock } from '../clock/clock.js';
import { HttpClient } from '../http/client.js';

/** The options that `serverOptions` adds. */
export interface ServerOptions {
  /** Addresses, separated by commas. */
  server: string;
  depot?: string;
  json?: boolean;
  /** Seconds. */
  timeout: string;
}

/** The flags of every command that asks a cluster. */
export function serverOptions(command: Command): Command {
  return command
    .addOption(
      new Option('--server <host:port,...>', 'controllers, or the load balancer before them')
        .env('SPARTRAY_SERVER')
        .default('127.0.0.1:7700'),
    )
    .addOption(
      new Option('--depot <host:port>', 'where descriptions are uploaded for the workers').env(
        'SPARTRAY_DEPOT',
      ),
    )
    .addOption(new Option('--timeout <seconds>', 'how long a request is repeated').default('60'))
    .option('--json', 'print JSON instead of text');
}

/** A client, and what ends its connections. */
export interface Connected {
  client: SpartrayClient;
  close: () => void;
}

/** A client of the cluster that the options name; nothing is sent yet. */
export function connect(options: ServerOptions): Connected {
  const http = new HttpClient(systemClock, { maxSockets: 16, bodyBytes: 4 * 1024 * 1024 });
  const client = new SpartrayClient(systemClock, http, {
    servers: options.server.split(','),
    depot: options.depot ?? null,
    retryS: Number(options.timeout),
  });
  return { client, close: () => http.close() };
}
