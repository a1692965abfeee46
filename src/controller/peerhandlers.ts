import * as v from 'valibot';
import { readResourceDemand, readShardStatus } from '../autoscaler/shardstatus.js';
import { CHANGE_FEED_OPS } from '../changefeed/messages.js';
import { InvalidInputError, ProtocolViolationError } from '../errors/errors.js';
import { readSpec } from '../jobs/records.js';
import { readDependentClaims } from '../scheduler/dependencymessages.js';
import { readLeaseHolder } from '../schema/schema.js';
import { STANDBY_OPS } from '../standby/messages.js';
import type { Membership } from './membership.js';
import type { OwnerClient } from './ownerclient.js';
import type { Ownership } from './ownership.js';
import type { PeerConnections } from './peerconnections.js';
import { PEER_OPS } from './peeroperations.js';
import { RATES_OP, type RateAllocator } from './rateallocator.js';

const FORWARD_TIMEOUT_MS = 1500;
/** Requests to the owner of a shard, which are passed on to the next one while the shard changes hands. */
const OWNER_OPERATIONS: ReadonlySet<string> = new Set([
  PEER_OPS.submit,
  PEER_OPS.submitWithDependencies,
  PEER_OPS.status,
  PEER_OPS.cancel,
  PEER_OPS.list,
]);

/**
 * Arguments are read as every version has read them: a number or text that is missing or of another type is converted,
 * so that a malformed request gets the answer that it always got (mostly that the shard is not here); unknown fields are
 * ignored.
 */
const number = v.optional(v.pipe(v.unknown(), v.transform(Number)), Number.NaN);
const text = v.optional(v.pipe(v.unknown(), v.transform(String)), 'undefined');
/** Read by its own function where it is used. */
const nested = v.optional(v.unknown());

const toShard = v.object({ shard: number });
const aboutJob = v.object({ shard: number, id: text });
const submission = v.object({ shard: number, spec: nested });
const jobPage = v.object({ shard: number, under: text, after: text, most: number });
const transfer = v.object({ shard: number, machine: text, to: number });
const eviction = v.object({ ...transfer.entries, priority: number });
const reservation = v.object({ shard: number, to: number, need: nested, zone: text });
const dependencyQuery = v.object({ shard: number, from: number, claims: nested });
const aboutMachine = v.object({ machine: text });

/** Notices, which have no answer: one that does not fit is dropped. */
const dependencyEnd = v.object({ shard: number, id: text, status: v.picklist(['done', 'cancelled']) });
const unregisteredMachine = v.object({
  id: v.string(),
  addr: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  ageS: v.number(),
});
const integer = v.pipe(v.number(), v.integer());
const ownerAnnouncement = v.object({ shard: integer, term: integer, holder: nested });

/** Answers one kind of message; `from` is the node that sent it, empty for a stored request. */
type PeerHandler = (args: unknown, from: string) => unknown;

/** Answers an optional part's messages; gets the fields of the arguments, unchecked. */
export type PeerExtension = (args: Record<string, unknown>) => Promise<unknown>;

/** The parts of the node that answer messages. */
export interface PeerHandlersOptions {
  readonly members: Membership;
  readonly ownership: Ownership;
  readonly ownerClient: OwnerClient;
  readonly rateAllocator: RateAllocator;
  readonly peers: PeerConnections;
}

/** Answers what the other nodes ask, and takes their notices: a table from the name of a message to its handler. */
export class PeerHandlers {
  /** What optional parts of a node answer to the same parts of others. */
  readonly extensions = new Map<string, PeerExtension>();
  private readonly handlers: ReadonlyMap<string, PeerHandler>;

  constructor(private readonly options: PeerHandlersOptions) {
    this.handlers = new Map<string, PeerHandler>([
      ...this.nodeHandlers(),
      ...this.leaderHandlers(),
      ...this.machineHandlers(),
      ...this.jobHandlers(),
    ]);
  }

  /** Answers a message; null for a notice. Throws a typed error where the request cannot be served. */
  async serve(op: string, args: unknown, from = ''): Promise<unknown> {
    const fields = fieldsOf(args);
    if (OWNER_OPERATIONS.has(op)) {
      const { shard } = v.parse(toShard, fields);
      const { members, ownership, peers } = this.options;
      if (!ownership.shards.get(shard)?.ready) {
        // Just handed over by this node, or to it: whoever asked need not notice.
        // Passed on once at most: two nodes that have each handed it to the other, and know no better yet, would go on for ever.
        const next = fields.passed === true ? null : members.successor(shard);
        if (next && peers.mesh)
          return peers.mesh.request(next.node, op, { ...fields, passed: true }, FORWARD_TIMEOUT_MS);
        await ownership.incomingHandovers.wait(shard);
      }
    }
    const handler = this.handlers.get(op);
    if (handler) return handler(args, from);
    const extension = this.extensions.get(op);
    if (!extension) throw new ProtocolViolationError(`unknown request ${op}`);
    return extension(fields);
  }

