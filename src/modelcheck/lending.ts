import type {
  HomeRecord,
  LendingLimits,
  LendingMessage,
  PartnerRecord,
  Step,
} from '../federation/lending.js';
import * as lending from '../federation/lending.js';
import type { Model } from './explore.js';

/** The transitions that are looked at: those of production, or with one of them broken. */
export type Transitions = Pick<
  typeof lending,
  | 'mayRunHome'
  | 'lend'
  | 'renew'
  | 'takeBack'
  | 'takeReturned'
  | 'takeDone'
  | 'doneHome'
  | 'cancel'
  | 'borrow'
  | 'extend'
  | 'start'
  | 'mayRunBorrowed'
  | 'mustStop'
  | 'doneBorrowed'
  | 'giveBack'
  | 'drop'
>;
/** The transitions of production. */
export const PRODUCTION: Transitions = lending;

/** How far the model goes. */
export interface Bounds {
  /** A job is lent no more from this epoch on. */
  epochs: number;
  /** Messages under way at once; more are lost. */
  messages: number;
  /** Writes to either store that wait for being applied. */
  writes: number;
  cancels: boolean;
  limits: LendingLimits;
  /** Answers and messages go out before it is stored, to see that this is found: production stores first. */
  answersBeforeStoring?: boolean;
}

type Side = 'home' | 'partner';

/** A conditional change of one side's record, which may be applied late, or after whoever sent it has died. */
interface PendingWrite {
  side: Side;
  version: number;
  record: HomeRecord | PartnerRecord;
  say: LendingMessage | null;
}

/** A state of the model. */
export interface State {
  t: number;
  home: HomeRecord;
  homeVersion: number;
  partner: PartnerRecord | null;
  partnerVersion: number;
  pendingWrites: PendingWrite[];
  /** To home and to the partner. */
  messages: { to: Side; m: LendingMessage }[];
  /** Whether tasks are on machines. */
  runsHome: boolean;
  runsPartner: boolean;
  /** When the partner's controllers began to stop its tasks, or all died. */
  stoppingAt: number | null;
  partnerDown: number | null;
  /** What the user has been answered, and when; of a cancellation, for how long it may run on. */
  answered: lending.Final | null;
  answeredAt: number;
  /** The user was answered something else than before. */
  answerChanged: boolean;
  /** Tasks ran to their end, under these epochs. */
  finished: number[];
}

/**
 * One job, its home and a partner. Clocks show anything within the skew at each look; messages are lost, doubled,
 * delayed and reordered; stores apply writes late; controllers end at any moment, and tasks run on without them.
 */
