import { randomUUID } from 'node:crypto';
import { type AnalysisView, type ClusterView, CONDOR_PATH, type ProcView } from '../wire/condor.js';
import { RequestRejectedError, type SpartrayClient } from './client.js';

/** A submit file that cannot be read, by line and column. */
export class SubmitFileRejectedError extends RequestRejectedError {
  constructor(
    message: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(400, message);
  }
}

/** HTCondor's submit files, through a client's retries. Failures are those of the client, and `SubmitRejected`. */
export class CondorClient {
  constructor(private readonly client: SpartrayClient) {}

  /** Submits a file; `rows` has the items of queue statements whose items are in files, by number. */
  async submit(
    text: string,
    rows: Record<string, string[]>,
    user: string,
  ): Promise<{ cluster: number; procs: number; warnings: string[] }> {
    // The same submission however often it is repeated.
    const body = { submission: randomUUID(), text, rows, user };
    return (await this.request('POST', CONDOR_PATH, body)) as {
      cluster: number;
      procs: number;
      warnings: string[];
    };
  }

  async clusters(over = false): Promise<ClusterView[]> {
    return (
      (await this.request('GET', `${CONDOR_PATH}${over ? '?over=1' : ''}`, null)) as {
        clusters: ClusterView[];
      }
    ).clusters;
  }

  async procs(cluster: number): Promise<ProcView[]> {
    const all: ProcView[] = [];
    for (;;) {
      const page = (await this.request(
        'GET',
        `${CONDOR_PATH}/${cluster}/procs?from=${all.length}`,
        null,
      )) as {
        procs: ProcView[];
        more: boolean;
      };
      all.push(...page.procs);
      if (!page.more) return all;
    }
  }

  async analyze(cluster: number, proc: number): Promise<AnalysisView> {
    return (await this.request(
      'GET',
      `${CONDOR_PATH}/${cluster}/analyze?from=${proc}`,
      null,
    )) as AnalysisView;
  }

  /** Holds, releases or removes processes; returns how many that changed. */
  async act(
    act: 'hold' | 'release' | 'remove',
    cluster: number,
    which: { procs?: number[]; constraint?: string; reason?: string },
  ): Promise<number> {
    return ((await this.request('POST', `${CONDOR_PATH}/${cluster}/${act}`, which)) as { changed: number })
      .changed;
  }

  private async request(method: string, path: string, body: object | null): Promise<unknown> {
    const answer = await this.client.requestUntil(method, path, body, [200, 201, 400, 404, 405, 413]);
    if (answer.status < 300) return answer.body;
    const told = (answer.body ?? {}) as { error?: string; line?: number; column?: number };
    const error = told.error ?? 'no reason given';
    if (told.line !== undefined) throw new SubmitFileRejectedError(error, told.line, told.column ?? 1);
    throw new RequestRejectedError(
      answer.status,
      answer.status === 413 ? 'more than 64 KiB with its items' : error,
    );
  }
}
