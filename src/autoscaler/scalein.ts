import { pause } from '../clock/clock.js';
import { fitCount } from '../plan/capacityprofile.js';
import { MAX_RESERVED_TASKS } from '../plan/plan.js';
import { RELEASE_LIMIT } from '../wire/cloud.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../workers/machine.js';
import type { MachineRecords } from './machinerecords.js';
import type { AutoscalerOptions } from './options.js';

/** An idle machine is kept for long where nearly all tasks must start sooner than it boots, for some time where many. */
const LONG_IDLE_MS = 180_000;
const MEDIUM_IDLE_MS = 30_000;
const SHORT_IDLE_MS = 15_000;
const NEARLY_ALL = 0.95;
/** An idle machine is kept for a class when a task's share of it costs no more than so many times the cheapest. */
const MAX_KEPT_COST_FACTOR = 1.5;
/** Or when fewer tasks than this fit on it: smaller ones find capacity beside others, and need no machine of their own. */
const KEPT_TASKS = 8;
/** A deleted machine costs at least so much time, so returning it earlier saves nothing. */
const MIN_CHARGE_MS = 55_000;
/**
 * A machine that is not up after so many boot times, and some more, mostly never comes. It is returned, so that its place in
 * a small fleet can be rented anew.
 */
const OVERDUE_BOOTS = 2.5;
const OVERDUE_MARGIN_MS = 5000;
/** A new owner does not take machines for overdue before they had the time to report to it. */
const NEW_OWNER_GRACE_MS = 10_000;
/** A machine whose lease expired this long ago is returned. */
const SILENT_RETURN_MS = 120_000;
const RETURN_RETRY_MS = 3000;
/** A machine is taken for gone only when the cloud's list lacks it for so long, or for several times the list's lag. */
const MIN_UNLISTED_MS = 15_000;
const UNLISTED_LAGS = 4;
/** A machine that has never reported may be missing in the list for this long after it was rented. */
const UNLISTED_AFTER_RENTAL_MS = 60_000;

/** Returns a shard's machines to the cloud. */
export class ScaleIn {
  /** Since when machines are missing in the cloud's list, in steady milliseconds. */
  private readonly unlistedSince = new Map<string, number>();
  private readonly claimedAt: number;

  constructor(
    private readonly options: AutoscalerOptions,
    private readonly records: MachineRecords,
    /** Machines that are being given to another shard or back to the cloud. */
    private readonly moving: Set<string>,
  ) {
    this.claimedAt = options.context.clock.now();
  }

  /** Returns what nobody needs, never came up, has gone silent or fails all tasks. */
  returnIdle(now: number): void {
    const due: Machine[] = [];
    for (const m of this.options.registry.machines.values())
      if (!this.moving.has(m.id) && this.isDue(m, now)) due.push(m);
    if (due.length > 0) void this.giveBack(due.slice(0, RELEASE_LIMIT));
  }

  /** Compares the machines with the cloud's list, which is late and may be older than the one before. */
  onMachinesListed(): void {
    const { context, log, registry } = this.options;
    const now = context.clock.now();
    const { listedById } = context.catalog;
    const patienceMs = Math.max(
      MIN_UNLISTED_MS,
      context.settings.cloudLimits.listLagS * UNLISTED_LAGS * 1000,
    );
    for (const m of registry.machines.values()) {
      const listed = listedById.get(m.id);
      if (listed) {
        this.unlistedSince.delete(m.id);
        if (!m.addr && listed.addr) m.addr = listed.addr;
        if (listed.state === 'failed' && !this.moving.has(m.id)) {
          log.info({ machine: m.id }, 'machine failed');
          void this.giveBack([m]);
        }
        continue;
      }
      const since = this.unlistedSince.get(m.id) ?? now;
      this.unlistedSince.set(m.id, since);
      const silent =
        m.lastHeartbeatAt === null ? now - m.rentedAt > UNLISTED_AFTER_RENTAL_MS : m.leaseExpired;
      if (silent && now - since > patienceMs && !this.moving.has(m.id)) void this.giveBack([m]);
    }
    for (const id of this.unlistedSince.keys()) if (!registry.machines.has(id)) this.unlistedSince.delete(id);
  }

