import type { ControllerContext } from '../context/context.js';
import { maxValueBytes } from '../jobs/records.js';
import { KEYS, readTeamAssignment } from '../schema/schema.js';
import type { ClusterStateCache } from './clusterstatecache.js';

/** The shard of each team, by the team's name. */
export type TeamAssignment = Readonly<Record<string, number>>;

/** The guaranteed resources of a team. */
export interface TeamGuarantee {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
}

/**
 * Returns the weight of a team in the assignment of teams, and with them of machines: its guaranteed cores plus 10
 * for each guaranteed GPU, plus 1.
 */
export function teamWeight(team: { readonly cpus: number; readonly gpus: number }): number {
  return team.cpus + 10 * team.gpus + 1;
}

/** Balances teams over the shards by weight, the heaviest first. Teams that already have a shard keep it. */
export function assignTeams(
  teams: readonly TeamGuarantee[],
  assigned: TeamAssignment,
  shards: number,
): Record<string, number> {
  const assignment: Record<string, number> = { ...assigned };
  const load = new Array<number>(shards).fill(0);
  for (const team of teams) {
    const shard = assignment[team.name];
    if (shard !== undefined && load[shard] !== undefined) load[shard]! += teamWeight(team);
  }
  for (const team of [...teams].sort((a, b) => teamWeight(b) - teamWeight(a))) {
    if (assignment[team.name] !== undefined) continue;
    const leastLoaded = load.indexOf(Math.min(...load));
    assignment[team.name] = leastLoaded;
    load[leastLoaded]! += teamWeight(team);
  }
  return assignment;
}

/**
 * Splits an assignment into as many stored records as the size limit of one record requires. The main record is the
 * last of the list and is written last, so that its presence shows that all records are stored.
 */
export function assignmentRecords(
  assignment: TeamAssignment,
  maxBytes: number,
): [string, Record<string, number>][] {
  const records: Record<string, number>[] = [{}];
  let bytes = 2;
  for (const [team, shard] of Object.entries(assignment)) {
    const added = Buffer.byteLength(JSON.stringify({ [team]: shard }));
    if (bytes + added > maxBytes) {
      records.push({});
      bytes = 2;
    }
    bytes += added;
    records.at(-1)![team] = shard;
  }
  return records
    .map((record, n): [string, Record<string, number>] => [n === 0 ? KEYS.teams : KEYS.moreTeams(n), record])
    .reverse();
}

/** Dependencies of `TeamAssigner`. */
export interface TeamAssignerOptions {
  readonly context: ControllerContext;
  /** The leader's term; writes are conditional on it. */
  readonly term: number;
  readonly stateCache: ClusterStateCache;
  /** Whether every node supports an assignment in several records. */
  allSupportProtocolVersion(): boolean;
}

/** Assigns each team to a shard, on the leader. */
export class TeamAssigner {
  private assigning = false;

  constructor(private readonly options: TeamAssignerOptions) {}

  /** Assigns new teams to the shards with the lowest total weight. Teams already assigned keep their shard. */
  async assign(): Promise<void> {
    const { context, stateCache } = this.options;
    const { teams, nodes } = context.settings;
    const assigned = readTeamAssignment(stateCache.entries) ?? {};
    const hasNewTeams = teams.some((t) => assigned[t.name] === undefined);
    if ((stateCache.entries.has(KEYS.teams) && !hasNewTeams) || this.assigning) return;
    this.assigning = true;
    try {
      await this.store(assignTeams(teams, assigned, nodes));
    } catch (error) {
      context.log.info({ err: error }, 'team assignment failed');
    } finally {
      this.assigning = false;
    }
  }

  private async store(assignment: Record<string, number>): Promise<void> {
    const { context, term, stateCache } = this.options;
    const records = this.options.allSupportProtocolVersion()
      ? assignmentRecords(assignment, maxValueBytes(context.settings.stateLimits.valueKb))
      : [[KEYS.teams, assignment] as const];
    for (const [key, value] of records) {
      const version = stateCache.entries.get(key)?.version ?? 0;
      const written = await context.store.compareAndSwap(
        [
          { key: KEYS.leader, version: term },
          { key, version },
        ],
        [{ put: key, value }],
      );
      if (!written.ok) break;
      stateCache.apply({ key, value, version: written.revision });
    }
  }
}
