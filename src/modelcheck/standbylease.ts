import { MAX_CLOCK_DRIFT } from '../clock/clock.js';
import * as promise from '../standby/standbylease.js';
import * as checks from '../standby/takeoverchecks.js';
import * as machine from '../workers/machine.js';
import type { Model } from './explore.js';
import type { Message, State, Write } from './standbyleasestate.js';

/** The transitions that are looked at: those of production, or with one of them broken. */
export type Transitions = Pick<
  typeof promise,
  | 'onSend'
  | 'onAcknowledged'
  | 'onEvicted'
  | 'leaseCovers'
  | 'onMessage'
  | 'onRelease'
  | 'mayClaim'
  | 'onClaim'
> &
  Pick<typeof checks, 'surelyNotRunning'> &
  Pick<typeof machine, 'classifyHeartbeat'>;
/** The transitions of production. */
export const PRODUCTION: Transitions = {
  ...promise,
  ...checks,
  classifyHeartbeat: machine.classifyHeartbeat,
};

/** How far the model goes. */
export interface Bounds {
  /** Steps of time, each a quarter of the standby's lease. */
  ticks: number;
  messages: number;
  writes: number;
  /** How often a standby is named, and how often it starts anew. */
  namings: number;
  runs: number;
  /** The owner may be back at any moment as a new run; what is left of the former one goes on. */
  returns: boolean;
  /** Reports of the machine; each may come at any later time, and again. */
  reports: number;
  /** Whether the task and its machine are looked at too, or the lease alone. */
  task: boolean;
  /** Guards that are no function of their own; production has them all. */
  guards: {
    /** A standby answers only what is meant for its run. */
    run: boolean;
    /** A claim holds only while the key that names the standby is as it was. */
    named: boolean;
    /** An eviction without an answer is looked up before it counts. */
    lookedUp: boolean;
    /** A start is announced, and that acknowledged, before its order is sent. */
    announced: boolean;
    /** An owner that hands over stops before it says so. */
    stopsFirst: boolean;
    /** A new run of the owner ends what hangs on the lease of the one before it, and takes up nothing of it. */
    fresh: boolean;
    /** Orders under a token older than one that the machine has seen do nothing. */
    token: boolean;
  };
}

/** All guards, as in production. */
export const GUARDED: Bounds['guards'] = {
  run: true,
  named: true,
  lookedUp: true,
  announced: true,
  stopsFirst: true,
  fresh: true,
  token: true,
};

const TICK_MS = promise.STANDBY_LEASE_MS / 4;
const TERM = 1;

/**
 * One shard, its owner, its standby, one machine with one task, and the key-value store. Messages are lost, doubled, delayed and
 * reordered, writes applied late and without an answer, the standby starts anew, either side stands still at any point, and the
 * clocks drift apart as far as they may: the owner's is slow, the standby's fast.
 */
