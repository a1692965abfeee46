import type { Autoscaler } from '../autoscaler/autoscaler.js';
import type { Log } from '../config/log.js';
import type { ControllerContext } from '../context/context.js';
import { type MachineRecord, readMachineRecord } from '../schema/schema.js';
import { StateStoreError } from '../state/statestore.js';
import type { Entry } from '../wire/state.js';
import type { Machine } from '../workers/machine.js';
import type { MachineRegistry } from '../workers/machineregistry.js';

/** Callbacks by which `MachineRecords` queries and notifies its shard. */
export interface MachineRecordsHooks {
  /** Returns whether the shard has been loaded and its owner may act. */
  isReady(): boolean;
  /** Returns whether jobs and machines have been read from the key-value store. */
  isLoaded(): boolean;
  /** Returns whether a machine holds no task, has none planned, and is not reserved for another shard. */
  isIdle(m: Machine): boolean;
  requestPlan(): void;
}

/** Collaborators of `MachineRecords`. */
export interface MachineRecordsParts {
  readonly context: ControllerContext;
  /** The shard's index and the term of its owner. */
  readonly index: number;
  readonly term: number;
  readonly registry: MachineRegistry;
  readonly autoscaler: Autoscaler;
  readonly log: Log;
  readonly hooks: MachineRecordsHooks;
}

/**
 * Applies the assignment records of a shard's machines in the key-value store, and transfers machines to other
 * shards.
 */
export class MachineRecords {
  constructor(private readonly parts: MachineRecordsParts) {}

  /** Applies the record of a machine to the registry; `entry` is null when the record has been deleted. */
  apply(id: string, entry: Entry | null): void {
    const { registry, index } = this.parts;
    const machine = registry.machines.get(id);
    const record = entry && readMachineRecord(entry.value);
    if (!entry || !record || record.shard !== index) {
      if (machine && (!entry || entry.version > machine.version)) registry.remove(machine);
      return;
    }
    if (machine) updateMachine(machine, record, entry.version);
    else this.addMachine(id, record, entry.version);
  }

  private addMachine(id: string, record: MachineRecord, version: number): void {
    const { registry, hooks } = this.parts;
    const machine = this.newMachine(id, record, version);
    registry.machines.set(id, machine);
    if (hooks.isLoaded()) void registry.reconcile(machine, null);
    hooks.requestPlan();
  }

  private newMachine(id: string, record: MachineRecord, version: number): Machine {
    const { context, term } = this.parts;
    const now = context.clock.now();
    return {
      id,
      addr: record.addr || context.catalog.listedById.get(id)?.addr || '',
      type: context.names.types.index(record.type),
      zone: context.names.zones.index(record.zone),
      spot: record.spot,
      decommissioning: record.state === 'leaving',
      version,
      fencingToken: Math.max(term, version),
      minFencingToken: Math.max(term, version),
      incarnation: 0,
      heartbeatSequence: -1,
      minIncarnation: 0,
      reconciled: false,
      mayHoldUnreportedTasks: false,
      leaseRenewedAt: now,
      lastAcknowledgedAt: now,
      lastHeartbeatAt: null,
      leaseExpired: false,
      rentedAt: now - Math.max(0, context.clock.wall() - record.rentedAt),
      reclaimAt: null,
      attempts: new Map(),
      images: new Map(),
      idleSince: now,
      unreachableAt: null,
      unconfirmedResponses: 0,
      consecutiveErrors: 0,
      quarantinedUntil: 0,
    };
  }

  /**
   * Transfers an idle machine to another shard. Returns false when it is not idle or the record could not be
   * written.
   */
  transferIdle(id: string, to: number): Promise<boolean> {
    return this.transfer(id, to, (m) => this.parts.hooks.isIdle(m));
  }

  /**
   * Transfers a machine that was reserved for another shard. Returns false when it is not empty or the record could
   * not be written.
   */
  transferReserved(id: string, to: number): Promise<boolean> {
    return this.transfer(id, to, isInServiceAndEmpty);
  }

  private async transfer(id: string, to: number, isAvailable: (m: Machine) => boolean): Promise<boolean> {
    const { registry, autoscaler, log, hooks } = this.parts;
    const machine = registry.machines.get(id);
    if (!machine || !hooks.isReady() || autoscaler.movingMachines.has(id) || !isAvailable(machine))
      return false;
    autoscaler.movingMachines.add(id);
    try {
      await autoscaler.writeRecord(machine, { shard: to });
      registry.remove(machine);
      log.info({ machine: id, to }, 'machine transferred');
      return true;
    } catch (error) {
      log.info({ machine: id, err: error }, 'machine transfer failed');
      if (!(error instanceof StateStoreError) || error.mayHaveApplied) await autoscaler.settleRecord(machine);
      return false;
    } finally {
      autoscaler.movingMachines.delete(id);
    }
  }
}

/** Applies a newer version of a known machine's record. The machine has to confirm a newer fencing token. */
function updateMachine(machine: Machine, record: MachineRecord, version: number): void {
  if (version <= machine.version) return;
  machine.version = version;
  machine.decommissioning = record.state === 'leaving';
  if (version > machine.fencingToken) {
    machine.fencingToken = version;
    machine.minFencingToken = version;
    machine.reconciled = false;
  }
}

/** Returns whether a machine is in service and certain to hold no task. */
export function isInServiceAndEmpty(machine: Machine): boolean {
  return (
    machine.reconciled &&
    !machine.decommissioning &&
    !machine.leaseExpired &&
    !machine.mayHoldUnreportedTasks &&
    machine.attempts.size === 0 &&
    machine.reclaimAt === null
  );
}
