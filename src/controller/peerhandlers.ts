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
/** Requests to the owner of a shard, which are forwarded to the next owner while the shard is being handed over. */
const OWNER_OPERATIONS: ReadonlySet<string> = new Set([
  PEER_OPS.submit,
  PEER_OPS.submitWithDependencies,
  PEER_OPS.status,
  PEER_OPS.cancel,
  PEER_OPS.list,
]);

/**
 * Schemas of request arguments, which are read in the same way as in all earlier versions: a number or string that is
 * missing or of another type is converted, so that a malformed request still gets the answer that it got from those
 * versions (mostly that this node does not own the shard). Unknown fields are ignored.
 */
const coercedNumber = v.optional(v.pipe(v.unknown(), v.transform(Number)), Number.NaN);
const coercedString = v.optional(v.pipe(v.unknown(), v.transform(String)), 'undefined');
/** A nested value, parsed by its own function in the handler. */
const unparsed = v.optional(v.unknown());

const shardArgs = v.object({ shard: coercedNumber });
const jobArgs = v.object({ shard: coercedNumber, id: coercedString });
const submitArgs = v.object({ shard: coercedNumber, spec: unparsed });
const listArgs = v.object({
  shard: coercedNumber,
  under: coercedString,
  after: coercedString,
  most: coercedNumber,
});
const transferArgs = v.object({ shard: coercedNumber, machine: coercedString, to: coercedNumber });
const evictionArgs = v.object({ ...transferArgs.entries, priority: coercedNumber });
const reservationArgs = v.object({
  shard: coercedNumber,
  to: coercedNumber,
  need: unparsed,
  zone: coercedString,
});
const dependencyStatusArgs = v.object({ shard: coercedNumber, from: coercedNumber, claims: unparsed });
const redirectArgs = v.object({ machine: coercedString });

/** Schemas of notices, which have no answer; a notice that does not match its schema is dropped. */
const dependencyEndedArgs = v.object({
  shard: coercedNumber,
  id: coercedString,
  status: v.picklist(['done', 'cancelled']),
});
const unregisteredMachineArgs = v.object({
  id: v.string(),
  addr: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
  ageS: v.number(),
});
const integer = v.pipe(v.number(), v.integer());
const ownerAnnouncementArgs = v.object({ shard: integer, term: integer, holder: unparsed });

/** Handles one kind of message; `from` is the node that sent it, empty for a stored request. */
type PeerHandler = (args: unknown, from: string) => unknown;

/** Handles the messages of an optional component; its argument holds the fields of the message, unchecked. */
export type PeerExtension = (args: Record<string, unknown>) => Promise<unknown>;

/** Components of the node that handle messages. */
export interface PeerHandlersOptions {
  readonly members: Membership;
  readonly ownership: Ownership;
  readonly ownerClient: OwnerClient;
  readonly rateAllocator: RateAllocator;
  readonly peers: PeerConnections;
}

/** Dispatches the requests and notices of other nodes, by a table from the name of a message to its handler. */
export class PeerHandlers {
  /** Handlers of messages between optional components of nodes, by operation. */
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

  /** Answers a message, with null for a notice. Throws a typed error when the request cannot be served. */
  async serve(op: string, args: unknown, from = ''): Promise<unknown> {
    const fields = fieldsOf(args);
    if (OWNER_OPERATIONS.has(op)) {
      const { shard } = v.parse(shardArgs, fields);
      const { members, ownership, peers } = this.options;
      if (!ownership.shards.get(shard)?.ready) {
        // The shard may just have been handed over by this node or to it, which the sender of the request need not
        // notice. A request is forwarded at most once: two nodes that have each handed the shard to the other, and
        // have no newer information yet, would otherwise forward it to each other forever.
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

  /** Handlers of messages between nodes: changes of the cluster's keys, rates, standbys and owners. */
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
        requestHandler(shardArgs, ({ shard }, _from, fields) => ownership.handovers.accept(shard, fields)),
      ],
      [
        PEER_OPS.ownerAnnouncement,
        noticeHandler(ownerAnnouncementArgs, ({ shard, term, holder: rawHolder }) => {
          const holder = readLeaseHolder(rawHolder);
          if (!holder) return;
          members.onOwnerAnnounced(shard, holder, term);
          ownership.onNewerTerm(shard, term);
        }),
      ],
    ];
  }

