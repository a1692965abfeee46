/**
 * Served fraction of a class or team below which it counts as not served and the run fails. A fraction below
 * `LOW_SERVED_SHARE` is a fault to investigate.
 */
export const FAILED_SERVED_SHARE = 0.5;
/** Served fraction of a class or team below which it is reported as low. */
export const LOW_SERVED_SHARE = 0.7;

/** Numbers of the jobs of one class, by outcome. */
export interface ServedCounts {
  name: string;
  team: string;
  submitted: number;
  accepted: number;
  started: number;
  done: number;
  cancelled: number;
}

/** Served fraction of the jobs of a class or team. */
export interface ServedFraction {
  /** `class NAME` or `team NAME`. */
  who: string;
  what: 'accepted' | 'started' | 'done';
  /** Fraction from 0 to 1 of the submitted jobs; cancelled jobs do not count, except in the fraction accepted. */
  share: number;
}

/** Returns the served fractions of each class and each team, lowest first. */
export function sharesOf(classes: readonly ServedCounts[]): ServedFraction[] {
  const servedRatio = (part: number, total: number) => (total > 0 ? Math.min(1, part / total) : 1);
  const shares: ServedFraction[] = [];
  const teams = new Map<string, { started: number; notCancelled: number }>();
  for (const counts of classes) {
    const notCancelled = counts.submitted - counts.cancelled;
    shares.push(
      {
        who: `class ${counts.name}`,
        what: 'accepted',
        share: servedRatio(counts.accepted, counts.submitted),
      },
      { who: `class ${counts.name}`, what: 'started', share: servedRatio(counts.started, notCancelled) },
      { who: `class ${counts.name}`, what: 'done', share: servedRatio(counts.done, notCancelled) },
    );
    const team = teams.get(counts.team) ?? { started: 0, notCancelled: 0 };
    teams.set(counts.team, {
      started: team.started + counts.started,
      notCancelled: team.notCancelled + notCancelled,
    });
  }
  for (const [name, t] of teams)
    shares.push({ who: `team ${name}`, what: 'started', share: servedRatio(t.started, t.notCancelled) });
  return shares.sort((a, b) => a.share - b.share);
}
