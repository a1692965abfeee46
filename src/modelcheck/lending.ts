import type {
  HomeRecord,
  LendingLimits,
  LendingMessage,
  PartnerRecord,
  Step,
} from '../federation/lending.js';
import * as lending from '../federation/lending.js';
import type { Model } from './explore.js';

/** Transitions under test: those of production, or a copy in which one of them is broken. */
export type Transitions = Pick<
  typeof lending,
  | 'mayRunHome'
  | 'lend'
  | 'renew'
  | 'reclaimExpired'
  | 'acceptReturn'
  | 'acceptCompletion'
  | 'completeAtHome'
  | 'cancel'
  | 'acceptLoan'
  | 'extend'
  | 'start'
  | 'mayRunBorrowed'
  | 'mustStop'
  | 'completeAtPartner'
  | 'handleRecall'
  | 'handleStop'
>;
/** Transitions of production. */
export const PRODUCTION: Transitions = lending;

/** Limits of the explored model. */
export interface Bounds {
  /** A job is not lent any more from this epoch on. */
  epochs: number;
  /** Maximum number of messages in flight; further messages are lost. */
  messages: number;
  /** Maximum number of writes waiting to be applied to either store. */
  writes: number;
  cancels: boolean;
  limits: LendingLimits;
  /** Whether answers and messages precede storing, a fault the model must detect; production stores first. */
  answersBeforeStoring?: boolean;
}

type Side = 'home' | 'partner';

/** A conditional change of one side's record, which may be applied late, or after its sender has crashed. */
interface PendingWrite {
  side: Side;
  version: number;
  record: HomeRecord | PartnerRecord;
  say: LendingMessage | null;
}

/** State of the model. */
export interface State {
  t: number;
  home: HomeRecord;
  homeVersion: number;
  partner: PartnerRecord | null;
  partnerVersion: number;
  pendingWrites: PendingWrite[];
  /** Messages in flight to the home cluster and to the partner. */
  messages: { to: Side; message: LendingMessage }[];
  /** Whether tasks are on machines of the home cluster and of the partner. */
  runsHome: boolean;
  runsPartner: boolean;
  /** Times at which the partner's controllers began to stop its tasks, and at which they all failed. */
  stoppingAt: number | null;
  partnerDown: number | null;
  /** The answer given to the user, and its time, which limits how long tasks may run after a cancellation. */
  answered: lending.JobOutcome | null;
  answeredAt: number;
  /** Whether the user received an answer that differs from an earlier one. */
  answerChanged: boolean;
  /** Epochs under which tasks ran to completion. */
  finished: number[];
}

/**
 * Models one job, its home cluster and a partner. Each clock reading may be off by up to the skew. Messages are
 * lost, duplicated, delayed and reordered; stores apply writes late; controllers fail at any time, and tasks
 * continue without them.
 */