export function standbyLeaseModel(f: Transitions, b: Bounds): Model<State> {
  const ownerClock = (s: State) => s.t * TICK_MS * (1 - MAX_CLOCK_DRIFT);
  const standbyClock = (s: State) => s.t * TICK_MS * (1 + MAX_CLOCK_DRIFT);
  const acts = (s: State) => !s.stopped && f.leaseCovers(s.ownerLease, ownerClock(s));
  const copy = (s: State, change: Partial<State>): State => ({
    ...s,
    messages: [...s.messages],
    writes: [...s.writes],
    ...change,
  });
  const send = (s: State, m: Message): State => {
    if (s.messages.length < b.messages) s.messages.push(m);
    return s;
  };
  const write = (s: State, w: Write): State => {
    if (!s.writes.some((x) => x.kind === w.kind && x.revision === w.revision)) s.writes.push(w);
    return s;
  };
  const evicted = (s: State, revision: number) => {
    s.ownerLease = f.onEvicted(s.ownerLease, revision);
    if (s.namedRevision === revision) s.namedRevision = 0;
  };

  function* byOwner(s: State): Generator<{ what: string; state: State }> {
    if (s.stopped) return;
    const now = ownerClock(s);
    if (b.returns && s.shardOwner === 'owner')
      yield {
        what: 'owner is back as a new run',
        state: copy(
          s,
          b.guards.fresh
            ? { stopped: true, shardOwner: 'nobody', standbyRevision: 0 }
            : { ownerLease: promise.NO_STANDBY, namedRevision: 0, startAcknowledged: false },
        ),
      };
    if (s.namedRevision === 0 && s.shardOwner === 'owner' && s.namings < b.namings) {
      const revision = s.namings + 1;
      const again = s.order === 'announced' ? false : s.startAcknowledged;
      yield {
        what: 'owner names its standby',
        state: copy(s, {
          namedRevision: revision,
          namings: revision,
          standbyRevision: revision,
          namedIncarnation: s.incarnation,
          startAcknowledged: again,
          snapshotSent: false,
        }),
      };
    }
    if (s.namedRevision > 0) {
      const ask = { kind: 'ask' as const, revision: s.namedRevision, run: s.namedIncarnation, sentAt: now };
      const ownerLease = f.onSend(s.ownerLease, s.namedRevision, now);
      const started = s.order !== 'none';
      if (b.task && !s.snapshotSent)
        yield {
          what: 'owner asks, with a piece of the snapshot',
          state: send(copy(s, { ownerLease }), { ...ask, complete: false, started: false }),
        };
      yield {
        what: 'owner asks',
        state: send(copy(s, { ownerLease, snapshotSent: true }), { ...ask, complete: true, started }),
      };
      if (s.writes.length < b.writes)
        yield {
          what: 'owner evicts its standby',
          state: write(copy(s, {}), { kind: 'evict', revision: s.namedRevision }),
        };
      if (s.shardOwner === 'owner' && (s.standbyRevision === 0 || !b.guards.lookedUp)) {
        const known = copy(s, {});
        evicted(known, s.namedRevision);
        yield { what: 'owner finds it evicted', state: known };
      }
      yield {
        what: 'owner hands over',
        state: send(copy(s, { stopped: b.guards.stopsFirst }), {
          kind: 'release',
          revision: s.namedRevision,
        }),
      };
    }
    if (b.task && s.order === 'none' && acts(s))
      yield { what: 'owner announces', state: copy(s, { order: 'announced' }) };
    const free = !s.snapshotSent || (s.ownerLease.boundRevision === null && s.namedRevision === 0);
    if (s.order === 'announced' && acts(s) && (free || s.startAcknowledged || !b.guards.announced))
      yield { what: 'owner sends the order', state: copy(s, { order: 'sent' }) };
  }

  function* byStandby(s: State): Generator<{ what: string; state: State }> {
    if (s.incarnation < b.runs)
      yield {
        what: 'standby starts anew',
        state: copy(s, {
          incarnation: s.incarnation + 1,
          replicaState: null,
          inSync: false,
          knowsStart: false,
        }),
      };
    const { replicaState } = s;
    if (
      replicaState &&
      (replicaState.claimed || f.mayClaim(replicaState, standbyClock(s))) &&
      s.writes.length < b.writes
    )
      yield {
        what: 'standby claims',
        state: write(copy(s, { replicaState: f.onClaim(replicaState) }), {
          kind: 'claim',
          revision: replicaState.revision,
        }),
      };
    if (!b.task || s.shardOwner !== 'standby') return;
    if (!s.tokenSeen) yield { what: 'machine sees the new token', state: copy(s, { tokenSeen: true }) };
    const on = new Set(s.knowsStart ? ['m'] : []);
    const snapshot = { machinesOf: () => (s.inSync ? on : null) } as unknown as Parameters<
      Transitions['surelyNotRunning']
    >[1];
    const notRunning = f.surelyNotRunning(
      { fresh: false, id: 'j' },
      snapshot,
      s.reportedUnderToken,
      () => !s.reportedUnderToken,
    );
    if (!s.startedAgain && notRunning && !s.taskReported)
      yield { what: 'standby starts the task', state: copy(s, { startedAgain: true }) };
  }

  /** A report reaches the standby as owner, now or as a copy. */
  function onReport(s: State, r: State['reports'][number]): State | null {
    if (s.shardOwner !== 'standby') return null;
    const known = { incarnation: 1, minIncarnation: 0, heartbeatSequence: s.latestReport, fencingToken: 2 };
    const weight = f.classifyHeartbeat(known, {
      incarnation: 1,
      sequence: r.seq,
      fencingToken: r.tokened ? 2 : 1,
    });
    if (weight === 'late' || weight === 'foreign') return null;
    if (weight === 'untokened') return copy(s, { latestReport: r.seq });
    return copy(s, { latestReport: r.seq, reportedUnderToken: true, taskReported: r.there });
  }

  function* byMachine(s: State): Generator<{ what: string; state: State }> {
    if (s.reportsMade < b.reports && s.order !== 'none') {
      const made = s.reportsMade + 1;
      const report = { seq: made, tokened: s.tokenSeen, there: s.order === 'runs' };
      yield {
        what: 'machine reports',
        state: copy(s, { reportsMade: made, reports: [...s.reports, report] }),
      };
    }
    // One that is lost is one that never arrives.
    for (const r of s.reports) {
      const arrived = onReport(s, r);
      if (arrived) yield { what: `report ${r.seq} arrives, and may again`, state: arrived };
    }
  }

  function deliver(s: State, m: Message): State | null {
    if (m.kind === 'answer') {
      if (s.stopped || s.namedRevision !== m.revision) return null;
      const ownerLease = f.onAcknowledged(s.ownerLease, m.revision, m.sentAt);
      return copy(s, { ownerLease, startAcknowledged: s.startAcknowledged || m.started });
    }
    if (m.kind === 'release') {
      const replicaState = f.onRelease(s.replicaState, TERM, m.revision);
      return replicaState && copy(s, { replicaState });
    }
    if (b.guards.run && m.run !== s.incarnation) return null;
    const replicaState = f.onMessage(s.replicaState, TERM, m.revision, standbyClock(s));
    if (!replicaState) return null;
    const fresh = s.replicaState?.revision !== replicaState.revision;
    const knows = (fresh ? false : s.knowsStart) || m.started;
    const inSync = (fresh ? false : s.inSync) || m.complete;
    const answer: Message = { kind: 'answer', revision: m.revision, sentAt: m.sentAt, started: knows };
    return send(copy(s, { replicaState, inSync, knowsStart: knows }), answer);
  }

  function apply(s: State, w: Write): State {
    const holds =
      s.shardOwner === 'owner' &&
      (s.standbyRevision === w.revision || (w.kind === 'claim' && !b.guards.named));
    if (!holds) return s;
    return w.kind === 'claim'
      ? { ...s, shardOwner: 'standby', standbyRevision: 0 }
      : { ...s, standbyRevision: 0 };
  }

  return {
    initial: {
      t: 0,
      ownerLease: promise.NO_STANDBY,
      namedRevision: 0,
      stopped: false,
      replicaState: null,
      incarnation: 1,
      namedIncarnation: 0,
      snapshotSent: false,
      inSync: false,
      knowsStart: false,
      messages: [],
      writes: [],
      shardOwner: 'owner',
      standbyRevision: 0,
      namings: 0,
      order: 'none',
      startAcknowledged: false,
      tokenSeen: false,
      reports: [],
      reportsMade: 0,
      latestReport: 0,
      reportedUnderToken: false,
      taskReported: false,
      startedAgain: false,
    },
    *next(s) {
      if (s.t < b.ticks) yield { what: 'time passes', state: copy(s, { t: s.t + 1 }) };
      yield* byOwner(s);
      yield* byStandby(s);
      if (b.task) yield* byMachine(s);
      for (const [i, m] of s.messages.entries()) {
        const without = copy(s, { messages: s.messages.filter((_, j) => j !== i) });
        yield { what: `${m.kind} is lost`, state: without };
        const once = deliver(without, m);
        if (once) yield { what: `${m.kind} arrives`, state: once };
        const twice = deliver(s, m);
        if (twice) yield { what: `${m.kind} arrives, and will again`, state: twice };
      }
      for (const [i, w] of s.writes.entries()) {
        const applied = apply(copy(s, { writes: s.writes.filter((_, j) => j !== i) }), w);
        yield { what: `${w.kind} is applied, unanswered`, state: applied };
        if (w.kind === 'evict' && applied.shardOwner === 'owner' && s.standbyRevision === w.revision) {
          const answered = copy(applied, {});
          evicted(answered, w.revision);
          yield { what: 'eviction is applied', state: answered };
        }
      }
      if (s.order === 'sent' && (!s.tokenSeen || !b.guards.token))
        yield { what: 'the order is executed', state: copy(s, { order: 'runs' }) };
    },
    violationIn(s) {
      if (s.shardOwner === 'standby' && acts(s)) return 'two may act';
      const there = s.order === 'runs' || (s.order === 'sent' && (!s.tokenSeen || !b.guards.token));
      if (s.startedAgain && there) return 'the task may run twice';
      return null;
    },
    key: (s) => JSON.stringify(s),
    isGoodEnd: (s) => s.shardOwner === 'standby' || s.t === b.ticks,
  };
}
