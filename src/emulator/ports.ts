/** How the ports of an emulated cluster are laid out, from the first one on: services, then workers. */
export const PORTS_FOR_SERVICES = 200;
/** For users and for controllers, key-value store, cloud, and links to and from the other controllers. */
export const PORTS_PER_CONTROLLER = 5;
/** Controllers that there are ports for. */
export const MOST_CONTROLLERS = Math.floor((PORTS_FOR_SERVICES - 2) / PORTS_PER_CONTROLLER);
/** Machines, those that are gone included, whose addresses do not come twice. */
export const WORKER_PORTS = 4000;
