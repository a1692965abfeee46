import { SpartrayClient } from '../client/client.js';
import type { JobFileEntry } from '../client/jobfile.js';
import type { LocalCluster } from '../emulator/local.js';
import { HttpClient } from '../http/client.js';
import { printLine, table } from './output.js';

/** Submits jobs to a cluster on this machine and waits for them; returns whether all of them are done. */
export async function runJobs(cluster: LocalCluster, jobs: readonly JobFileEntry[]): Promise<boolean> {
  const http = new HttpClient(cluster.clock, { maxSockets: 64, maxBodyBytes: 1024 * 1024 });
  const client = new SpartrayClient(cluster.clock, http, { servers: [cluster.users], depot: cluster.depot });
  for (const { spec, emulation } of jobs) {
    await client.submit(spec, emulation);
    printLine(`${spec.id} accepted`);
  }
  const views = await Promise.all(
    jobs.map((job) => {
      let lastLine = '';
      return client.wait(job.spec.id, undefined, (view) => {
        const line = `${view.id} ${view.status}: ${view.done} done, ${view.running} running`;
        if (line !== lastLine) printLine(line);
        lastLine = line;
      });
    }),
  );
  http.close();
  const rows = views.map((v, i) => [jobs[i]!.spec.id, v?.status ?? 'unknown', v?.done ?? 0]);
  printLine(table(['JOB', 'STATUS', 'DONE'], rows));
  return views.every((v) => v?.status === 'done');
}