  private isDue(m: Machine, now: number): boolean {
    const { hooks, registry } = this.options;
    const idle =
      hooks.isIdle(m) &&
      m.idleSince !== null &&
      now - m.idleSince > this.maxIdleMs(m) &&
      now - m.rentedAt > MIN_CHARGE_MS;
    const silent = m.leaseExpired && now - registry.leaseEnd(m) > SILENT_RETURN_MS;
    const failing = m.consecutiveErrors >= MAX_CONSECUTIVE_ERRORS && m.attempts.size === 0 && m.reconciled;
    return m.decommissioning || idle || this.isOverdue(m, now) || silent || failing;
  }

  /** Whether a machine has not come up in time. */
  private isOverdue(m: Machine, now: number): boolean {
    const type = this.options.context.catalog.get(m.type);
    return (
      m.lastHeartbeatAt === null &&
      !m.mayHoldUnreportedTasks &&
      type !== undefined &&
      now - m.rentedAt > type.bootS * OVERDUE_BOOTS * 1000 + OVERDUE_MARGIN_MS &&
      now - this.claimedAt > NEW_OWNER_GRACE_MS
    );
  }

  /**
   * How long a machine may be idle, in milliseconds. Where tasks are expected to start sooner than a machine boots, idle
   * machines are what makes it possible: all of them where nearly every task must, and for about a boot where many may miss
   * it. A class of small tasks keeps only machines that are among the cheapest for them.
   */
  private maxIdleMs(m: Machine): number {
    const { catalog, settings } = this.options.context;
    const bootS = catalog.get(m.type)?.bootS ?? 0;
    const soonerThanBoot = settings.objectives.filter(
      (o) =>
        o.kind !== 'finished' &&
        o.withinS !== null &&
        o.withinS < bootS * 1.5 &&
        (o.class === null || this.isKeptFor(m, o.class)),
    );
    if (soonerThanBoot.length === 0) return SHORT_IDLE_MS;
    return soonerThanBoot.some((o) => (o.share ?? 1) >= NEARLY_ALL) ? LONG_IDLE_MS : MEDIUM_IDLE_MS;
  }

  private isKeptFor(m: Machine, jobClass: string): boolean {
    const { context, hooks } = this.options;
    const taskSize = hooks.taskSizeOf(jobClass);
    if (!taskSize) return hooks.hasSeenNoJob();
    const size = context.catalog.size(m.type);
    if (fitCount(size, taskSize, 1) > 0 && fitCount(size, taskSize, KEPT_TASKS) < KEPT_TASKS) return true;
    const costs = context.catalog
      .all()
      .map(([type, t]) => ({ type, cost: t.price / fitCount(t, taskSize, MAX_RESERVED_TASKS) }));
    const least = Math.min(...costs.map((c) => c.cost));
    return costs.some((c) => c.type === m.type && c.cost <= least * MAX_KEPT_COST_FACTOR);
  }

  /** Returns machines to the cloud: marked durably first, so that no owner ever uses them again. */
  private async giveBack(machines: Machine[]): Promise<void> {
    const { context, log, registry } = this.options;
    for (const m of machines) this.moving.add(m.id);
    try {
      const marked = await this.records.markDecommissioning(machines);
      if (marked.length === 0) return;
      await context.cloud.release(marked.map((m) => m.id));
      log.info({ machines: marked.map((m) => m.id) }, 'machines returned');
      // They are surely no more.
      for (const m of marked) registry.remove(m);
      await this.records.delete(marked);
    } catch (error) {
      log.info({ machines: machines.length, err: error }, 'returning machines failed');
      await pause(context.clock, RETURN_RETRY_MS);
    } finally {
      for (const m of machines) this.moving.delete(m.id);
    }
  }
}
