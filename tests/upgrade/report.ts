import { table } from '../../src/cli/output.js';
import type { Violation } from '../../src/load/history.js';
import { isEnded, type Questions, type TrackedJob, type Users } from './users.js';

/** Measurements of the run of one step's cluster. */
export interface StepFigures {
  step: string;
  what: string;
  lengthS: number;
  /**
   * Jobs accepted in earlier steps that had not ended when this step began, and how many of these have ended at its
   * end.
   */
  carried: number;
  carriedOver: number;
  /** Jobs of any step that had not ended at the end of this step. */
  left: number;
  /** Terms of shards: each new owner of a shard begins one. */
  terms: number;
  kills: number;
  /** Controllers that owned a shard, as `old` or `new` and their number. */
  owners: string[];
  /** Builds of a shard's owner and its standby, as `old>new`. */
  standbys: string[];
  /** Maximum number of teams at a moment at which owners of both builds served teams; 0 when they never did. */
  mixedTeams: number;
  /** Stored chunks of completed tasks of the step's large array at the end. */
  chunks: number;
  /** Status requests: while users repeat them until a new cluster has answered for each job, and after that. */
  atTakeover: Questions;
  underLoad: Questions;
  /** Tasks that completed more than once in this step. */
  twice: number;
  broken: Violation[];
}

/** Outcomes of the jobs that were submitted in one step, at the end of all steps. */
export interface JobFigures {
  step: string;
  submitted: number;
  accepted: number;
  refused: number;
  undecided: number;
  done: number;
  cancelled: number;
  /** Accepted jobs that were neither done nor cancelled at the end of the last step. */
  lost: number;
}

export interface UpgradeReport {
  passed: boolean;
  speed: number;
  realS: number;
  steps: StepFigures[];
  jobs: JobFigures[];
}

function figuresOf(step: string, jobs: readonly TrackedJob[]): JobFigures {
  const count = (matches: (job: TrackedJob) => boolean) => jobs.filter(matches).length;
  return {
    step,
    submitted: jobs.length,
    accepted: count((job) => job.outcome === 'accepted'),
    refused: count((job) => job.outcome === 'refused'),
    undecided: count((job) => job.outcome === 'undecided' || job.outcome === 'pending'),
    done: count((job) => job.view?.status === 'done'),
    cancelled: count((job) => job.view?.status === 'cancelled'),
    lost: count((job) => job.outcome === 'accepted' && !isEnded(job)),
  };
}

/**
 * Builds the report of the steps; it passes when all planned steps ran, no rule was broken and every job is
 * accounted for.
 */
export function reportOf(steps: StepFigures[], users: Users, planned: number, speed: number): UpgradeReport {
  const all = [...users.jobs.values()];
  const jobs = steps.map(({ step }) =>
    figuresOf(
      step,
      all.filter((job) => job.step === step),
    ),
  );
  const accounted = jobs.every((f) => f.accepted > 0 && f.refused + f.undecided + f.lost === 0);
  const passed = steps.length === planned && accounted && steps.every((s) => s.broken.length === 0);
  return { passed, speed, realS: Math.round(performance.now() / 1000), steps, jobs };
}

const VIOLATIONS_SHOWN = 10;

/** Formats the verdict on one step, with a line for each violation. */
export function verdictOf({ step, what, broken }: StepFigures): string {
  const shown = broken.slice(0, VIOLATIONS_SHOWN).map((x) => `  ${x.rule}: ${x.what}`);
  const more = broken.length > shown.length ? [`  and ${broken.length - shown.length} more`] : [];
  const verdict = broken.length === 0 ? 'no rule broken' : `${broken.length} rules broken`;
  return [`step ${step} (${what}): ${verdict}`, ...shown, ...more].join('\n');
}

function answeredShare({ asked, answered }: Questions): string {
  return `${answered}/${asked}`;
}

export function printable(report: UpgradeReport): string {
  const stepRows = report.steps.map((step) => [
    step.step,
    step.lengthS,
    step.carried,
    step.carriedOver,
    step.left,
    step.terms,
    step.kills,
    step.chunks,
    answeredShare(step.atTakeover),
    answeredShare(step.underLoad),
    step.twice,
    step.broken.length,
    step.owners.join(' '),
    step.standbys.join(' '),
  ]);
  const jobRows = report.jobs.map((job) => [
    job.step,
    job.submitted,
    job.accepted,
    job.refused,
    job.undecided,
    job.done,
    job.cancelled,
    job.lost,
  ]);
  const stepHead = ['STEP', 'SECONDS', 'CARRIED', 'OVER', 'LEFT', 'TERMS', 'KILLS', 'CHUNKS'];
  return [
    table([...stepHead, 'TAKEOVER', 'ANSWERED', 'TWICE', 'BROKEN', 'OWNERS', 'STANDBYS'], stepRows),
    '',
    table(['JOBS OF', 'SUBMITTED', 'ACCEPTED', 'REFUSED', 'UNDECIDED', 'DONE', 'CANCELLED', 'LOST'], jobRows),
    '',
    `${report.passed ? 'passed' : 'FAILED'} at ${report.speed} times the time of day in ${report.realS} s (simulated machines)`,
  ].join('\n');
}
