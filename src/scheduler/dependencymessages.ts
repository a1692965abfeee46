import * as v from 'valibot';

// Messages between the owners of shards about dependencies between jobs of different shards.

const dependentClaimValue = v.object({ id: v.string(), priority: v.number(), dueWall: v.number() });
/**
 * The claim of a shard on a job of another shard that jobs of its own depend on: the highest priority among the
 * dependents, and the latest end of the job (wall clock, in milliseconds) with which all of them can meet their
 * deadlines.
 */
export type DependentClaim = v.InferOutput<typeof dependentClaimValue>;

const dependencyStatusValue = v.object({
  id: v.string(),
  state: v.picklist(['active', 'done', 'cancelled', 'unknown']),
  /**
   * Time since it was last certain that none of its own dependencies causes the job to be cancelled, in
   * milliseconds.
   */
  ageMs: v.number(),
  /** Time until the expected end of the job, in milliseconds. */
  endInMs: v.number(),
});
/** The status of a job that jobs of other shards depend on. */
export type DependencyStatus = v.InferOutput<typeof dependencyStatusValue>;

/** Parses the claims in a message from another owner; returns none if it is malformed. */
export function readDependentClaims(value: unknown): DependentClaim[] {
  const parsed = v.safeParse(v.array(dependentClaimValue), value);
  return parsed.success ? parsed.output : [];
}

/** Parses the statuses in another owner's answer; returns none if it is malformed. */
export function readDependencyStatuses(value: unknown): DependencyStatus[] {
  const parsed = v.safeParse(v.array(dependencyStatusValue), value);
  return parsed.success ? parsed.output : [];
}
