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

/** Results of one run at a given size. The figures are of emulated machines on one computer. */
export interface ScaleReport {
  scenario: string;
  sizes: Sizes;
  phases: PhaseReport[];
  load: LoadReport;
  propagation: PropagationReport;
  worker: WorkerCost[];
}

/** Options of a scale run. */
export interface ScaleRunOptions {
  speed: number;
  changeEvery: number;
  /** Seconds per phase of the single-worker run; 0 to skip it. */
  loneS: number;
  port: number;
}

/** Offset of the ports of the single-worker run, after those of the cluster. */
const SINGLE_WORKER_PORT_OFFSET = 4500;
/** Time for which a killed controller is excluded from the propagation probes. */
const RESTART_GRACE_MS = 15_000;
/** Tasks that a worker runs at once at the target size, which is 13,000 tasks on 1,800 workers. */
const TASKS_PER_WORKER = 8;
/** Settling time after the single worker starts or receives its load; shortened to the length of its phases. */
const SINGLE_WORKER_SETTLE_MS = 5000;

/** Run at a given size: plays load and faults, and measures the resources that all roles use. */
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

  /** Plays the scenario to its end and returns the results. */
  async run(name: string, options: ScaleRunOptions): Promise<ScaleReport> {
    const { clock } = this.cluster;
    const http = new HttpClient(clock, { maxSockets: 200, maxBodyBytes: 64 * 1024 });
    const propagation = new Propagation(clock, http, this.cluster, () => this.excluded());
    this.measurement.start();
    const firstPhaseS = Math.min(...this.scenario.phases.map((p) => p.from_s), this.scenario.duration_s);
    clock.after(firstPhaseS * 1000, () => void propagation.run(options.changeEvery));
    const load = await this.load.run(name, options.speed, () => undefined);
    const propagationReport = await propagation.stop();
    http.close();
    const worker = options.loneS > 0 ? await measureSingleWorker(this.singleWorkerOptions(options)) : [];
    const { phases } = this.measurement;
    return { scenario: name, sizes: this.sizes, phases, load, propagation: propagationReport, worker };
  }

  /** Returns the controllers that were killed within the last `RESTART_GRACE_MS`. */
  private excluded(): Set<string> {
    const now = this.cluster.clock.now();
    const nodes = new Set<string>();
    for (const [controller, at] of this.load.killedAt)
      if (now - at < RESTART_GRACE_MS) nodes.add(this.cluster.controllers[controller]!.node);
    return nodes;
  }

  private singleWorkerOptions(options: ScaleRunOptions): SingleWorkerOptions {
    return {
      reportS: this.workers.report_s,
      leaseS: this.workers.lease_s,
      tasks: TASKS_PER_WORKER,
      startsPerSecond: this.sizes.startsPerSecond / this.sizes.workers,
      secondsPerPhase: options.loneS,
      settleMs: Math.min(SINGLE_WORKER_SETTLE_MS, options.loneS * 1000),
      port: options.port + SINGLE_WORKER_PORT_OFFSET,
    };
  }
}
