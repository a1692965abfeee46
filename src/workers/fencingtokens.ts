import type { Machine, TaskAttempt } from './machine.js';
import type { RegistryContext } from './registryhooks.js';

/** Interval at which the renewal of a token is retried. */
const RENEWAL_RETRY_MS = 1000;
/** Time within which the shard's own writes usually give a newer revision, so that no extra one is needed. */
const NEWER_REVISION_WAIT_MS = 2000;

/**
 * Raises the fencing tokens of machines, which makes every command sent under an earlier token void.
 *
 * Any revision of the key-value store at which this node is known to have owned the shard may serve as a token. It is
 * below the tokens of all later owners, because these use their terms, and the terms of later owners are greater; and
 * below those of other shards that the machine goes to later, because a machine's token stays as it is while its record
 * may be assigning it to another shard.
 */
export class FencingTokens {
  private newerRevisionRequested = false;

  constructor(
    private readonly context: Pick<RegistryContext, 'clock' | 'log' | 'hooks' | 'machines' | 'isStopped'>,
  ) {}

  /**
   * Raises a machine's token so that its worker may forget the attempts whose exits are recorded. A worker that has
   * forgotten an attempt no longer recognizes a repeated start of it, and would execute it again under the token that
   * the start was sent under. If no newer revision is known yet, one is requested, and the attempts stay known to the
   * worker until a later heartbeat.
   */
  raiseToForget(machine: Machine): void {
    // A start in flight would be refused under a newer token.
    if (!awaitsNewerToken(machine) || hasStart(machine, 'sending')) return;
    if (!this.raise(machine)) this.requestNewerRevision(machine);
  }

  /**
   * Raises a machine's token past those of its unanswered starts, so that these can no longer be executed; retries
   * until that succeeds or no such start is left. The machine has to be reconciled again. Returns false if the token
   * was not raised.
   */
  async raiseToVoidUnansweredStarts(machine: Machine): Promise<boolean> {
    while (this.isPresent(machine) && hasStart(machine, 'unsure')) {
      if (this.raise(machine) || (await this.renew(machine))) {
        machine.minFencingToken = machine.fencingToken;
        machine.reconciled = false;
        return true;
      }
      await new Promise<void>((resolve) => {
        this.context.clock.after(RENEWAL_RETRY_MS, resolve);
      });
    }
    return false;
  }

  /** Raises a machine's token to the latest revision known. Returns false if that is not newer or not safe now. */
  private raise(machine: Machine): boolean {
    const { hooks } = this.context;
    const revision = hooks.ownedRevision();
    if (revision <= machine.fencingToken || hooks.isChangingShard(machine)) return false;
    machine.fencingToken = revision;
    return true;
  }

  /** Raises a machine's token by writing its record. Returns false if the write failed or its outcome is unknown. */
  private async renew(machine: Machine): Promise<boolean> {
    try {
      machine.version = await this.context.hooks.writeRecord(machine);
      machine.fencingToken = Math.max(machine.fencingToken, machine.version);
      return true;
    } catch {
      return false;
    }
  }

  /** Writes the machine's record after a while, unless other writes of the shard give a newer revision before. */
  private requestNewerRevision(machine: Machine): void {
    if (this.newerRevisionRequested) return;
    this.newerRevisionRequested = true;
    this.context.clock.after(NEWER_REVISION_WAIT_MS, () => {
      void this.writeForNewerRevision(machine).finally(() => {
        this.newerRevisionRequested = false;
      });
    });
  }

  private async writeForNewerRevision(machine: Machine): Promise<void> {
    const { hooks } = this.context;
    if (!this.isPresent(machine) || !awaitsNewerToken(machine) || hooks.isChangingShard(machine)) return;
    if (hooks.ownedRevision() > machine.fencingToken) return;
    try {
      // The token itself is raised with the next heartbeat, when no start is in flight.
      machine.version = await hooks.writeRecord(machine);
    } catch (error) {
      this.context.log.debug({ machine: machine.id, err: error }, 'no newer revision: will be retried');
    }
  }

  private isPresent(machine: Machine): boolean {
    return !this.context.isStopped() && this.context.machines.get(machine.id) === machine;
  }
}

/** Returns whether an attempt has exited and nothing about it remains to be stored. */
export function isExitRecorded(attempt: TaskAttempt): boolean {
  return attempt.state === 'exited' && attempt.exitRecorded;
}

/** Returns whether a repeat of an attempt's start is void, because its machine's commands carry a newer token. */
export function isStartVoid(attempt: TaskAttempt): boolean {
  return attempt.fencingToken < attempt.machine.fencingToken;
}

/** Returns whether a machine holds an attempt that it may forget only under a newer token. */
function awaitsNewerToken(machine: Machine): boolean {
  for (const attempt of machine.attempts.values())
    if (isExitRecorded(attempt) && !isStartVoid(attempt)) return true;
  return false;
}

function hasStart(machine: Machine, phase: TaskAttempt['startPhase']): boolean {
  for (const attempt of machine.attempts.values()) if (attempt.startPhase === phase) return true;
  return false;
}
