// What machines and users saw of a run, and what it is held against.
import type { JobView } from '../wire/users.js';

/** What a user was told, or did. */
export interface UserEvent {
  at: number;
  job: string;
  kind: 'submitted' | 'accepted' | 'refused' | 'told' | 'unknown' | 'cancel asked' | 'cancelled';
  status?: JobView['status'];
  /**
   * How many of these events there were when the request was sent that this one answers. What was heard after that may have
   * crossed with it; what was heard before it must not be older than. Without it, what was heard before this one counts.
   */
  asked?: number;
  /** Why the job that was accepted never should have been. */
  unfit?: string;
}

/** A rule that was broken, when (in milliseconds), and by what. */
export interface Violation {
  rule: string;
  at: number;
  what: string;
}

/** What the history is held against. */
export interface CheckLimits {
  teams: readonly { name: string; cpusMax: number; gpusMax: number }[];
  cancelS: number;
  /** When the order to start an attempt was sent, by `startName`, where that was seen. */
  startSentAt?: ReadonlyMap<string, number>;
}

/** Names a start of a task on a machine. */
export function startKey(machine: string, job: string, index: number, attempt: number): string {
  return `${machine} ${job}/${index}#${attempt}`;
}

/** Events of one moment come in no order that counts. */
export const TOLERANCE_MS = 50;

/** Reports a broken rule at a moment, in milliseconds. */
export type ReportViolation = (rule: string, at: number, what: string) => void;
