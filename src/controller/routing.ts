import type { ControllerContext } from '../context/context.js';
import { UnavailableError } from '../errors/errors.js';
import { hasNoQuota, type JobEntry } from '../jobs/job.js';
import { hasDependencies, jobStatusFromStore } from '../jobs/jobstatus.js';
import { findJob } from '../jobs/records.js';
import {
  type JobStatusResponse,
  OwnerUnavailableError,
  type SubmitResponse,
} from '../scheduler/responses.js';
import type { Shard } from '../scheduler/shard.js';
import { readTeamAssignment } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { JobSpec, ListedJob } from '../wire/users.js';
import type { Membership } from './membership.js';
import type { OwnerClient } from './ownerclient.js';
import { OwnerlessAdmission } from './ownerlessadmission.js';
import { PEER_OPS } from './peeroperations.js';

const MAX_CACHED_ROUTES = 20_000;
/** Maximum number of jobs on one page of a list, which bounds the cost of a request for an owner. */
const LIST_PAGE_SIZE = 200;

/**
 * Routes users' requests to the owner of the job's shard, and answers those that can be answered without the owner.
 */
export class Routing {
  private readonly ownerlessAdmission: OwnerlessAdmission;
  private readonly routes = new Map<string, JobEntry>();

  constructor(
    private readonly context: ControllerContext,
    private readonly members: Membership,
    private readonly ownerClient: OwnerClient,
    /** The shards that this node owns. */
    private readonly shards: ReadonlyMap<number, Shard>,
  ) {
    this.ownerlessAdmission = new OwnerlessAdmission(
      context,
      members,
      () => ownerClient.allSupportProtocolVersion,
      (shard, id) => this.confirmWithOwner(shard, id),
    );
  }

  private requestStatus(shard: number, id: string): Promise<JobStatusResponse | null> {
    return this.ownerClient.request({
      shard,
      op: PEER_OPS.status,
      args: { id },
      answerHere: (local) => local.status(id),
    });
  }

  /**
   * Makes a shard's owner read the record of a job that it may not have loaded. Returns whether the owner answered.
   */
  private async confirmWithOwner(shard: number, id: string): Promise<boolean> {
    try {
      await this.requestStatus(shard, id);
      return true;
    } catch (error) {
      if (!(error instanceof UnavailableError || error instanceof StateStoreError)) throw error;
      return false;
    }
  }

  /**
   * Returns the shard of a new job; null while teams have not been assigned. In a cluster without teams, the shard is
   * chosen by a hash of the job's id. The jobs of a team with neither a guarantee nor a limit are spread by the same
   * hash over the shards of the other teams, because the resources of such a team need not be counted in one place.
   * Its small tasks can then use what is left on the machines of all these shards.
   */
  shardOf(spec: JobSpec): number | null {
    const { teams, nodes } = this.context.settings;
    if (teams.length === 0) return hash(spec.id) % nodes;
    const assignment = readTeamAssignment(this.members.stateCache.entries);
    const teamShard = assignment?.[spec.team];
    if (!assignment || teamShard === undefined) return null;
    const team = teams.find((t) => t.name === spec.team);
    if (!team || !hasNoQuota(team)) return teamShard;
    const quotaShards = new Set<number>();
    for (const other of teams) {
      const shard = assignment[other.name];
      if (!hasNoQuota(other) && shard !== undefined) quotaShards.add(shard);
    }
    const candidates = [...quotaShards].sort((a, b) => a - b);
    return candidates.length === 0 ? teamShard : candidates[hash(spec.id) % candidates.length]!;
  }

  /** Caches the shard of a job, or its final status. */
  private cacheRoute(id: string, { shard, final, tasks }: JobEntry): void {
    this.routes.set(id, final ? { shard, final, tasks: tasks ?? 0 } : { shard });
    if (this.routes.size > MAX_CACHED_ROUTES) this.routes.delete(this.routes.keys().next().value!);
  }

  /** Returns the shard of a job, or its final status; null only when the key-value store has no record of the job. */
  async locate(id: string): Promise<JobEntry | null> {
    const known = this.routes.get(id);
    if (known) return known;
    for (const s of this.shards.values()) if (s.ready && s.job(id)) return { shard: s.index };
    const entry = await findJob((key) => this.context.store.getCoalesced(key), id);
    if (entry) this.cacheRoute(id, entry);
    return entry;
  }

  /**
   * Returns the status of a job according to the key-value store. It is used when the owner cannot be reached: during
   * a network partition between zones, a user may reach no other node for minutes. A final status is durable before
   * it is returned to any user, so the result is never older than a status that the user has already seen.
   */
  private async statusFromStore(id: string): Promise<JobStatusResponse | null> {
    const entry = await findJob((key) => this.context.store.getCoalesced(key), id);
    if (!entry) return null;
    this.cacheRoute(id, entry);
    // A dependency of a waiting job may have been cancelled, and the job must not be reported as queued for long in
    // that case.
    if (
      !entry.final &&
      hasDependencies(entry) &&
      (await jobStatusFromStore(this.context.store, id)) !== 'active'
    )
      throw new UnavailableError('what the job waits for is not known now');
    const done = entry.final === 'done' ? (entry.tasks ?? 0) : 0;
    return { status: entry.final ?? 'queued', done, running: 0 };
  }

