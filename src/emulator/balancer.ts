import net from 'node:net';
import type { Clock, Timer } from '../clock/clock.js';
import type { Requester } from '../http/client.js';
import { USER_PATHS } from '../wire/users.js';

const PROBE_MS = 1000;
const CONNECT_MS = 500;
const TRIES = 3;
const FAILED_ROW = 2;

interface Target {
  addr: string;
  healthy: boolean;
  failures: number;
  open: number;
}

/** The users' way in: connections go to a healthy controller, those with fewer connections first. */
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
    this.targets = addrs.map((addr) => ({ addr, healthy: false, failures: 0, open: 0 }));
  }

  get healthy(): number {
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
      this.targets.map(async (t) => {
        const status = await this.http
          .request(t.addr, 'GET', USER_PATHS.health, null, PROBE_MS)
          .then((r) => r.status)
          .catch(() => 0);
        t.failures = status === 200 ? 0 : t.failures + 1;
        if (t.failures === 0) t.healthy = true;
        else if (t.failures >= FAILED_ROW) t.healthy = false;
      }),
    );
    this.timer = this.clock.after(PROBE_MS, () => void this.probe());
  }

  private async accept(user: net.Socket): Promise<void> {
    this.sockets.add(user);
    user.on('close', () => this.sockets.delete(user));
    user.on('error', () => user.destroy());
    const order = this.targets.filter((t) => t.healthy).sort((a, b) => a.open - b.open);
    for (const t of order.slice(0, TRIES)) {
      const to = await this.connect(t.addr);
      if (!to) continue;
      t.open++;
      this.sockets.add(to);
      to.on('close', () => {
        t.open--;
        this.sockets.delete(to);
        user.destroy();
      });
      user.on('close', () => to.destroy());
      user.pipe(to).pipe(user);
      return;
    }
    user.destroy();
  }

  private connect(addr: string): Promise<net.Socket | null> {
    const [host, port] = addr.split(':');
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port), noDelay: true });
      const timer = this.clock.after(CONNECT_MS, () => socket.destroy());
      socket.once('connect', () => {
        timer.cancel();
        resolve(socket);
      });
      socket.on('error', () => socket.destroy());
      socket.once('close', () => resolve(null));
    });
  }
}