export function lendingModel(rules: Transitions, bounds: Bounds): Model<State> {
  const { limits } = bounds;
  // Decisions by a clock are made with one of the two extreme readings, which cover all readings in between.
  const clockReadings = (t: number) => [t - limits.skewMs, t + limits.skewMs];

  const copy = (state: State): State => ({
    ...state,
    pendingWrites: [...state.pendingWrites],
    messages: [...state.messages],
    finished: [...state.finished],
  });
  const send = (state: State, from: Side, message: LendingMessage | null) => {
    if (message && state.messages.length < bounds.messages)
      state.messages.push({ to: from === 'home' ? 'partner' : 'home', message });
  };
  const answerUser = (state: State, final: lending.JobOutcome | null) => {
    if (final === null) return;
    if (state.answered !== null && state.answered !== final) state.answerChanged = true;
    if (state.answered === null) state.answeredAt = state.t;
    state.answered ??= final;
  };
  /** Queues the write of a step's record, applied at any later time; the step's message is sent after that. */
  const write = (state: State, side: Side, step: Step<HomeRecord | PartnerRecord>): State | null => {
    if (step.record === null) {
      if (step.say === null) return null;
      const changed = copy(state);
      send(changed, side, step.say);
      return changed;
    }
    if (state.pendingWrites.length >= bounds.writes) return null;
    const changed = copy(state);
    const version = side === 'home' ? state.homeVersion : state.partnerVersion;
    changed.pendingWrites.push({ side, version, record: step.record, say: step.say });
    if (bounds.answersBeforeStoring) {
      send(changed, side, step.say);
      if (side === 'home') answerUser(changed, (step.record as HomeRecord).final);
    }
    return changed;
  };
  const apply = (state: State, pending: PendingWrite, answered: boolean): State => {
    const changed = copy(state);
    changed.pendingWrites.splice(changed.pendingWrites.indexOf(pending), 1);
    if (pending.side === 'home') {
      if (pending.version !== state.homeVersion) return changed;
      changed.home = pending.record as HomeRecord;
      changed.homeVersion++;
      if (answered) answerUser(changed, changed.home.final);
    } else {
      if (pending.version !== state.partnerVersion) return changed;
      changed.partner = pending.record as PartnerRecord;
      changed.partnerVersion++;
    }
    if (answered) send(changed, pending.side, pending.say);
    return changed;
  };

  /** The steps of one side on a job are serialized by a lock. */
  const hasPendingWrite = (state: State, side: Side) => state.pendingWrites.some((w) => w.side === side);

  function* atHome(state: State): Generator<{ action: string; state: State | null }> {
    if (hasPendingWrite(state, 'home')) {
      // The new owner has a later term, so writes of the previous owner still pending are never applied.
      yield {
        action: 'home has a new owner',
        state: { ...copy(state), pendingWrites: state.pendingWrites.filter((w) => w.side !== 'home') },
      };
      return;
    }
    if (rules.mayRunHome(state.home) && !state.runsHome)
      yield { action: 'home starts', state: { ...copy(state), runsHome: true } };
    if (state.runsHome) {
      const done = copy(state);
      done.runsHome = false;
      done.finished.push(state.home.epoch);
      yield { action: 'home completes', state: write(done, 'home', rules.completeAtHome(state.home)) };
      if (!rules.mayRunHome(state.home))
        yield { action: 'home stops', state: { ...copy(state), runsHome: false } };
    }
    if (bounds.cancels)
      yield { action: 'user cancels', state: write(state, 'home', rules.cancel(state.home)) };
    if (state.home.final !== null) {
      const queried = copy(state);
      answerUser(queried, state.home.final);
      yield { action: 'user queries the status', state: queried };
    }
    for (const now of clockReadings(state.t)) {
      if (!state.runsHome && state.home.epoch < bounds.epochs)
        yield {
          action: `home lends at ${now}`,
          state: write(state, 'home', rules.lend(state.home, 'p', now, limits)),
        };
      yield {
        action: `home takes back at ${now}`,
        state: write(state, 'home', rules.reclaimExpired(state.home, now, limits)),
      };
    }
    if (state.home.lent && state.home.final === null) {
      const recalled = copy(state);
      send(recalled, 'home', { kind: 'recall', epoch: state.home.epoch });
      yield { action: 'home sends a recall', state: recalled };
    }
  }

  function* atPartner(state: State): Generator<{ action: string; state: State | null }> {
    if (state.partnerDown !== null) {
      yield { action: 'partner recovers', state: { ...copy(state), partnerDown: null } };
      return;
    }
    const kept = state.pendingWrites.filter((w) => w.side !== 'partner');
    yield { action: 'partner fails', state: { ...copy(state), partnerDown: state.t, pendingWrites: kept } };
    if (hasPendingWrite(state, 'partner')) return;
    const loan = state.partner;
    if (!loan) return;
    for (const now of clockReadings(state.t)) {
      yield {
        action: `partner stores a start at ${now}`,
        state: write(state, 'partner', rules.start(loan, now, limits)),
      };
      if (!state.runsPartner && state.stoppingAt === null && rules.mayRunBorrowed(loan, now, limits))
        yield { action: `partner starts at ${now}`, state: { ...copy(state), runsPartner: true } };
    }
    if (state.runsPartner && state.stoppingAt === null) {
      const done = copy(state);
      done.runsPartner = false;
      done.finished.push(loan.epoch);
      yield { action: 'partner completes', state: write(done, 'partner', rules.completeAtPartner(loan)) };
    }
    if (loan.state === 'started' || loan.state === 'held') {
      const requested = copy(state);
      send(requested, 'partner', { kind: 'renew', epoch: loan.epoch });
      yield { action: 'partner requests a renewal', state: requested };
    }
    if (loan.state === 'done') {
      const completed = copy(state);
      send(completed, 'partner', { kind: 'done', epoch: loan.epoch });
      yield { action: 'partner reports completion', state: completed };
    }
  }

  function* deliver(
    state: State,
    to: Side,
    message: LendingMessage,
  ): Generator<{ action: string; state: State | null }> {
    const label = `${message.kind} ${message.epoch} reaches ${to}`;
    if (hasPendingWrite(state, to)) return;
    if (to === 'partner') {
      if (state.partnerDown !== null) return;
      const loan = state.partner;
      if (message.kind === 'lend')
        for (const now of clockReadings(state.t))
          yield {
            action: `${label} at ${now}`,
            state: write(state, 'partner', rules.acceptLoan(loan, message.epoch, message.until, now, limits)),
          };
      if (!loan) return;
      if (message.kind === 'granted')
        yield {
          action: label,
          state: write(state, 'partner', rules.extend(loan, message.epoch, message.until)),
        };
      if (message.kind === 'recall')
        yield { action: label, state: write(state, 'partner', rules.handleRecall(loan, message.epoch)) };
      if (message.kind === 'stop')
        yield { action: label, state: write(state, 'partner', rules.handleStop(loan, message.epoch)) };
      return;
    }
    if (message.kind === 'renew')
      for (const now of clockReadings(state.t))
        yield {
          action: `${label} at ${now}`,
          state: write(state, 'home', rules.renew(state.home, message.epoch, now, limits)),
        };
    if (message.kind === 'returned')
      yield { action: label, state: write(state, 'home', rules.acceptReturn(state.home, message.epoch)) };
    if (message.kind === 'done')
      yield { action: label, state: write(state, 'home', rules.acceptCompletion(state.home, message.epoch)) };
  }

  /** Advances the time. Running controllers act at the latest when the slowest possible clock reaches the limit. */
  function tick(state: State): State {
    const after = copy(state);
    after.t++;
    if (!after.runsPartner) after.stoppingAt = null;
    else if (after.partnerDown !== null) {
      // No controller answers the partner's machines any more, so their leases expire.
      if (after.t - after.partnerDown >= limits.stopMs) after.runsPartner = false;
    } else {
      if (
        after.stoppingAt === null &&
        after.partner &&
        rules.mustStop(after.partner, after.t - limits.skewMs, limits)
      )
        after.stoppingAt = after.t;
      if (after.stoppingAt !== null && after.t - after.stoppingAt >= limits.stopMs) after.runsPartner = false;
    }
    if (!after.runsPartner) after.stoppingAt = null;
    return after;
  }

  function* next(state: State): Generator<{ action: string; state: State }> {
    yield { action: 'time passes', state: tick(state) };
    for (const pending of state.pendingWrites) {
      yield { action: `${pending.side} stores`, state: apply(state, pending, true) };
      yield { action: `${pending.side} stores, response lost`, state: apply(state, pending, false) };
    }
    for (const step of [...atHome(state), ...atPartner(state)])
      if (step.state) yield { action: step.action, state: step.state };
    for (const [i, { to, message }] of state.messages.entries()) {
      const without = copy(state);
      without.messages.splice(i, 1);
      yield { action: `${message.kind} is lost`, state: without };
      for (const step of deliver(without, to, message))
        if (step.state) yield { action: step.action, state: step.state };
      for (const step of deliver(state, to, message))
        if (step.state) yield { action: `${step.action}, and will arrive again`, state: step.state };
    }
  }

  return {
    initial: {
      t: 0,
      home: { epoch: 1, lent: null, final: null },
      homeVersion: 0,
      partner: null,
      partnerVersion: 0,
      pendingWrites: [],
      messages: [],
      runsHome: false,
      runsPartner: false,
      stoppingAt: null,
      partnerDown: null,
      answered: null,
      answeredAt: 0,
      answerChanged: false,
      finished: [],
    },
    next,
    violationIn(state) {
      if (state.runsHome && state.runsPartner) return 'runs in two clusters';
      if (state.answerChanged) return 'an answer changed';
      if (state.answered !== null && state.home.final !== null && state.answered !== state.home.final)
        return 'reported a result that is not stored';
      if (state.home.final === 'done' && !state.finished.includes(state.home.epoch))
        return 'done under an epoch that is no longer valid';
      const latestEnd =
        state.answered === 'cancelled'
          ? state.answeredAt + limits.leaseMs + 2 * limits.skewMs
          : Number.POSITIVE_INFINITY;
      if (state.runsPartner && state.t > latestEnd) return 'runs long after its cancellation was reported';
      return null;
    },
    // The key holds only remaining times and whether a write's version matches, so finitely many keys cover all time.
    key: (state) => {
      const left = (until: number) => Math.max(until - state.t, -2 * limits.skewMs - limits.stopMs - 1);
      const since = (at: number | null, max: number) => (at === null ? '-' : Math.min(state.t - at, max));
      const home = (r: HomeRecord) => `${r.epoch}${r.lent ? `l${left(r.lent.until)}` : ''}${r.final ?? ''}`;
      const partner = (r: PartnerRecord) => `${r.epoch}${r.state}${left(r.until)}`;
      const messageKey = (message: LendingMessage | null) =>
        message && `${message.kind}${message.epoch}${'until' in message ? `l${left(message.until)}` : ''}`;
      const writes = state.pendingWrites.map((w) => {
        const current = w.version === (w.side === 'home' ? state.homeVersion : state.partnerVersion);
        const record = w.side === 'home' ? home(w.record as HomeRecord) : partner(w.record as PartnerRecord);
        return `${w.side}${current}${record}${messageKey(w.say)}`;
      });
      const messages = state.messages.map(({ to, message }) => `${to}${messageKey(message)}`);
      const sinceAnswer =
        state.answered === 'cancelled' ? since(state.answeredAt, limits.leaseMs + 2 * limits.skewMs + 1) : '';
      const running = `${state.runsHome}${state.runsPartner}${since(state.stoppingAt, limits.stopMs)}${since(state.partnerDown, limits.stopMs)}`;
      const parts = [
        home(state.home),
        state.partner ? partner(state.partner) : '',
        running,
        state.answered,
        sinceAnswer,
        state.answerChanged,
        [...new Set(state.finished)].sort(),
      ];
      return `${parts.join()};${messages.sort().join()};${writes.sort().join()}`;
    },
    isGoodEnd: (state) => state.home.final !== null,
  };
}
