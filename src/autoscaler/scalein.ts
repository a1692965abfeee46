import { pause } from '../clock/clock.js';
import { fitCount } from '../plan/capacityprofile.js';
import { MAX_RESERVED_TASKS } from '../plan/plan.js';
import { RELEASE_LIMIT } from '../wire/cloud.js';
import { MAX_CONSECUTIVE_ERRORS, type Machine } from '../workers/machine.js';
import type { MachineRecords } from './machinerecords.js';
import type { AutoscalerOptions } from './options.js';

/**
 * How long an idle machine is kept: long where nearly all tasks must start faster than it boots, medium where many
 * must.
 */
const LONG_IDLE_MS = 180_000;
const MEDIUM_IDLE_MS = 30_000;
const SHORT_IDLE_MS = 15_000;
const HIGH_OBJECTIVE_SHARE = 0.95;
/**
 * An idle machine is kept for a class if a task's share of its price is at most this multiple of the cheapest type's.
 */
const MAX_KEPT_COST_FACTOR = 1.5;
/**
 * It is also kept if fewer tasks than this fit on it: smaller tasks find capacity next to others and need no machine
 * of their own.
 */
const MIN_TASKS_OF_SMALL_CLASS = 8;
/** The minimum time that is charged for a deleted machine, so returning it earlier saves nothing. */
const MIN_CHARGE_MS = 55_000;
/**
 * A machine that is not up after this multiple of its boot time, plus a margin, usually never comes up. It is
 * returned so that its place in a small fleet can be rented again.
 */
const OVERDUE_BOOTS = 2.5;
const OVERDUE_MARGIN_MS = 5000;
/** Time that a new owner gives its machines to send a heartbeat before it treats them as overdue. */
const NEW_OWNER_GRACE_MS = 10_000;
/** Time after the expiry of its lease at which a machine is returned. */
const SILENT_RETURN_MS = 120_000;
const RETURN_RETRY_MS = 3000;
/**
 * A machine is treated as gone only after it has been missing from the cloud's list this long, and for several times
 * the list's lag.
 */
const MIN_UNLISTED_MS = 15_000;
const UNLISTED_LAGS = 4;
/** Time after its rental for which a machine that has never sent a heartbeat may be missing from the list. */
const UNLISTED_AFTER_RENTAL_MS = 60_000;

/** Returns a shard's machines to the cloud. */
export class ScaleIn {
  /** Times since which machines have been missing from the cloud's list, in monotonic milliseconds. */
  private readonly unlistedSince = new Map<string, number>();
  private readonly claimedAt: number;

  constructor(
    private readonly options: AutoscalerOptions,
    private readonly records: MachineRecords,
    /** Machines that are being moved to another shard or returned to the cloud. */
    private readonly moving: Set<string>,
  ) {
    this.claimedAt = options.context.clock.now();
  }

  /** Returns machines to the cloud that are not needed, never came up, stopped reporting or fail all tasks. */
  returnUnneeded(now: number): void {
    const toReturn: Machine[] = [];
    for (const machine of this.options.registry.machines.values())
      if (!this.moving.has(machine.id) && this.shouldReturn(machine, now)) toReturn.push(machine);
    if (toReturn.length > 0) void this.returnMachines(toReturn.slice(0, RELEASE_LIMIT));
  }

  /** Compares the machines with the cloud's list, which is delayed and may be older than the previous one. */
  onMachinesListed(): void {
    const { context, log, registry } = this.options;
    const now = context.clock.now();
    const { listedById } = context.catalog;
    const maxUnlistedMs = Math.max(
      MIN_UNLISTED_MS,
      context.settings.cloudLimits.listLagS * UNLISTED_LAGS * 1000,
    );
    for (const machine of registry.machines.values()) {
      const listed = listedById.get(machine.id);
      if (listed) {
        this.unlistedSince.delete(machine.id);
        if (!machine.addr && listed.addr) machine.addr = listed.addr;
        if (listed.state === 'failed' && !this.moving.has(machine.id)) {
          log.info({ machine: machine.id }, 'machine failed');
          void this.returnMachines([machine]);
        }
        continue;
      }
      const since = this.unlistedSince.get(machine.id) ?? now;
      this.unlistedSince.set(machine.id, since);
      const silent =
        machine.lastHeartbeatAt === null
          ? now - machine.rentedAt > UNLISTED_AFTER_RENTAL_MS
          : machine.leaseExpired;
      if (silent && now - since > maxUnlistedMs && !this.moving.has(machine.id))
        void this.returnMachines([machine]);
    }
    for (const id of this.unlistedSince.keys()) if (!registry.machines.has(id)) this.unlistedSince.delete(id);
  }

