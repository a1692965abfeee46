import type { PlanJob, PlanMachine } from '../../src/plan/model.js';

export const size = { cpus: 8, gpus: 0, memoryGb: 32 };

export function machine(change: Partial<PlanMachine> = {}): PlanMachine {
  return {
    id: null,
    type: 0,
    zone: 0,
    spot: false,
    size,
    readyAt: 0,
    until: Number.POSITIVE_INFINITY,
    quarantined: false,
    fetchGbPerS: 1,
    images: new Set([0]),
    running: [],
    ...change,
  };
}

export function planJob(change: Partial<PlanJob> = {}): PlanJob {
  return {
    id: 1,
    team: 0,
    kind: 'array',
    need: { cpus: 4, gpus: 0, memoryGb: 8 },
    types: null,
    zone: null,
    match: null,
    oneZone: false,
    spread: false,
    spot: true,
    image: 0,
    imageGb: 2,
    runS: 60,
    deadline: 1000,
    total: 1,
    tasks: [0],
    placedByZone: new Map(),
    ...change,
  };
}
