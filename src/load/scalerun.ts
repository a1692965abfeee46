import type { LocalCluster } from '../emulator/local.js';
import type { Platform } from '../emulator/platform.js';
import { HttpClient } from '../http/client.js';
import type { LoadReport } from './loadreport.js';
import { LoadRun } from './loadrun.js';
import { Measurement, type PhaseReport } from './measure.js';
import { Propagation, type PropagationReport } from './propagation.js';
import type { Sizes } from './scale.js';
import type { Scenario } from './scenario.js';
import { measureSingleWorker, type SingleWorkerOptions, type WorkerCost } from './singleworker.js';

/** All that one run at a size has measured. Figures are of emulated machines on one computer. */
export interface ScaleReport {
  scenario: string;
  sizes: Sizes;
  phases: PhaseReport[];
  load: LoadReport;
  propagation: PropagationReport;
  worker: WorkerCost[];
}

/** How a scale run is played. */
export interface ScaleRunOptions {
  speed: number;
  changeEvery: number;
  /** Seconds a phase of the worker alone; 0 for none. */
  loneS: number;
  port: number;
}

/** Ports of the worker alone, behind those of the cluster. */
const LONE_PORTS_AFTER = 4500;
/** A controller that was killed is not asked for changes for so long. */
const BACK_AFTER_MS = 15_000;
/** Tasks that a worker of the target size runs at once: 13,000 on 1,800. */
const TASKS_PER_WORKER = 8;
/** After the worker alone has begun or got its load, as far as its phases are not shorter. */
const LONE_SETTLE_MS = 5000;

/** One run at a size: load, faults, and what all roles use meanwhile. */
export class ScaleRun {
  private readonly load: LoadRun;
  private readonly measurement: Measurement;
  private readonly workers: Platform['workers'];

  constructor(
    private readonly cluster: LocalCluster,
    platform: Platform,
    private readonly scenario: Scenario,
    private readonly sizes: Sizes,
  ) {
    this.load = new LoadRun(cluster, platform, scenario);
    this.measurement = new Measurement(cluster.clock, cluster, scenario);
    this.workers = platform.workers;
  }

  /** Plays the scenario; ends by itself when it is over. */
  async run(name: string, options: ScaleRunOptions): Promise<ScaleReport> {
    const { clock } = this.cluster;
    const http = new HttpClient(clock, { maxSockets: 200, bodyBytes: 64 * 1024 });
    const propagation = new Propagation(clock, http, this.cluster, () => this.excluded());
    this.measurement.start();
    const first = Math.min(...this.scenario.phases.map((p) => p.from_s), this.scenario.duration_s);
    clock.after(first * 1000, () => void propagation.run(options.changeEvery));
    const load = await this.load.run(name, options.speed, () => undefined);
    const spread = await propagation.stop();
    http.close();
    const worker = options.loneS > 0 ? await measureSingleWorker(this.loneOptions(options)) : [];
    const { phases } = this.measurement;
    return { scenario: name, sizes: this.sizes, phases, load, propagation: spread, worker };
  }

  /** Controllers that were killed and are not back yet. */
  private excluded(): Set<string> {
    const now = this.cluster.clock.now();
    const nodes = new Set<string>();
    for (const [controller, at] of this.load.killed)
      if (now - at < BACK_AFTER_MS) nodes.add(this.cluster.controllers[controller]!.node);
    return nodes;
  }

  private loneOptions(options: ScaleRunOptions): SingleWorkerOptions {
    return {
      reportS: this.workers.report_s,
      leaseS: this.workers.lease_s,
      tasks: TASKS_PER_WORKER,
      startsPerSecond: this.sizes.startsPerSecond / this.sizes.workers,
      secondsPerPhase: options.loneS,
      settleMs: Math.min(LONE_SETTLE_MS, options.loneS * 1000),
      port: options.port + LONE_PORTS_AFTER,
    };
  }
}