  /** Between the nodes as such: changes of the cluster's keys, rates, standbys and owners. */
  private nodeHandlers(): [string, PeerHandler][] {
    const { members, ownership, rateAllocator } = this.options;
    return [
      ...[CHANGE_FEED_OPS.changes, CHANGE_FEED_OPS.head].map((op): [string, PeerHandler] => [
        op,
        (args) => members.changeFeed.serve(op, args),
      ]),
      [RATES_OP, (args, from) => rateAllocator.onDemand(from, args)],
      [
        STANDBY_OPS.replicate,
        (args, from) => ownership.standbyCoordinator?.replicas.onReplicationMessage(args, from) ?? null,
      ],
      [
        STANDBY_OPS.handOver,
        on(toShard, ({ shard }, _from, fields) => ownership.handovers.accept(shard, fields)),
      ],
      [
        PEER_OPS.ownerAnnouncement,
        notice(ownerAnnouncement, ({ shard, term, holder: stored }) => {
          const holder = readLeaseHolder(stored);
          if (!holder) return;
          members.onOwnerAnnounced(shard, holder, term);
          ownership.onNewerTerm(shard, term);
        }),
      ],
    ];
  }

  /** To the leader; a node that does not lead drops them. */
  private leaderHandlers(): [string, PeerHandler][] {
    const { ownership } = this.options;
    return [
      [
        PEER_OPS.shardStatus,
        (args) => {
          const status = readShardStatus(args);
          if (status) ownership.leader?.onShardStatus(status);
          return null;
        },
      ],
      [
        PEER_OPS.unregisteredMachine,
        notice(unregisteredMachine, (machine) => ownership.leader?.onUnregisteredMachine(machine)),
      ],
    ];
  }

  /** To the owner of a shard, about machines; false where this node does not own it. */
  private machineHandlers(): [string, PeerHandler][] {
    const { ownership } = this.options;
    return [
      [
        PEER_OPS.redirected,
        notice(aboutMachine, ({ machine }, from) => {
          ownership.workerConnectivity.onRedirect(machine, from);
          for (const shard of ownership.shards.values()) shard.registry.onHeartbeatElsewhere(machine);
        }),
      ],
      [
        PEER_OPS.transferMachine,
        on(
          transfer,
          ({ shard, machine, to }) => ownership.shards.get(shard)?.transferMachine(machine, to) ?? false,
        ),
      ],
      [
        PEER_OPS.evictForTransfer,
        on(
          eviction,
          ({ shard, machine, to, priority }) =>
            ownership.shards.get(shard)?.evictForTransfer(machine, to, priority) ?? false,
        ),
      ],
      [
        PEER_OPS.reserveForTransfer,
        on(reservation, ({ shard, to, need, zone }) => {
          const demand = readResourceDemand(need);
          return (demand && ownership.shards.get(shard)?.reserveForTransfer(to, demand, zone)) ?? false;
        }),
      ],
    ];
  }

  /** To the owner of a shard, about jobs: of users, and of the owners of jobs that depend on them. */
  private jobHandlers(): [string, PeerHandler][] {
    const { ownership, ownerClient } = this.options;
    const submit = on(submission, ({ shard, spec: stored }) => {
      const spec = readSpec(stored);
      if (!spec) throw new InvalidInputError('bad job');
      return ownerClient.localShard(shard).submit(spec);
    });
    return [
      [PEER_OPS.submit, submit],
      [PEER_OPS.submitWithDependencies, submit],
      [PEER_OPS.status, on(aboutJob, ({ shard, id }) => ownerClient.localShard(shard).status(id))],
      [PEER_OPS.cancel, on(aboutJob, ({ shard, id }) => ownerClient.localShard(shard).cancel(id))],
      [
        PEER_OPS.list,
        on(jobPage, ({ shard, under, after, most }) =>
          ownerClient.localShard(shard).list(under, after, most),
        ),
      ],
      [
        PEER_OPS.dependencyStatus,
        on(dependencyQuery, ({ shard, from, claims }) =>
          ownerClient.localShard(shard).dependencyStatus(from, readDependentClaims(claims)),
        ),
      ],
      [
        PEER_OPS.dependencyEnded,
        notice(dependencyEnd, ({ shard, id, status }) =>
          ownership.shards.get(shard)?.onDependencyEnded(id, status),
        ),
      ],
    ];
  }
}

/** The fields of a message's arguments; none where they are no object. */
function fieldsOf(args: unknown): Record<string, unknown> {
  return (typeof args === 'object' && args !== null ? args : {}) as Record<string, unknown>;
}

/** A handler of a request: reads its arguments by a schema that converts what does not fit. */
function on<S extends v.GenericSchema>(
  schema: S,
  run: (args: v.InferOutput<S>, from: string, fields: Record<string, unknown>) => unknown,
): PeerHandler {
  return (args, from) => {
    const fields = fieldsOf(args);
    return run(v.parse(schema, fields), from, fields);
  };
}

/** A handler of a notice: one that does not fit its schema is dropped. */
function notice<S extends v.GenericSchema>(
  schema: S,
  run: (args: v.InferOutput<S>, from: string) => unknown,
): PeerHandler {
  return (args, from) => {
    const read = v.safeParse(schema, fieldsOf(args));
    if (read.success) run(read.output, from);
    return null;
  };
}
