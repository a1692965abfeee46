import { type IntervalHistogram, monitorEventLoopDelay } from 'node:perf_hooks';
import type { Clock } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import { type Flow, ratesBetween } from '../emulator/traffic.js';
import { coresBetween, type ProcessUse, processUse, residentMb } from './processes.js';
import type { Scenario } from './scenario.js';

/** Resources that one controller used during a phase. */
export interface ControllerUse {
  node: string;
  leader: boolean;
  shards: number;
  /** CPU seconds per second. */
  cores: number;
  residentMb: number;
  sockets: number;
}

/** Measurements of one phase of a scenario. */
export interface PhaseReport {
  name: string;
  seconds: number;
  controllers: ControllerUse[];
  /**
   * The process of the services, users and emulated workers. If its event loop lags, the figures of the run are not
   * meaningful.
   */
  emulator: { cores: number; residentMb: number; lagP99Ms: number };
  /** Messages and bytes per second, by kind of message. */
  traffic: Record<string, Flow>;
  /** Entries and bytes in the key-value store, by key prefix. */
  stored: Record<string, { entries: number; bytes: number }>;
  tasks: number;
}

interface Snapshot {
  at: number;
  traffic: Map<string, Flow>;
  controllerUses: (ProcessUse | null)[];
  emulatorUse: ProcessUse | null;
}

const STORED_PREFIXES = [
  'c/m/',
  'c/own/',
  'c/stand/',
  'c/node/',
  'c/teams',
  'c/mail/',
  'act/',
  'part/',
  'job/',
];
const LAG_RESOLUTION_MS = 10;

/** Measures the processes and links of a cluster during each phase of a scenario. */
export class Measurement {
  readonly phases: PhaseReport[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly cluster: LocalCluster,
    private readonly scenario: Scenario,
  ) {}

  /** Schedules the measurement of each phase; the times of the phases count from now. */
  start(): void {
    for (const phase of this.scenario.phases) {
      this.clock.after(phase.from_s * 1000, () => {
        const lag = monitorEventLoopDelay({ resolution: LAG_RESOLUTION_MS });
        lag.enable();
        const before = this.takeSnapshot();
        this.clock.after((phase.until_s - phase.from_s) * 1000, () => {
          lag.disable();
          this.phases.push(this.report(phase.name, before, this.takeSnapshot(), lag));
        });
      });
    }
  }

  private takeSnapshot(): Snapshot {
    return {
      at: this.clock.now(),
      traffic: this.cluster.traffic.snapshot(),
      controllerUses: this.cluster.controllers.map((c) =>
        c.process?.pid ? processUse(c.process.pid) : null,
      ),
      emulatorUse: processUse(process.pid),
    };
  }

  private report(name: string, before: Snapshot, after: Snapshot, lag: IntervalHistogram): PhaseReport {
    const seconds = (after.at - before.at) / 1000;
    const { state, controllers, machines } = this.cluster;
    const nodeOf = (key: string) => (state.value(key) as { node?: string } | undefined)?.node;
    const owners = controllers.map((_, shard) => nodeOf(`c/own/${shard}`));
    let tasks = 0;
    for (const m of machines.values()) for (const a of m.worker.attempts) if (a.state === 'running') tasks++;
    return {
      name,
      seconds,
      controllers: controllers.map((c, i) => ({
        node: c.node,
        leader: nodeOf('c/lead') === c.node,
        shards: owners.filter((owner) => owner === c.node).length,
        cores: coresBetween(before.controllerUses[i]!, after.controllerUses[i]!, seconds),
        residentMb: residentMb(after.controllerUses[i]!),
        sockets: after.controllerUses[i]?.sockets ?? 0,
      })),
      emulator: {
        cores: coresBetween(before.emulatorUse, after.emulatorUse, seconds),
        residentMb: residentMb(after.emulatorUse),
        lagP99Ms: lag.percentile(99) / 1e6,
      },
      traffic: ratesBetween(before.traffic, after.traffic, seconds),
      stored: Object.fromEntries(STORED_PREFIXES.map((prefix) => [prefix, state.stored(prefix)])),
      tasks,
    };
  }
}