  /** Handlers of messages to the leader; a node that is not the leader drops them. */
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
        noticeHandler(unregisteredMachineArgs, (machine) => ownership.leader?.onUnregisteredMachine(machine)),
      ],
    ];
  }

  /**
   * Handlers of messages to the owner of a shard about machines; requests are answered false where this node is not
   * the owner.
   */
  private machineHandlers(): [string, PeerHandler][] {
    const { ownership } = this.options;
    return [
      [
        PEER_OPS.redirected,
        noticeHandler(redirectArgs, ({ machine }, from) => {
          ownership.workerConnectivity.onRedirect(machine, from);
          for (const shard of ownership.shards.values()) shard.registry.onRedirectedHeartbeat(machine);
        }),
      ],
      [
        PEER_OPS.transferMachine,
        requestHandler(
          transferArgs,
          ({ shard, machine, to }) => ownership.shards.get(shard)?.transferMachine(machine, to) ?? false,
        ),
      ],
      [
        PEER_OPS.evictForTransfer,
        requestHandler(
          evictionArgs,
          ({ shard, machine, to, priority }) =>
            ownership.shards.get(shard)?.evictForTransfer(machine, to, priority) ?? false,
        ),
      ],
      [
        PEER_OPS.reserveForTransfer,
        requestHandler(reservationArgs, ({ shard, to, need, zone }) => {
          const demand = readResourceDemand(need);
          return (demand && ownership.shards.get(shard)?.reserveForTransfer(to, demand, zone)) ?? false;
        }),
      ],
    ];
  }

  /** Handlers of messages to the owner of a shard about jobs: from users, and from owners of dependent jobs. */
  private jobHandlers(): [string, PeerHandler][] {
    const { ownership, ownerClient } = this.options;
    const submit = requestHandler(submitArgs, ({ shard, spec: rawSpec }) => {
      const spec = readSpec(rawSpec);
      if (!spec) throw new InvalidInputError('bad job');
      return ownerClient.localShard(shard).submit(spec);
    });
    return [
      [PEER_OPS.submit, submit],
      [PEER_OPS.submitWithDependencies, submit],
      [PEER_OPS.status, requestHandler(jobArgs, ({ shard, id }) => ownerClient.localShard(shard).status(id))],
      [PEER_OPS.cancel, requestHandler(jobArgs, ({ shard, id }) => ownerClient.localShard(shard).cancel(id))],
      [
        PEER_OPS.list,
        requestHandler(listArgs, ({ shard, under, after, most }) =>
          ownerClient.localShard(shard).list(under, after, most),
        ),
      ],
      [
        PEER_OPS.dependencyStatus,
        requestHandler(dependencyStatusArgs, ({ shard, from, claims }) =>
          ownerClient.localShard(shard).dependencyStatus(from, readDependentClaims(claims)),
        ),
      ],
      [
        PEER_OPS.dependencyEnded,
        noticeHandler(dependencyEndedArgs, ({ shard, id, status }) =>
          ownership.shards.get(shard)?.onDependencyEnded(id, status),
        ),
      ],
    ];
  }
}

/** Returns the fields of a message's arguments; an empty object when the arguments are not an object. */
function fieldsOf(args: unknown): Record<string, unknown> {
  return (typeof args === 'object' && args !== null ? args : {}) as Record<string, unknown>;
}

/** Creates a request handler, which parses the arguments with a schema that converts mismatched values. */
function requestHandler<S extends v.GenericSchema>(
  schema: S,
  run: (args: v.InferOutput<S>, from: string, fields: Record<string, unknown>) => unknown,
): PeerHandler {
  return (args, from) => {
    const fields = fieldsOf(args);
    return run(v.parse(schema, fields), from, fields);
  };
}

/** Creates a notice handler, which drops a notice that does not match its schema. */
function noticeHandler<S extends v.GenericSchema>(
  schema: S,
  run: (args: v.InferOutput<S>, from: string) => unknown,
): PeerHandler {
  return (args, from) => {
    const read = v.safeParse(schema, fieldsOf(args));
    if (read.success) run(read.output, from);
    return null;
  };
}
