/** Options and client of the commands that send requests to a cluster. */

import { type Command, Option } from 'commander';
import { SpartrayClient } from '../client/client.js';
import { systemClock } from '../clock/clock.js';
import { HttpClient } from '../http/client.js';

/** Options that `addServerOptions` adds. */
export interface ServerOptions {
  /** Comma-separated `host:port` addresses. */
  server: string;
  depot?: string;
  json?: boolean;
  /** Retry period of a request, in seconds. */
  timeout: string;
}

/** Adds the options that every command that sends requests to a cluster accepts. */
export function addServerOptions(command: Command): Command {
  return command
    .addOption(
      new Option('--server <host:port,...>', 'controllers, or the load balancer in front of them')
        .env('SPARTRAY_SERVER')
        .default('127.0.0.1:7700'),
    )
    .addOption(
      new Option('--depot <host:port>', 'service to which job descriptions for the workers are uploaded').env(
        'SPARTRAY_DEPOT',
      ),
    )
    .addOption(new Option('--timeout <seconds>', 'for how long a request is retried').default('60'))
    .option('--json', 'print JSON instead of text');
}

/** A client, and a function that closes its connections. */
export interface ClusterConnection {
  client: SpartrayClient;
  close: () => void;
}

/** Creates a client of the cluster that the options name; sends nothing yet. */
export function connect(options: ServerOptions): ClusterConnection {
  const http = new HttpClient(systemClock, { maxSockets: 16, maxBodyBytes: 4 * 1024 * 1024 });
  const client = new SpartrayClient(systemClock, http, {
    servers: options.server.split(','),
    depot: options.depot ?? null,
    retryPeriodS: Number(options.timeout),
  });
  return { client, close: () => http.close() };
}
