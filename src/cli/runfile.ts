import { SpartrayClient } from '../client/client.js';
import type { JobFileEntry } from '../client/jobfile.js';
import type { LocalCluster } from '../emulator/local.js';
import { HttpClient } from '../http/client.js';
import { say, table } from './output.js';

/** Runs jobs on a cluster on this machine; true when all are done. */
export async function runJobs(cluster: LocalCluster, orders: readonly JobFileEntry[]): Promise<boolean> {
  const http = new HttpClient(cluster.clock, { maxSockets: 64, bodyBytes: 1024 * 1024 });
  const client = new SpartrayClient(cluster.clock, http, { servers: [cluster.users], depot: cluster.depot });
  for (const { spec, upload } of orders) {
    await client.submit(spec, upload);
    say(`${spec.id} accepted`);
  }
  const views = await Promise.all(
    orders.map((o) => {
      let told = '';
      return client.wait(o.spec.id, undefined, (v) => {
        const line = `${v.id} ${v.status}: ${v.done} done, ${v.running} running`;
        if (line !== told) say(line);
        told = line;
      });
    }),
  );
  http.close();
  const rows = views.map((v, i) => [orders[i]!.spec.id, v?.status ?? 'unknown', v?.done ?? 0]);
  say(table(['JOB', 'STATUS', 'DONE'], rows));
  return views.every((v) => v?.status === 'done');
}
