import type { Amounts } from './capacityprofile.js';

/** Requirements of a job on a machine beyond its size, type and zone; most jobs have none. */
export interface Match {
  /** Returns whether a kind of machine may run the job. */
  kind(type: number, zone: number, spot: boolean): boolean;
  /**
   * Returns whether a specific machine of an allowed kind may run the job; null when only the kind matters.
   */
  machine: ((m: PlanMachine) => boolean) | null;
  /**
   * Returns the preference for a machine, which only breaks ties between otherwise equal machines; null for
   * no preference.
   */
  rank: ((m: PlanMachine) => number) | null;
}

/**
 * Machine as represented in a plan. Names are mapped to dense indices; times are seconds on the monotonic
 * clock.
 */
export interface PlanMachine {
  /** Name of the machine; null while it has none. */
  id: string | null;
  type: number;
  zone: number;
  spot: boolean;
  size: Amounts;
  /** Time from which the machine can run tasks; in the future while it boots. */
  readyAt: number;
  /** Time at which the cloud reclaims the machine. */
  until: number;
  /** Whether no new task may start here for now; running tasks still count as use. */
  quarantined: boolean;
  fetchGbPerS: number;
  images: ReadonlySet<number>;
  running: RunningReservation[];
}

/** Resources that a running task uses, the team it belongs to, and its expected end. */
export interface RunningReservation {
  team: number;
  end: number;
  need: Amounts;
}

/**
 * Job as represented in a plan. Names are mapped to dense indices; times are seconds on the monotonic clock.
 */
export interface PlanJob {
  /** Position of the job in the order of acceptance. */
  id: number;
  team: number;
  kind: 'array' | 'gang' | 'service';
  need: Amounts;
  /** Allowed machine types; null for any. */
  types: ReadonlySet<number> | null;
  zone: number | null;
  match: Match | null;
  /** Whether all tasks have to run in one zone. */
  oneZone: boolean;
  /** Whether at most half of the tasks may run in any one zone. */
  spread: boolean;
  /** Whether the tasks may run on spot machines, which the cloud may reclaim. */
  spot: boolean;
  image: number;
  imageGb: number;
  /** Expected run time of a task, in seconds. */
  runS: number;
  deadline: number;
  /**
   * Earliest start: set when dependencies have to end first, or when tasks of the job may still be running
   * elsewhere.
   */
  earliestStart?: number;
  /** Total number of tasks of the job, used for `spread`. */
  total: number;
  /** Indices of the unstarted tasks to be placed. */
  tasks: number[];
  /** Number of tasks on machines now, by zone. */
  placedByZone: ReadonlyMap<number, number>;
}

/** Planned run of one task, given by its index in the job, on a machine from `start` until `end`. */
export interface Reservation {
  job: PlanJob;
  task: number;
  machine: number;
  start: number;
  end: number;
}

/** Machine and start that an earlier plan assigned to a task. */
export interface PreviousPlacement {
  machine: number;
  start: number;
}

/** Limits on the resources that a team may use at once; 0 for no limit. */
export interface TeamCap {
  cpus: number;
  gpus: number;
}
