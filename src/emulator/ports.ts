/** Ports at the start of an emulated cluster's port range that are reserved for services; workers' ports follow. */
export const SERVICE_PORT_COUNT = 200;
/**
 * Ports of each controller: one for its API, one for its peer connections, one each to reach the key-value store and
 * the cloud, and one for the relay through which the other controllers reach it.
 */
export const PORTS_PER_CONTROLLER = 5;
/** Maximum number of controllers that the reserved ports suffice for. */
export const MAX_CONTROLLERS = Math.floor((SERVICE_PORT_COUNT - 2) / PORTS_PER_CONTROLLER);
/** Number of worker ports; addresses are reused after this many machines, removed ones included. */
export const WORKER_PORT_COUNT = 4000;
