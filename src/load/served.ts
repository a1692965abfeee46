/** Below this a class or a team has not been served, and the play has failed; below `LOW` it is a fault to trace. */
export const FAILED_SERVED_SHARE = 0.5;
/** A class or team of which a smaller share was served is reported as low. */
export const LOW_SERVED_SHARE = 0.7;

/** What became of the jobs of one class. */
export interface ServedCounts {
  name: string;
  team: string;
  submitted: number;
  accepted: number;
  started: number;
  done: number;
  cancelled: number;
}

/** What share of the jobs of a class or team was served. */
export interface Share {
  /** `class NAME` or `team NAME`. */
  who: string;
  what: 'accepted' | 'started' | 'done';
  /** From 0 to 1, of what was asked for and not cancelled. */
  share: number;
}

/** What share of each class and of each team was served, the lowest first. */
export function sharesOf(classes: readonly ServedCounts[]): Share[] {
  const share = (part: number, of: number) => (of > 0 ? Math.min(1, part / of) : 1);
  const shares: Share[] = [];
  const teams = new Map<string, { started: number; asked: number }>();
  for (const c of classes) {
    const asked = c.submitted - c.cancelled;
    shares.push(
      { who: `class ${c.name}`, what: 'accepted', share: share(c.accepted, c.submitted) },
      { who: `class ${c.name}`, what: 'started', share: share(c.started, asked) },
      { who: `class ${c.name}`, what: 'done', share: share(c.done, asked) },
    );
    const team = teams.get(c.team) ?? { started: 0, asked: 0 };
    teams.set(c.team, { started: team.started + c.started, asked: team.asked + asked });
  }
  for (const [name, t] of teams)
    shares.push({ who: `team ${name}`, what: 'started', share: share(t.started, t.asked) });
  return shares.sort((a, b) => a.share - b.share);
}
