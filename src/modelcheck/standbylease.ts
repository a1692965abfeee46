import { MAX_CLOCK_DRIFT } from '../clock/clock.js';
import * as standbyLease from '../standby/standbylease.js';
import * as takeoverChecks from '../standby/takeoverchecks.js';
import * as machine from '../workers/machine.js';
import type { Model } from './explore.js';
import type { Message, State, Write } from './standbyleasestate.js';

/** Transitions under test: those of production, or a copy in which one of them is broken. */
export type Transitions = Pick<
  typeof standbyLease,
  | 'onSend'
  | 'onAcknowledged'
  | 'onEvicted'
  | 'leaseCovers'
  | 'onMessage'
  | 'onRelease'
  | 'mayClaim'
  | 'onClaim'
> &
  Pick<typeof takeoverChecks, 'isConfirmedNotRunning'> &
  Pick<typeof machine, 'classifyHeartbeat'>;
/** Transitions of production. */
export const PRODUCTION: Transitions = {
  ...standbyLease,
  ...takeoverChecks,
  classifyHeartbeat: machine.classifyHeartbeat,
};

/** Limits of the explored model. */
export interface Bounds {
  /** Number of time steps, each a quarter of the standby lease. */
  ticks: number;
  messages: number;
  writes: number;
  /** Maximum number of times a standby is named, and maximum number of incarnations of the standby. */
  namings: number;
  incarnations: number;
  /** Whether the owner may return at any time as a new incarnation, with its old writes and messages in flight. */
  ownerRestarts: boolean;
  /** Number of heartbeats sent by the machine; each may arrive at any later time, and repeatedly. */
  reports: number;
  /** Whether the task and its machine are modelled in addition to the lease. */
  task: boolean;
  /** Guards that are not functions of their own; production has all of them. */
  guards: {
    /** A standby answers only messages addressed to its incarnation. */
    incarnation: boolean;
    /** A claim is applied only while the key that names the standby is unchanged. */
    namedClaim: boolean;
    /** An eviction whose write was not answered is confirmed by a read before it takes effect. */
    confirmedEviction: boolean;
    /** A start is announced, and the announcement acknowledged, before its command is sent. */
    announcedStarts: boolean;
    /** An owner stops acting before it sends the handover message. */
    stopsBeforeHandover: boolean;
    /** A new incarnation of the owner ends everything based on the previous lease, and resumes none of its state. */
    freshIncarnation: boolean;
    /** A machine ignores commands under a token older than one it has seen. */
    token: boolean;
  };
}

/** All guards enabled, as in production. */
export const GUARDED: Bounds['guards'] = {
  incarnation: true,
  namedClaim: true,
  confirmedEviction: true,
  announcedStarts: true,
  stopsBeforeHandover: true,
  freshIncarnation: true,
  token: true,
};

const TICK_MS = standbyLease.STANDBY_LEASE_MS / 4;
const TERM = 1;

/**
 * Models one shard, its owner, its standby, one machine with one task, and the key-value store. Messages are
 * lost, duplicated, delayed and reordered; writes are applied late and without a response; the standby restarts;
 * either side pauses at any time. Clocks drift apart by the maximum allowed: the owner's is slow, the standby's fast.
 */
