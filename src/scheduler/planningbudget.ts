import type { ControllerContext } from '../context/context.js';

/** Maximum share of the controller's processor that planning may use, however much there is to plan. */
const MAX_PLANNING_CPU_SHARE = 0.15;
const MAX_PLAN_PAUSE_MS = 2000;
/**
 * Maximum cost of a plan in capacity profile queries. Beyond it, the remaining jobs in order only start where
 * there is capacity now.
 */
export const MAX_PLAN_PROBES = 150_000;

/** Returns the pause in milliseconds before the next plan, after a plan that took `tookMs`. */
export function pauseAfterPlanMs(context: ControllerContext, tookMs: number): number {
  // Ratio of the pause to the duration of the plan.
  const factor = 1 / (MAX_PLANNING_CPU_SHARE * Math.min(1, context.settings.limits.cores)) - 1;
  return Math.min(MAX_PLAN_PAUSE_MS, tookMs * factor);
}
