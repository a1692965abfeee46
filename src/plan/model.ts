import type { Amounts } from './capacityprofile.js';

/** What a job asks of a machine beyond its size, type and zone; most jobs ask nothing. */
export interface Match {
  /** Whether a kind of machine may take the job at all. */
  kind(type: number, zone: number, spot: boolean): boolean;
  /** Whether this very machine may, of a kind that may; null when only the kind counts. */
  machine: ((m: PlanMachine) => boolean) | null;
  /** How much a machine is preferred, where nothing else decides; null for no preference. */
  rank: ((m: PlanMachine) => number) | null;
}

/** A machine as the plan sees it. All names are dense indices; times are seconds on the steady clock. */
export interface PlanMachine {
  /** Its name; null while it has none. */
  id: string | null;
  type: number;
  zone: number;
  spot: boolean;
  size: Amounts;
  /** From when it can take tasks; later than now while it boots. */
  readyAt: number;
  /** When the cloud takes it away. */
  until: number;
  /** No new task starts here for now, but what it holds is counted. */
  quarantined: boolean;
  fetchGbPerS: number;
  images: ReadonlySet<number>;
  running: RunningReservation[];
}

/** What a task on a machine takes, of whose team, and until when. */
export interface RunningReservation {
  team: number;
  end: number;
  need: Amounts;
}

/** A job as the plan sees it. All names are dense indices; times are seconds on the steady clock. */
export interface PlanJob {
  /** Its place in the order of acceptance. */
  id: number;
  team: number;
  kind: 'array' | 'gang' | 'service';
  need: Amounts;
  /** Allowed machine types, null for any. */
  types: ReadonlySet<number> | null;
  zone: number | null;
  match: Match | null;
  /** All of its tasks run in one zone. */
  oneZone: boolean;
  /** No more than half of its tasks run in one zone. */
  spread: boolean;
  /** Its tasks may run on machines that the cloud may reclaim. */
  spot: boolean;
  image: number;
  imageGb: number;
  /** How long a task is expected to run. */
  runS: number;
  deadline: number;
  /** It begins no earlier, since other jobs have to be done before, or tasks of it may still run. */
  earliestStart?: number;
  /** All tasks of the job, for `spread`. */
  total: number;
  /** Unstarted tasks to be placed, by their indices. */
  tasks: number[];
  /** Tasks on machines now, by zone. */
  present: ReadonlyMap<number, number>;
}

/** A task of a job on a machine, by its index, from `start` until `end`. */
export interface Reservation {
  job: PlanJob;
  task: number;
  machine: number;
  start: number;
  end: number;
}

/** Where an earlier plan had a task. */
export interface PreviousPlacement {
  machine: number;
  start: number;
}

/** What a team may use at once; 0 for no limit. */
export interface TeamCap {
  cpus: number;
  gpus: number;
}
