/** Responses about clusters of HTCondor submit files; these fields are the words of the wire too. */

/** The state of a process (proc) of a cluster, by HTCondor's terms. */
export type ProcState = 'idle' | 'running' | 'held' | 'removed' | 'completed';

/** One cluster, as users see it, with the number of its processes in each state. */
export interface ClusterView {
  cluster: number;
  user: string;
  /** Name of the batch, if it has one. */
  batch: string | null;
  /** When it was submitted: seconds since 1970. */
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

/** One process, as users see it. */
export interface ProcView {
  cluster: number;
  proc: number;
  user: string;
  state: ProcState;
  /** Id of the job that it becomes. */
  job: string;
  cmd: string;
  priority: number;
  memoryMb: number;
  /** When its cluster was submitted: seconds since 1970. */
  at: number;
  /** Why it is held or removed. */
  reason: string | null;
}

/** Why a process runs or waits: what its requirements match. */
export interface AnalysisView {
  cluster: number;
  proc: number;
  state: string;
  /** Number of kinds of machines (type, zone, spot or not) that there are. */
  kinds: number;
  /** Number of those that match all of the requirements. */
  matches: number;
  /** The clauses of the requirements, each with the number of kinds that match it and the value that comes nearest. */
  clauses: { text: string; matches: number; nearest?: string }[];
  reason: string | null;
  /** The ClassAd of the process. */
  ad: string;
}

/** Path of the clusters; `/ID` and `/ID/ACTION` are below it. */
export const CONDOR_PATH = '/condor/clusters';
