import * as v from 'valibot';

// Messages between the owners of shards on jobs that depend on each other across shards.

const dependentClaimValue = v.object({ id: v.string(), priority: v.number(), dueWall: v.number() });
/**
 * What a shard says of a job of another shard that jobs of its own depend on: the highest priority among the dependents,
 * and by when (milliseconds of the time of day) it has to end for all of them to meet their deadlines.
 */
export type DependentClaim = v.InferOutput<typeof dependentClaimValue>;

const dependencyStatusValue = v.object({
  id: v.string(),
  state: v.picklist(['active', 'done', 'cancelled', 'unknown']),
  /** How long ago the job was surely not to be cancelled for one of its own dependencies, in milliseconds. */
  ageMs: v.number(),
  /** In how many milliseconds it is expected to end. */
  endInMs: v.number(),
});
/** The status of a job that jobs of other shards depend on. */
export type DependencyStatus = v.InferOutput<typeof dependencyStatusValue>;

/** The claims in a message of another owner; none when it is malformed. */
export function readDependentClaims(value: unknown): DependentClaim[] {
  const p = v.safeParse(v.array(dependentClaimValue), value);
  return p.success ? p.output : [];
}

/** The statuses in another owner's answer; none when it is malformed. */
export function readDependencyStatuses(value: unknown): DependencyStatus[] {
  const p = v.safeParse(v.array(dependencyStatusValue), value);
  return p.success ? p.output : [];
}
