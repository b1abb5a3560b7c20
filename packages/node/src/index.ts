/** The node: sockets, tasks, settings, wiring. */
export * from './admin/index.js';
export * from './settings/index.js';
export {Bus, type LocalServer, type Peer, type Topics} from './bus.js';
export {FleetVersions} from './fleet-versions.js';
export {Node, type NodePorts} from './node.js';
export {
  ConfigTask,
  type ConfigTaskIdentity,
  type ConfigTaskParts,
} from './tasks/config-task.js';
export {WRITER_OPTIONS} from './tasks/claim-writers.js';
export {MembershipTask} from './tasks/membership-task.js';
export {
  TransportTask,
  type TransportOptions,
} from './transport/transport-task.js';
export {HEARTBEAT_TIMES} from './transport/peer-connection.js';