  private shouldReturn(machine: Machine, now: number): boolean {
    const { hooks, registry } = this.options;
    const idle =
      hooks.isIdle(machine) &&
      machine.idleSince !== null &&
      now - machine.idleSince > this.maxIdleMs(machine) &&
      now - machine.rentedAt > MIN_CHARGE_MS;
    const silent = machine.leaseExpired && now - registry.leaseEnd(machine) > SILENT_RETURN_MS;
    const failing =
      machine.consecutiveErrors >= MAX_CONSECUTIVE_ERRORS &&
      machine.attempts.size === 0 &&
      machine.reconciled;
    return machine.decommissioning || idle || this.isOverdue(machine, now) || silent || failing;
  }

  /** Returns whether a machine has not come up in time. */
  private isOverdue(machine: Machine, now: number): boolean {
    const type = this.options.context.catalog.get(machine.type);
    return (
      machine.lastHeartbeatAt === null &&
      !machine.mayHoldUnreportedTasks &&
      type !== undefined &&
      now - machine.rentedAt > type.bootS * OVERDUE_BOOTS * 1000 + OVERDUE_MARGIN_MS &&
      now - this.claimedAt > NEW_OWNER_GRACE_MS
    );
  }

  /**
   * Returns how long a machine may be idle, in milliseconds. If tasks are expected to start faster than a machine
   * boots, only idle machines make that possible. They are kept longest if nearly every task must start that fast,
   * and for about one boot time if many tasks may miss the target. For a class of small tasks only machines among the
   * cheapest for them are kept.
   */
  private maxIdleMs(machine: Machine): number {
    const { catalog, settings } = this.options.context;
    const bootS = catalog.get(machine.type)?.bootS ?? 0;
    const soonerThanBoot = settings.objectives.filter(
      (o) =>
        o.kind !== 'finished' &&
        o.withinS !== null &&
        o.withinS < bootS * 1.5 &&
        (o.class === null || this.isKeptFor(machine, o.class)),
    );
    if (soonerThanBoot.length === 0) return SHORT_IDLE_MS;
    return soonerThanBoot.some((o) => (o.share ?? 1) >= HIGH_OBJECTIVE_SHARE) ? LONG_IDLE_MS : MEDIUM_IDLE_MS;
  }

  private isKeptFor(machine: Machine, jobClass: string): boolean {
    const { context, hooks } = this.options;
    const taskSize = hooks.taskSizeOf(jobClass);
    if (!taskSize) return hooks.hasHadNoJob();
    const size = context.catalog.size(machine.type);
    if (
      fitCount(size, taskSize, 1) > 0 &&
      fitCount(size, taskSize, MIN_TASKS_OF_SMALL_CLASS) < MIN_TASKS_OF_SMALL_CLASS
    )
      return true;
    const costs = context.catalog
      .offeredTypes()
      .map(([type, t]) => ({ type, cost: t.price / fitCount(t, taskSize, MAX_RESERVED_TASKS) }));
    const least = Math.min(...costs.map((c) => c.cost));
    return costs.some((c) => c.type === machine.type && c.cost <= least * MAX_KEPT_COST_FACTOR);
  }

  /** Returns machines to the cloud, after marking them durably so that no owner ever uses them again. */
  private async returnMachines(machines: Machine[]): Promise<void> {
    const { context, log, registry } = this.options;
    for (const machine of machines) this.moving.add(machine.id);
    try {
      const marked = await this.records.markDecommissioning(machines);
      if (marked.length === 0) return;
      await context.cloud.release(marked.map((machine) => machine.id));
      log.info({ machines: marked.map((machine) => machine.id) }, 'machines returned');
      // The cloud has confirmed the release, so the machines no longer exist.
      for (const machine of marked) registry.remove(machine);
      await this.records.delete(marked);
    } catch (error) {
      log.info({ machines: machines.length, err: error }, 'returning machines failed');
      await pause(context.clock, RETURN_RETRY_MS);
    } finally {
      for (const machine of machines) this.moving.delete(machine.id);
    }
  }
}
