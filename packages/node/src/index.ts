/** The node: sockets, tasks, settings, wiring. */
export * from './admin/index.js';
export * from './settings/index.js';
export {Bus, type LocalServer, type Peer, type Topics} from './bus.js';
export {Node, type NodePorts} from './node.js';
export {MembershipTask} from './tasks/membership-task.js';
export {TransportTask} from './transport/transport-task.js';
