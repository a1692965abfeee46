import type { ControllerContext } from '../context/context.js';
import { valueBytes } from '../jobs/records.js';
import { KEYS, readTeamAssignment } from '../schema/schema.js';
import type { ClusterStateCache } from './clusterstatecache.js';

/** The shard of each team, by the team's name. */
export type TeamAssignment = Readonly<Record<string, number>>;

/** What a team is guaranteed. */
export interface TeamGuarantee {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
}

/** What a team's guarantee counts when teams, and with them machines, are assigned: in cores, 10 of them for a GPU. */
export function teamWeight(team: { readonly cpus: number; readonly gpus: number }): number {
  return team.cpus + 10 * team.gpus + 1;
}

/** Spreads teams over the shards by their guarantees, the largest first; teams that have a shard stay there. */
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
 * An assignment in as many stored records as a limit of bytes for each asks for. The first record is the last of the list,
 * and written last: it shows that all are there.
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

/** What the assignment of teams reads and writes. */
export interface TeamAssignerOptions {
  readonly context: ControllerContext;
  /** The leader's term: what it writes holds only under this. */
  readonly term: number;
  readonly stateCache: ClusterStateCache;
  /** Whether every node understands an assignment in several records. */
  allSupportLatest(): boolean;
}

/** The leader's part for teams: assigns each to a shard. */
export class TeamAssigner {
  private assigning = false;

  constructor(private readonly options: TeamAssignerOptions) {}

  /** Teams stay in the shard that they were assigned to; new ones go where the guarantees weigh least. */
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
    const records = this.options.allSupportLatest()
      ? assignmentRecords(assignment, valueBytes(context.settings.stateLimits.valueKb))
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
