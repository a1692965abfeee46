import { randomUUID } from 'node:crypto';
import { type AnalysisView, type ClusterView, CONDOR_PATH, type ProcView } from '../wire/condor.js';
import { RequestRejectedError, type SpartrayClient } from './client.js';

/** The cluster rejected a submit file because of an error at this line and column. */
export class SubmitFileRejectedError extends RequestRejectedError {
  constructor(
    message: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(400, message);
  }
}

/**
 * Client for clusters of HTCondor processes, with the retries of `SpartrayClient`. Methods throw the errors of that
 * client, and `SubmitFileRejectedError`.
 */
export class CondorClient {
  constructor(private readonly client: SpartrayClient) {}

  /** Submits a file; `rows` holds the items of the queue statements that read them from files, by statement index. */
  async submit(
    text: string,
    rows: Record<string, string[]>,
    user: string,
  ): Promise<{ cluster: number; procs: number; warnings: string[] }> {
    // The id is the same in all retries, so that a repeated request does not submit the file twice.
    const body = { submission: randomUUID(), text, rows, user };
    return (await this.request('POST', CONDOR_PATH, body)) as {
      cluster: number;
      procs: number;
      warnings: string[];
    };
  }

  async clusters(includeFinished = false): Promise<ClusterView[]> {
    return (
      (await this.request('GET', `${CONDOR_PATH}${includeFinished ? '?over=1' : ''}`, null)) as {
        clusters: ClusterView[];
      }
    ).clusters;
  }

  async procs(cluster: number): Promise<ProcView[]> {
    const procs: ProcView[] = [];
    for (;;) {
      const page = (await this.request(
        'GET',
        `${CONDOR_PATH}/${cluster}/procs?from=${procs.length}`,
        null,
      )) as {
        procs: ProcView[];
        more: boolean;
      };
      procs.push(...page.procs);
      if (!page.more) return procs;
    }
  }

  async analyze(cluster: number, proc: number): Promise<AnalysisView> {
    return (await this.request(
      'GET',
      `${CONDOR_PATH}/${cluster}/analyze?from=${proc}`,
      null,
    )) as AnalysisView;
  }

  /**
   * Holds, releases or removes the processes of a cluster that the selection matches. Returns the number of processes
   * that the action changed.
   */
  async act(
    action: 'hold' | 'release' | 'remove',
    cluster: number,
    selection: { procs?: number[]; constraint?: string; reason?: string },
  ): Promise<number> {
    return (
      (await this.request('POST', `${CONDOR_PATH}/${cluster}/${action}`, selection)) as { changed: number }
    ).changed;
  }

  private async request(method: string, path: string, body: object | null): Promise<unknown> {
    const response = await this.client.requestWithRetries(method, path, body, [200, 201, 400, 404, 405, 413]);
    if (response.status < 300) return response.body;
    const rejection = (response.body ?? {}) as { error?: string; line?: number; column?: number };
    const error = rejection.error ?? 'no reason given';
    if (rejection.line !== undefined)
      throw new SubmitFileRejectedError(error, rejection.line, rejection.column ?? 1);
    throw new RequestRejectedError(
      response.status,
      response.status === 413 ? 'more than 64 KiB with its items' : error,
    );
  }
}
