/** Types of the responses about HTCondor clusters. Their field names are those of the protocol. */

/** The state of a process (proc) of a cluster, in HTCondor's terms. */
export type ProcState = 'idle' | 'running' | 'held' | 'removed' | 'completed';

/** A cluster as shown to users, with the number of its processes in each state. */
export interface ClusterView {
  cluster: number;
  user: string;
  /** Batch name; null if the cluster has none. */
  batch: string | null;
  /** Submission time in seconds since 1970. */
  at: number;
  procs: number;
  /** Number of processes for which a job has been created. */
  jobs: number;
  state: 'active' | 'removing' | 'over';
  idle: number;
  running: number;
  held: number;
  removed: number;
  completed: number;
}

/** A process as shown to users. */
export interface ProcView {
  cluster: number;
  proc: number;
  user: string;
  state: ProcState;
  /** Id of the job that is created for the process. */
  job: string;
  cmd: string;
  priority: number;
  memoryMb: number;
  /** Submission time of the cluster in seconds since 1970. */
  at: number;
  /** Reason for being held or removed; null if there is none. */
  reason: string | null;
}

/** Analysis of a process: the machines that its requirements match, and the reason why it waits. */
export interface AnalysisView {
  cluster: number;
  proc: number;
  state: string;
  /** Number of machine kinds: combinations of type, zone and spot or not. */
  kinds: number;
  /** Number of machine kinds that satisfy the whole requirements expression. */
  matches: number;
  /** Clauses of the requirements, each with the number of matching kinds and, if there are none, the nearest value. */
  clauses: { text: string; matches: number; nearest?: string }[];
  reason: string | null;
  /** ClassAd of the process. */
  ad: string;
}

/** Path of the clusters, with the subpaths `/ID` and `/ID/ACTION`. */
export const CONDOR_PATH = '/condor/clusters';
