import { type IntervalHistogram, monitorEventLoopDelay } from 'node:perf_hooks';
import type { Clock } from '../clock/clock.js';
import type { LocalCluster } from '../emulator/local.js';
import { type Flow, ratesBetween } from '../emulator/traffic.js';
import { coresBetween, type ProcessUse, processUse, residentMb } from './processes.js';
import type { Scenario } from './scenario.js';

/** What one controller used while a phase lasted. */
export interface ControllerUse {
  node: string;
  leader: boolean;
  shards: number;
  /** Processor seconds a second. */
  cores: number;
  residentMb: number;
  sockets: number;
}

/** What was measured during one phase of a scenario. */
export interface PhaseReport {
  name: string;
  seconds: number;
  controllers: ControllerUse[];
  /** The process of the services, users and hollow workers: figures of a run in which it lags say little. */
  emulator: { cores: number; residentMb: number; lagP99Ms: number };
  /** Messages and bytes a second, by kind. */
  traffic: Record<string, Flow>;
  /** What the key-value store keeps, by kind of record. */
  stored: Record<string, { entries: number; bytes: number }>;
  tasks: number;
}

interface Mark {
  at: number;
  traffic: Map<string, Flow>;
  uses: (ProcessUse | null)[];
  own: ProcessUse | null;
}

const STORED_UNDER = ['c/m/', 'c/own/', 'c/stand/', 'c/node/', 'c/teams', 'c/mail/', 'act/', 'part/', 'job/'];
const LAG_RESOLUTION_MS = 10;

/** Measures the processes and links of a cluster during each phase of a scenario. */
export class Measurement {
  readonly phases: PhaseReport[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly cluster: LocalCluster,
    private readonly scenario: Scenario,
  ) {}

  /** Measures each phase when it comes; time counts from now. */
  start(): void {
    for (const phase of this.scenario.phases) {
      this.clock.after(phase.from_s * 1000, () => {
        const lag = monitorEventLoopDelay({ resolution: LAG_RESOLUTION_MS });
        lag.enable();
        const before = this.mark();
        this.clock.after((phase.until_s - phase.from_s) * 1000, () => {
          lag.disable();
          this.phases.push(this.report(phase.name, before, this.mark(), lag));
        });
      });
    }
  }

  private mark(): Mark {
    return {
      at: this.clock.now(),
      traffic: this.cluster.traffic.snapshot(),
      uses: this.cluster.controllers.map((c) => (c.process?.pid ? processUse(c.process.pid) : null)),
      own: processUse(process.pid),
    };
  }

  private report(name: string, before: Mark, after: Mark, lag: IntervalHistogram): PhaseReport {
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
        cores: coresBetween(before.uses[i]!, after.uses[i]!, seconds),
        residentMb: residentMb(after.uses[i]!),
        sockets: after.uses[i]?.sockets ?? 0,
      })),
      emulator: {
        cores: coresBetween(before.own, after.own, seconds),
        residentMb: residentMb(after.own),
        lagP99Ms: lag.percentile(99) / 1e6,
      },
      traffic: ratesBetween(before.traffic, after.traffic, seconds),
      stored: Object.fromEntries(STORED_UNDER.map((under) => [under, state.stored(under)])),
      tasks,
    };
  }
}
