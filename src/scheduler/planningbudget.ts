import type { ControllerContext } from '../context/context.js';

/** Planning takes no more than this of the processor that a controller has, however much there is to plan. */
const MAX_PLANNING_CPU_SHARE = 0.15;
const MAX_PLAN_PAUSE_MS = 2000;
/** What a plan may cost in probes of machines; the jobs that come after in order only start where there is capacity now. */
export const MAX_PLAN_PROBES = 150_000;

/** How long after a plan that took `tookMs` no other is made, in milliseconds. */
export function pauseAfterPlanMs(context: ControllerContext, tookMs: number): number {
  // How many times as long as the plan took.
  const factor = 1 / (MAX_PLANNING_CPU_SHARE * Math.min(1, context.settings.limits.cores)) - 1;
  return Math.min(MAX_PLAN_PAUSE_MS, tookMs * factor);
}
