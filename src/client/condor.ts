import { randomUUID } from 'node:crypto';
import { Rejected, type SpartrayClient } from './client.js';

export interface ClusterView {
  cluster: number;
  user: string;
  batch: string | null;
  at: number;
  procs: number;
  /** Processes that are jobs by now. */
  jobs: number;
  state: 'active' | 'removing' | 'over';
  idle: number;
  running: number;
  held: number;
  removed: number;
  completed: number;
}

export interface ProcRow {
  cluster: number;
  proc: number;
  user: string;
  state: 'idle' | 'running' | 'held' | 'removed' | 'completed';
  job: string;
  cmd: string;
  priority: number;
  memoryMb: number;
  at: number;
  reason: string | null;
}

export interface AnalysisView {
  cluster: number;
  proc: number;
  state: string;
  kinds: number;
  matches: number;
  clauses: { text: string; matches: number; nearest?: string }[];
  reason: string | null;
  ad: string;
}

/** A submit file that cannot be read, by line and column. */
export class SubmitRejected extends Rejected {
  constructor(
    message: string,
    readonly line: number,
    readonly column: number,
  ) {
    super(400, message);
  }
}

const PATH = '/condor/clusters';

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
    return (await this.ask('POST', PATH, body)) as { cluster: number; procs: number; warnings: string[] };
  }

  async clusters(over = false): Promise<ClusterView[]> {
    return ((await this.ask('GET', `${PATH}${over ? '?over=1' : ''}`, null)) as { clusters: ClusterView[] })
      .clusters;
  }

  async procs(cluster: number): Promise<ProcRow[]> {
    const all: ProcRow[] = [];
    for (;;) {
      const page = (await this.ask('GET', `${PATH}/${cluster}/procs?from=${all.length}`, null)) as {
        procs: ProcRow[];
        more: boolean;
      };
      all.push(...page.procs);
      if (!page.more) return all;
    }
  }

  async analyze(cluster: number, proc: number): Promise<AnalysisView> {
    return (await this.ask('GET', `${PATH}/${cluster}/analyze?from=${proc}`, null)) as AnalysisView;
  }

  /** Holds, releases or removes processes; returns how many that changed. */
  async act(
    act: 'hold' | 'release' | 'remove',
    cluster: number,
    which: { procs?: number[]; constraint?: string; reason?: string },
  ): Promise<number> {
    return ((await this.ask('POST', `${PATH}/${cluster}/${act}`, which)) as { changed: number }).changed;
  }

  private async ask(method: string, path: string, body: object | null): Promise<unknown> {
    const answer = await this.client.repeat(method, path, body, [200, 201, 400, 404, 405, 413]);
    if (answer.status < 300) return answer.body;
    const told = (answer.body ?? {}) as { error?: string; line?: number; column?: number };
    const error = told.error ?? 'no reason given';
    if (told.line !== undefined) throw new SubmitRejected(error, told.line, told.column ?? 1);
    throw new Rejected(answer.status, answer.status === 413 ? 'more than 64 KiB with its items' : error);
  }
}