export function lendingModel(f: Transitions, b: Bounds): Model<State> {
  const { limits } = b;
  // What is decided by a clock is decided by one of the two ends for all that lies between.
  const clocks = (t: number) => [t - limits.skewMs, t + limits.skewMs];

  const copy = (s: State): State => ({
    ...s,
    pendingWrites: [...s.pendingWrites],
    messages: [...s.messages],
    finished: [...s.finished],
  });
  const send = (s: State, from: Side, m: LendingMessage | null) => {
    if (m && s.messages.length < b.messages) s.messages.push({ to: from === 'home' ? 'partner' : 'home', m });
  };
  const answerUser = (s: State, final: lending.Final | null) => {
    if (final === null) return;
    if (s.answered !== null && s.answered !== final) s.answerChanged = true;
    if (s.answered === null) s.answeredAt = s.t;
    s.answered ??= final;
  };
  /** Stores what a step says, at some later moment, and says it after that. */
  const write = (s: State, side: Side, step: Step<HomeRecord | PartnerRecord>): State | null => {
    if (step.record === null) {
      if (step.say === null) return null;
      const n = copy(s);
      send(n, side, step.say);
      return n;
    }
    if (s.pendingWrites.length >= b.writes) return null;
    const n = copy(s);
    const version = side === 'home' ? s.homeVersion : s.partnerVersion;
    n.pendingWrites.push({ side, version, record: step.record, say: step.say });
    if (b.answersBeforeStoring) {
      send(n, side, step.say);
      if (side === 'home') answerUser(n, (step.record as HomeRecord).final);
    }
    return n;
  };
  const apply = (s: State, p: PendingWrite, answered: boolean): State => {
    const n = copy(s);
    n.pendingWrites.splice(n.pendingWrites.indexOf(p), 1);
    if (p.side === 'home') {
      if (p.version !== s.homeVersion) return n;
      n.home = p.record as HomeRecord;
      n.homeVersion++;
      if (answered) answerUser(n, n.home.final);
    } else {
      if (p.version !== s.partnerVersion) return n;
      n.partner = p.record as PartnerRecord;
      n.partnerVersion++;
    }
    if (answered) send(n, p.side, p.say);
    return n;
  };

  /** The steps of one side on one job go one after the other, under a lock. */
  const locked = (s: State, side: Side) => s.pendingWrites.some((p) => p.side === side);

  function* atHome(s: State): Generator<{ what: string; state: State | null }> {
    if (locked(s, 'home')) {
      // Another owner has a later term: what the one before had not stored by then is never applied.
      yield {
        what: 'home has a new owner',
        state: { ...copy(s), pendingWrites: s.pendingWrites.filter((p) => p.side !== 'home') },
      };
      return;
    }
    if (f.mayRunHome(s.home) && !s.runsHome)
      yield { what: 'home starts', state: { ...copy(s), runsHome: true } };
    if (s.runsHome) {
      const done = copy(s);
      done.runsHome = false;
      done.finished.push(s.home.epoch);
      yield { what: 'done at home', state: write(done, 'home', f.doneHome(s.home)) };
      if (!f.mayRunHome(s.home)) yield { what: 'home stops', state: { ...copy(s), runsHome: false } };
    }
    if (b.cancels) yield { what: 'cancel', state: write(s, 'home', f.cancel(s.home)) };
    if (s.home.final !== null) {
      const asked = copy(s);
      answerUser(asked, s.home.final);
      yield { what: 'user asks', state: asked };
    }
    for (const now of clocks(s.t)) {
      if (!s.runsHome && s.home.epoch < b.epochs)
        yield { what: `lend at ${now}`, state: write(s, 'home', f.lend(s.home, 'p', now, limits)) };
      yield { what: `take back at ${now}`, state: write(s, 'home', f.takeBack(s.home, now, limits)) };
    }
    if (s.home.lent && s.home.final === null) {
      const recalled = copy(s);
      send(recalled, 'home', { kind: 'recall', epoch: s.home.epoch });
      yield { what: 'recall', state: recalled };
    }
  }

  function* atPartner(s: State): Generator<{ what: string; state: State | null }> {
    if (s.partnerDown !== null) {
      yield { what: 'partner is back', state: { ...copy(s), partnerDown: null } };
      return;
    }
    const kept = s.pendingWrites.filter((p) => p.side !== 'partner');
    yield { what: 'partner ends', state: { ...copy(s), partnerDown: s.t, pendingWrites: kept } };
    if (locked(s, 'partner')) return;
    const r = s.partner;
    if (!r) return;
    for (const now of clocks(s.t)) {
      yield { what: `partner stores a start at ${now}`, state: write(s, 'partner', f.start(r, now, limits)) };
      if (!s.runsPartner && s.stoppingAt === null && f.mayRunBorrowed(r, now, limits))
        yield { what: `partner starts at ${now}`, state: { ...copy(s), runsPartner: true } };
    }
    if (s.runsPartner && s.stoppingAt === null) {
      const done = copy(s);
      done.runsPartner = false;
      done.finished.push(r.epoch);
      yield { what: 'done at the partner', state: write(done, 'partner', f.doneBorrowed(r)) };
    }
    if (r.state === 'started' || r.state === 'held') {
      const asked = copy(s);
      send(asked, 'partner', { kind: 'renew', epoch: r.epoch });
      yield { what: 'partner asks to renew', state: asked };
    }
    if (r.state === 'done') {
      const said = copy(s);
      send(said, 'partner', { kind: 'done', epoch: r.epoch });
      yield { what: 'partner says done', state: said };
    }
  }

  function* deliver(s: State, to: Side, m: LendingMessage): Generator<{ what: string; state: State | null }> {
    const label = `${m.kind} ${m.epoch} reaches ${to}`;
    if (locked(s, to)) return;
    if (to === 'partner') {
      if (s.partnerDown !== null) return;
      const r = s.partner;
      if (m.kind === 'lend')
        for (const now of clocks(s.t))
          yield {
            what: `${label} at ${now}`,
            state: write(s, 'partner', f.borrow(r, m.epoch, m.until, now, limits)),
          };
      if (!r) return;
      if (m.kind === 'granted')
        yield { what: label, state: write(s, 'partner', f.extend(r, m.epoch, m.until)) };
      if (m.kind === 'recall') yield { what: label, state: write(s, 'partner', f.giveBack(r, m.epoch)) };
      if (m.kind === 'stop') yield { what: label, state: write(s, 'partner', f.drop(r, m.epoch)) };
      return;
    }
    if (m.kind === 'renew')
      for (const now of clocks(s.t))
        yield { what: `${label} at ${now}`, state: write(s, 'home', f.renew(s.home, m.epoch, now, limits)) };
    if (m.kind === 'returned')
      yield { what: label, state: write(s, 'home', f.takeReturned(s.home, m.epoch)) };
    if (m.kind === 'done') yield { what: label, state: write(s, 'home', f.takeDone(s.home, m.epoch)) };
  }

  /** Time goes on; whoever is up looks at its clock, at the latest by the slowest one that there can be. */
  function tick(s: State): State {
    const n = copy(s);
    n.t++;
    if (!n.runsPartner) n.stoppingAt = null;
    else if (n.partnerDown !== null) {
      // Nobody answers its machines any more: their leases run out.
      if (n.t - n.partnerDown >= limits.stopMs) n.runsPartner = false;
    } else {
      if (n.stoppingAt === null && n.partner && f.mustStop(n.partner, n.t - limits.skewMs, limits))
        n.stoppingAt = n.t;
      if (n.stoppingAt !== null && n.t - n.stoppingAt >= limits.stopMs) n.runsPartner = false;
    }
    if (!n.runsPartner) n.stoppingAt = null;
    return n;
  }

  function* next(s: State): Generator<{ what: string; state: State }> {
    yield { what: 'time', state: tick(s) };
    for (const p of s.pendingWrites) {
      yield { what: `${p.side} stores`, state: apply(s, p, true) };
      yield { what: `${p.side} stores, and its answer is lost`, state: apply(s, p, false) };
    }
    for (const step of [...atHome(s), ...atPartner(s)])
      if (step.state) yield { what: step.what, state: step.state };
    for (const [i, { to, m }] of s.messages.entries()) {
      const gone = copy(s);
      gone.messages.splice(i, 1);
      yield { what: `${m.kind} is lost`, state: gone };
      for (const step of deliver(gone, to, m)) if (step.state) yield { what: step.what, state: step.state };
      for (const step of deliver(s, to, m))
        if (step.state) yield { what: `${step.what}, and again later`, state: step.state };
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
    violationIn(s) {
      if (s.runsHome && s.runsPartner) return 'runs in two clusters';
      if (s.answerChanged) return 'an answer changed';
      if (s.answered !== null && s.home.final !== null && s.answered !== s.home.final)
        return 'told what is not stored';
      if (s.home.final === 'done' && !s.finished.includes(s.home.epoch)) return 'done by what counts no more';
      const over =
        s.answered === 'cancelled'
          ? s.answeredAt + limits.leaseMs + 2 * limits.skewMs
          : Number.POSITIVE_INFINITY;
      if (s.runsPartner && s.t > over) return 'runs long after its cancellation was told';
      return null;
    },
    // Only what is left of times counts, and whether a write still fits: so all of time is seen, not a part of it.
    key: (s) => {
      const left = (until: number) => Math.max(until - s.t, -2 * limits.skewMs - limits.stopMs - 1);
      const since = (at: number | null, most: number) => (at === null ? '-' : Math.min(s.t - at, most));
      const home = (r: HomeRecord) => `${r.epoch}${r.lent ? `l${left(r.lent.until)}` : ''}${r.final ?? ''}`;
      const partner = (r: PartnerRecord) => `${r.epoch}${r.state}${left(r.until)}`;
      const said = (m: LendingMessage | null) =>
        m && `${m.kind}${m.epoch}${'until' in m ? `l${left(m.until)}` : ''}`;
      const writes = s.pendingWrites.map((p) => {
        const fits = p.version === (p.side === 'home' ? s.homeVersion : s.partnerVersion);
        const r = p.side === 'home' ? home(p.record as HomeRecord) : partner(p.record as PartnerRecord);
        return `${p.side}${fits}${r}${said(p.say)}`;
      });
      const net = s.messages.map(({ to, m }) => `${to}${said(m)}`);
      const sinceAnswer =
        s.answered === 'cancelled' ? since(s.answeredAt, limits.leaseMs + 2 * limits.skewMs + 1) : '';
      const runs = `${s.runsHome}${s.runsPartner}${since(s.stoppingAt, limits.stopMs)}${since(s.partnerDown, limits.stopMs)}`;
      const parts = [
        home(s.home),
        s.partner ? partner(s.partner) : '',
        runs,
        s.answered,
        sinceAnswer,
        s.answerChanged,
        [...new Set(s.finished)].sort(),
      ];
      return `${parts.join()};${net.sort().join()};${writes.sort().join()}`;
    },
    isGoodEnd: (s) => s.home.final !== null,
  };
}