  /**
   * Submits a job to the owner of its shard. Throws `UnavailableError` when it can currently be neither accepted nor
   * rejected.
   */
  async submit(spec: JobSpec): Promise<SubmitResponse> {
    const known = this.routes.get(spec.id);
    if (known?.final) return { kind: 'known', status: known.final };
    const shard = known?.shard ?? this.shardOf(spec);
    if (shard === null) throw new UnavailableError('teams are not parted yet');
    // A node of an older version ignores dependencies, and would start the job immediately.
    if (spec.after.length > 0 && !this.ownerClient.allSupportProtocolVersion)
      throw new UnavailableError('not all controllers run a version that lets jobs wait for others');
    // A node that does not support match expressions would start the job on any machine.
    if (spec.match && !this.ownerClient.allSupportMatching)
      throw new UnavailableError('not all controllers serve match expressions');
    const op = spec.after.length > 0 ? PEER_OPS.submitWithDependencies : PEER_OPS.submit;
    let answer: SubmitResponse;
    try {
      const ownerless = this.ownerlessAdmission.mayAccept(spec);
      answer = await this.ownerClient
        .request<SubmitResponse>({
          shard,
          op,
          args: { spec },
          answerHere: (local) => local.submit(spec),
          directOnly: ownerless,
        })
        .catch((error) => {
          if (!ownerless || !(error instanceof OwnerUnavailableError)) throw error;
          return this.acceptWithoutOwner(shard, op, spec);
        });
    } catch (error) {
      // A job accepted earlier can be found without its owner; only a new job has to wait for the owner.
      const stored = error instanceof UnavailableError ? await this.statusFromStore(spec.id) : null;
      if (!stored) throw error;
      return { kind: 'known', status: stored.status };
    }
    if (answer.kind === 'accepted') this.cacheRoute(spec.id, { shard });
    return answer;
  }

  /**
   * Accepts a job whose shard has no reachable owner. An owner that only this node cannot reach learns of the job by
   * a stored request.
   */
  private async acceptWithoutOwner(shard: number, op: string, spec: JobSpec): Promise<SubmitResponse> {
    for (const id of spec.after) {
      const entry = await this.locate(id);
      if (!entry) return { kind: 'never', needs: id };
      // Such a job has to be cancelled together with its acceptance, which is not done without the owner.
      if (entry.final === 'cancelled') throw new UnavailableError('no owner at present');
    }
    const answer = await this.ownerlessAdmission.accept(shard, spec);
    if (answer.kind === 'known' && answer.status === 'queued')
      throw new UnavailableError('known, but not how it stands');
    const owner = this.members.owner(shard);
    if (answer.kind === 'accepted' && owner && owner.node !== this.context.settings.node)
      void this.ownerClient
        .requestThroughStore(shard, owner.incarnation, op, { spec })
        .catch(() => undefined);
    return answer;
  }

  /**
   * Returns the status of a job; null when no job with this id ever existed. Throws `UnavailableError` when the
   * status cannot be determined now.
   */
  async status(id: string): Promise<JobStatusResponse | null> {
    const entry = await this.locate(id);
    if (!entry) return null;
    if (entry.final) {
      return { status: entry.final, done: entry.final === 'done' ? (entry.tasks ?? 0) : 0, running: 0 };
    }
    let answer: JobStatusResponse | null;
    try {
      answer = await this.requestStatus(entry.shard, id);
    } catch (error) {
      const stored = error instanceof UnavailableError ? await this.statusFromStore(id) : null;
      if (!stored) throw error;
      return stored;
    }
    if (!answer) {
      // Either the job has ended and the owner has dropped it, or the owner cannot read its whole record. The
      // key-value store has the status in both cases.
      this.routes.delete(id);
      const stored = await this.statusFromStore(id);
      if (!stored) throw new UnavailableError('between two owners');
      return stored;
    }
    if (answer.status === 'done' || answer.status === 'cancelled') {
      this.cacheRoute(id, { shard: entry.shard, final: answer.status, tasks: answer.done });
    }
    return answer;
  }

  /**
   * Returns a page of unfinished jobs whose ids start with `under`, in the order of their ids, from the first id
   * after `after`. Queries all shards; throws `UnavailableError` when one of them does not answer.
   */
  async list(under: string, after: string): Promise<{ jobs: ListedJob[]; more: boolean }> {
    const shards = Array.from({ length: this.context.settings.nodes }, (_, i) => i);
    const args = { under, after, most: LIST_PAGE_SIZE };
    const pages = await Promise.all(
      shards.map((shard) =>
        this.ownerClient.request<ListedJob[]>({
          shard,
          op: PEER_OPS.list,
          args,
          answerHere: async (local) => local.list(under, after, LIST_PAGE_SIZE),
        }),
      ),
    );
    const jobs = pages.flat().sort((a, b) => (a.id < b.id ? -1 : 1));
    return {
      jobs: jobs.slice(0, LIST_PAGE_SIZE),
      more: jobs.length > LIST_PAGE_SIZE || pages.some((page) => page.length === LIST_PAGE_SIZE),
    };
  }

  /**
   * Cancels a job. Returns its final status, or null when no job with this id ever existed. Throws `UnavailableError`
   * when the job cannot be cancelled now.
   */
  async cancel(id: string): Promise<'done' | 'cancelled' | null> {
    const entry = await this.locate(id);
    if (!entry) return null;
    if (entry.final) return entry.final;
    const answer = await this.ownerClient.request({
      shard: entry.shard,
      op: PEER_OPS.cancel,
      args: { id },
      answerHere: (local) => local.cancel(id),
    });
    if (answer === null) {
      this.routes.delete(id);
      const entryAfter = await this.locate(id);
      if (!entryAfter?.final) throw new UnavailableError('between two owners');
      return entryAfter.final;
    }
    this.cacheRoute(id, { shard: entry.shard, final: answer, tasks: entry.tasks });
    return answer;
  }
}

/**
 * Computes 32-bit FNV-1a over UTF-16 code units. It is the same in all versions, so that all nodes route a job to
 * the same shard.
 */
function hash(text: string): number {
  let value = 2166136261;
  for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), 16777619) >>> 0;
  return value;
}
