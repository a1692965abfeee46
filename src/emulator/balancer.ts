import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Requester } from '../http/client.js';
import { USER_PATHS } from '../wire/users.js';

/** Time between two health probes of a controller, and the time-out of each. */
const PROBE_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 500;
const MAX_CONNECT_ATTEMPTS = 3;
const UNHEALTHY_AFTER_FAILURES = 2;

interface Target {
  addr: string;
  healthy: boolean;
  failures: number;
  openConnections: number;
}

/** Load balancer for users: forwards connections to healthy controllers, trying those with fewer connections first. */
export class Balancer {
  private readonly server = net.createServer({ noDelay: true }, (socket) => void this.accept(socket));
  private readonly targets: Target[];
  private readonly sockets = new Set<net.Socket>();
  private timer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly http: Requester,
    addrs: readonly string[],
  ) {
    this.targets = addrs.map((addr) => ({ addr, healthy: false, failures: 0, openConnections: 0 }));
  }

  get healthyCount(): number {
    return this.targets.filter((t) => t.healthy).length;
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', () => {
        void this.probe();
        resolve();
      });
    });
  }

  close(): void {
    this.timer?.cancel();
    this.server.close();
    for (const s of this.sockets) s.destroy();
  }

  private async probe(): Promise<void> {
    await Promise.all(
      this.targets.map(async (target) => {
        const status = await this.http
          .request(target.addr, 'GET', USER_PATHS.health, null, PROBE_INTERVAL_MS)
          .then((r) => r.status)
          .catch(() => 0);
        target.failures = status === 200 ? 0 : target.failures + 1;
        if (target.failures === 0) target.healthy = true;
        else if (target.failures >= UNHEALTHY_AFTER_FAILURES) target.healthy = false;
      }),
    );
    this.timer = this.clock.after(PROBE_INTERVAL_MS, () => void this.probe());
  }

  private async accept(client: net.Socket): Promise<void> {
    this.sockets.add(client);
    client.on('close', () => this.sockets.delete(client));
    client.on('error', () => client.destroy());
    const candidates = this.targets
      .filter((t) => t.healthy)
      .sort((a, b) => a.openConnections - b.openConnections);
    for (const target of candidates.slice(0, MAX_CONNECT_ATTEMPTS)) {
      const upstream = await this.connect(target.addr);
      if (!upstream) continue;
      target.openConnections++;
      this.sockets.add(upstream);
      upstream.on('close', () => {
        target.openConnections--;
        this.sockets.delete(upstream);
        client.destroy();
      });
      client.on('close', () => upstream.destroy());
      client.pipe(upstream).pipe(client);
      return;
    }
    client.destroy();
  }

  private connect(addr: string): Promise<net.Socket | null> {
    const [host, port] = addr.split(':');
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port), noDelay: true });
      const timer = this.clock.after(CONNECT_TIMEOUT_MS, () => socket.destroy());
      socket.once('connect', () => {
        timer.cancel();
        resolve(socket);
      });
      socket.on('error', () => socket.destroy());
      socket.once('close', () => resolve(null));
    });
  }
}
