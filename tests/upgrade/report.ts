import { table } from '../../src/cli/output.js';
import type { Violation } from '../../src/load/history.js';
import { isOver, type Questions, type TrackedJob, type Users } from './users.js';

/** What happened while one step's cluster ran. */
export interface StepFigures {
  step: string;
  what: string;
  lengthS: number;
  /** Jobs accepted in earlier steps and not over when this one began, and how many of them are over at its end. */
  carried: number;
  carriedOver: number;
  /** Jobs of any step that were not over at the end. */
  left: number;
  /** Terms of shards: each new owner of a shard begins one. */
  terms: number;
  kills: number;
  /** Controllers that owned a shard, as `old` or `new` and their number. */
  owners: string[];
  /** Builds of a shard's owner and its standby, as `old>new`. */
  standbys: string[];
  /** Teams of the cluster when owners of both builds served some of them; 0 when they never did. */
  mixedTeams: number;
  /** Chunks of done tasks that the step's large array has at the end. */
  chunks: number;
  /** While a new cluster's users ask again until each job is answered for, and after that. */
  atTakeover: Questions;
  underLoad: Questions;
  /** Tasks that ran to their end more than once in this step. */
  twice: number;
  broken: Violation[];
}

/** What became of the jobs that were submitted in one step, over all steps. */
export interface JobFigures {
  step: string;
  submitted: number;
  accepted: number;
  refused: number;
  undecided: number;
  done: number;
  cancelled: number;
  /** Accepted, and neither done nor cancelled when all was over. */
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
    lost: count((job) => job.outcome === 'accepted' && !isOver(job)),
  };
}

/** The report of all steps that were played; it passes when no rule was broken and every job is accounted for. */
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

/** The verdict on one step, in a line for each rule that was broken. */
export function verdictOf({ step, what, broken }: StepFigures): string {
  const shown = broken.slice(0, VIOLATIONS_SHOWN).map((x) => `  ${x.rule}: ${x.what}`);
  const more = broken.length > shown.length ? [`  and ${broken.length - shown.length} more`] : [];
  const verdict = broken.length === 0 ? 'no rule broken' : `${broken.length} rules broken`;
  return [`step ${step} (${what}): ${verdict}`, ...shown, ...more].join('\n');
}

function shareOf({ asked, answered }: Questions): string {
  return `${answered}/${asked}`;
}

export function printable(report: UpgradeReport): string {
  const stepRows = report.steps.map((s) => [
    s.step,
    s.lengthS,
    s.carried,
    s.carriedOver,
    s.left,
    s.terms,
    s.kills,
    s.chunks,
    shareOf(s.atTakeover),
    shareOf(s.underLoad),
    s.twice,
    s.broken.length,
    s.owners.join(' '),
    s.standbys.join(' '),
  ]);
  const jobRows = report.jobs.map((f) => [
    f.step,
    f.submitted,
    f.accepted,
    f.refused,
    f.undecided,
    f.done,
    f.cancelled,
    f.lost,
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
