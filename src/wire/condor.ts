/** What is answered about clusters of HTCondor submit files. */
export type ProcState = 'idle' | 'running' | 'held' | 'removed' | 'completed';

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

/** One process as users see it. */
export interface ProcView {
  cluster: number;
  proc: number;
  user: string;
  state: ProcState;
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

export const CONDOR_PATH = '/condor/clusters';
