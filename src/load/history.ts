// Events that users observe during a run, and the limits that a run is checked against.
import type { JobView } from '../wire/users.js';

/** Answer that a user received, or action of a user. */
export interface UserEvent {
  at: number;
  job: string;
  kind: 'submitted' | 'accepted' | 'refused' | 'told' | 'unknown' | 'cancel asked' | 'cancelled';
  status?: JobView['status'];
  /**
   * Number of events recorded before the request was sent that this event answers. Answers that arrived after the
   * request was sent may have crossed with it; this event must not be older than those that arrived before. If
   * omitted, all events before this one count as arrived before the request.
   */
  eventsBeforeRequest?: number;
  /** Reason why the job should have been refused although it was accepted. */
  unfit?: string;
}

/** Violation of a rule, with its time in milliseconds and a description. */
export interface Violation {
  rule: string;
  at: number;
  what: string;
}

/** Limits and observations that a history is checked against. */
export interface CheckLimits {
  teams: readonly { name: string; cpusMax: number; gpusMax: number }[];
  cancelS: number;
  /** Time at which the command to start an attempt was sent, by `startKey`, where it was observed. */
  startSentAt?: ReadonlyMap<string, number>;
}

/** Returns a key that identifies the start of a task on a machine. */
export function startKey(machine: string, job: string, index: number, attempt: number): string {
  return `${machine} ${job}/${index}#${attempt}`;
}

/** Tolerance in comparisons of times, since the order of nearly simultaneous events is not significant. */
export const TOLERANCE_MS = 50;

/** Reports a violation of a rule at a time in milliseconds. */
export type ReportViolation = (rule: string, at: number, what: string) => void;
