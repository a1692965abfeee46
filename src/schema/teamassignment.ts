import * as v from 'valibot';
import { KEYS } from './keys.js';

const teamsRecord = v.record(v.string(), v.number());

function readTeams(value: unknown): Record<string, number> | null {
  const parsed = v.safeParse(teamsRecord, value);
  return parsed.success ? parsed.output : null;
}

/**
 * Returns the shard of each team, merged from all records of the assignment; null if teams have not been assigned
 * yet.
 */
export function readTeamAssignment(
  entries: ReadonlyMap<string, { value: unknown }>,
): Record<string, number> | null {
  const first = entries.get(KEYS.teams);
  let assignment = first ? readTeams(first.value) : null;
  for (let n = 1; assignment && entries.has(KEYS.moreTeams(n)); n++)
    assignment = { ...readTeams(entries.get(KEYS.moreTeams(n))!.value), ...assignment };
  return assignment;
}