export function standbyLeaseModel(rules: Transitions, bounds: Bounds): Model<State> {
  const ownerClock = (state: State) => state.t * TICK_MS * (1 - MAX_CLOCK_DRIFT);
  const standbyClock = (state: State) => state.t * TICK_MS * (1 + MAX_CLOCK_DRIFT);
  const mayOwnerAct = (state: State) =>
    !state.stopped && rules.leaseCovers(state.ownerLease, ownerClock(state));
  const copy = (state: State, change: Partial<State>): State => ({
    ...state,
    messages: [...state.messages],
    writes: [...state.writes],
    ...change,
  });
  const send = (state: State, message: Message): State => {
    if (state.messages.length < bounds.messages) state.messages.push(message);
    return state;
  };
  const write = (state: State, pending: Write): State => {
    if (!state.writes.some((x) => x.kind === pending.kind && x.revision === pending.revision))
      state.writes.push(pending);
    return state;
  };
  const applyEviction = (state: State, revision: number) => {
    state.ownerLease = rules.onEvicted(state.ownerLease, revision);
    if (state.namedRevision === revision) state.namedRevision = 0;
  };

  function* byOwner(state: State): Generator<{ action: string; state: State }> {
    if (state.stopped) return;
    const now = ownerClock(state);
    if (bounds.ownerRestarts && state.shardOwner === 'owner')
      yield {
        action: 'owner restarts with a new incarnation',
        state: copy(
          state,
          bounds.guards.freshIncarnation
            ? { stopped: true, shardOwner: 'nobody', standbyRevision: 0 }
            : { ownerLease: standbyLease.NO_STANDBY, namedRevision: 0, startAcknowledged: false },
        ),
      };
    if (state.namedRevision === 0 && state.shardOwner === 'owner' && state.namings < bounds.namings) {
      const revision = state.namings + 1;
      const remainsAcknowledged = state.order === 'announced' ? false : state.startAcknowledged;
      yield {
        action: 'owner names its standby',
        state: copy(state, {
          namedRevision: revision,
          namings: revision,
          standbyRevision: revision,
          namedIncarnation: state.incarnation,
          startAcknowledged: remainsAcknowledged,
          snapshotSent: false,
        }),
      };
    }
    if (state.namedRevision > 0) {
      const message = {
        kind: 'ask' as const,
        revision: state.namedRevision,
        incarnation: state.namedIncarnation,
        sentAt: now,
      };
      const ownerLease = rules.onSend(state.ownerLease, state.namedRevision, now);
      const started = state.order !== 'none';
      if (bounds.task && !state.snapshotSent)
        yield {
          action: 'owner sends a message with part of the snapshot',
          state: send(copy(state, { ownerLease }), { ...message, complete: false, started: false }),
        };
      yield {
        action: 'owner sends a message',
        state: send(copy(state, { ownerLease, snapshotSent: true }), { ...message, complete: true, started }),
      };
      if (state.writes.length < bounds.writes)
        yield {
          action: 'owner evicts its standby',
          state: write(copy(state, {}), { kind: 'evict', revision: state.namedRevision }),
        };
      if (state.shardOwner === 'owner' && (state.standbyRevision === 0 || !bounds.guards.confirmedEviction)) {
        const changed = copy(state, {});
        applyEviction(changed, state.namedRevision);
        yield { action: 'owner finds its standby evicted', state: changed };
      }
      yield {
        action: 'owner sends the handover',
        state: send(copy(state, { stopped: bounds.guards.stopsBeforeHandover }), {
          kind: 'release',
          revision: state.namedRevision,
        }),
      };
    }
    if (bounds.task && state.order === 'none' && mayOwnerAct(state))
      yield { action: 'owner announces the start', state: copy(state, { order: 'announced' }) };
    const needsNoAnnouncement =
      !state.snapshotSent || (state.ownerLease.boundRevision === null && state.namedRevision === 0);
    if (
      state.order === 'announced' &&
      mayOwnerAct(state) &&
      (needsNoAnnouncement || state.startAcknowledged || !bounds.guards.announcedStarts)
    )
      yield { action: 'owner sends the order', state: copy(state, { order: 'sent' }) };
  }

  function* byStandby(state: State): Generator<{ action: string; state: State }> {
    if (state.incarnation < bounds.incarnations)
      yield {
        action: 'standby restarts',
        state: copy(state, {
          incarnation: state.incarnation + 1,
          replicaState: null,
          inSync: false,
          knowsStart: false,
        }),
      };
    const { replicaState } = state;
    if (
      replicaState &&
      (replicaState.claimed || rules.mayClaim(replicaState, standbyClock(state))) &&
      state.writes.length < bounds.writes
    )
      yield {
        action: 'standby claims',
        state: write(copy(state, { replicaState: rules.onClaim(replicaState) }), {
          kind: 'claim',
          revision: replicaState.revision,
        }),
      };
    if (!bounds.task || state.shardOwner !== 'standby') return;
    if (!state.tokenSeen) yield { action: 'machine sees the token', state: copy(state, { tokenSeen: true }) };
    const announcedMachines = new Set(state.knowsStart ? ['m'] : []);
    const snapshot = { machinesOf: () => (state.inSync ? announcedMachines : null) } as unknown as Parameters<
      Transitions['isConfirmedNotRunning']
    >[1];
    const notRunning = rules.isConfirmedNotRunning(
      { fresh: false, id: 'j' },
      snapshot,
      state.reportedUnderToken,
      () => !state.reportedUnderToken,
    );
    if (!state.startedAgain && notRunning && !state.taskReported)
      yield { action: 'standby starts the task', state: copy(state, { startedAgain: true }) };
  }

  /** Delivers a heartbeat to the standby that has become the owner; the heartbeat may be delivered again later. */
  function onReport(old: State, report: State['reports'][number]): State | null {
    if (old.shardOwner !== 'standby') return null;
    const known = {
      incarnation: 1,
      minIncarnation: 0,
      heartbeatSequence: old.latestReport,
      fencingToken: 2,
      minFencingToken: 2,
    };
    const classification = rules.classifyHeartbeat(known, {
      incarnation: 1,
      sequence: report.seq,
      fencingToken: report.underToken ? 2 : 1,
    });
    if (classification === 'late' || classification === 'foreign') return null;
    if (classification === 'untokened') return copy(old, { latestReport: report.seq });
    return copy(old, { latestReport: report.seq, reportedUnderToken: true, taskReported: report.holdsTask });
  }

  function* byMachine(state: State): Generator<{ action: string; state: State }> {
    if (state.reportsMade < bounds.reports && state.order !== 'none') {
      const sequence = state.reportsMade + 1;
      const report = { seq: sequence, underToken: state.tokenSeen, holdsTask: state.order === 'runs' };
      yield {
        action: 'machine reports',
        state: copy(state, { reportsMade: sequence, reports: [...state.reports, report] }),
      };
    }
    // A lost heartbeat is modelled as one that never arrives.
    for (const report of state.reports) {
      const arrived = onReport(state, report);
      if (arrived) yield { action: `report ${report.seq} arrives, and may arrive again`, state: arrived };
    }
  }

  function deliver(state: State, message: Message): State | null {
    if (message.kind === 'answer') {
      if (state.stopped || state.namedRevision !== message.revision) return null;
      const ownerLease = rules.onAcknowledged(state.ownerLease, message.revision, message.sentAt);
      return copy(state, { ownerLease, startAcknowledged: state.startAcknowledged || message.started });
    }
    if (message.kind === 'release') {
      const replicaState = rules.onRelease(state.replicaState, TERM, message.revision);
      return replicaState && copy(state, { replicaState });
    }
    if (bounds.guards.incarnation && message.incarnation !== state.incarnation) return null;
    const replicaState = rules.onMessage(state.replicaState, TERM, message.revision, standbyClock(state));
    if (!replicaState) return null;
    const isNewRevision = state.replicaState?.revision !== replicaState.revision;
    const started = (isNewRevision ? false : state.knowsStart) || message.started;
    const inSync = (isNewRevision ? false : state.inSync) || message.complete;
    const answer: Message = { kind: 'answer', revision: message.revision, sentAt: message.sentAt, started };
    return send(copy(state, { replicaState, inSync, knowsStart: started }), answer);
  }

  function apply(state: State, pending: Write): State {
    const conditionHolds =
      state.shardOwner === 'owner' &&
      (state.standbyRevision === pending.revision || (pending.kind === 'claim' && !bounds.guards.namedClaim));
    if (!conditionHolds) return state;
    return pending.kind === 'claim'
      ? { ...state, shardOwner: 'standby', standbyRevision: 0 }
      : { ...state, standbyRevision: 0 };
  }

  return {
    initial: {
      t: 0,
      ownerLease: standbyLease.NO_STANDBY,
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
    *next(state) {
      if (state.t < bounds.ticks) yield { action: 'time passes', state: copy(state, { t: state.t + 1 }) };
      yield* byOwner(state);
      yield* byStandby(state);
      if (bounds.task) yield* byMachine(state);
      for (const [i, message] of state.messages.entries()) {
        const without = copy(state, { messages: state.messages.filter((_, j) => j !== i) });
        yield { action: `${message.kind} is lost`, state: without };
        const once = deliver(without, message);
        if (once) yield { action: `${message.kind} arrives`, state: once };
        const twice = deliver(state, message);
        if (twice) yield { action: `${message.kind} arrives, and will arrive again`, state: twice };
      }
      for (const [i, pending] of state.writes.entries()) {
        const applied = apply(copy(state, { writes: state.writes.filter((_, j) => j !== i) }), pending);
        yield { action: `${pending.kind} is applied, response lost`, state: applied };
        if (
          pending.kind === 'evict' &&
          applied.shardOwner === 'owner' &&
          state.standbyRevision === pending.revision
        ) {
          const answered = copy(applied, {});
          applyEviction(answered, pending.revision);
          yield { action: 'eviction is applied and answered', state: answered };
        }
      }
      if (state.order === 'sent' && (!state.tokenSeen || !bounds.guards.token))
        yield { action: 'the order is executed', state: copy(state, { order: 'runs' }) };
    },
    violationIn(state) {
      if (state.shardOwner === 'standby' && mayOwnerAct(state)) return 'two owners may act';
      const taskOnMachine =
        state.order === 'runs' || (state.order === 'sent' && (!state.tokenSeen || !bounds.guards.token));
      if (state.startedAgain && taskOnMachine) return 'the task may run twice';
      return null;
    },
    key: (state) => JSON.stringify(state),
    isGoodEnd: (state) => state.shardOwner === 'standby' || state.t === bounds.ticks,
  };
}
