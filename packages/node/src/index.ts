/** Public API of the node: sockets, tasks, settings, and their assembly. */
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
export {CLAIM_WRITER_OPTIONS} from './tasks/claim-writers.js';
export * from './calls/call-leg.js';
export {CallerServer} from './calls/caller-server.js';
export {CandidateIndex} from './calls/candidate-index.js';
export {
  endToEndHeaders,
  toFlatHeaders,
  headerOf,
  replaceHeaders,
} from './calls/headers.js';
export {isHttpStatus} from './calls/http-status.js';
export {IncomingCalls, type IncomingLimits} from './calls/incoming-calls.js';
export {
  PeerOutbox,
  SHORT_FRAME_BYTES,
  type LinkRoom,
  type BytesHolder,
  type HolderBudget,
} from './calls/peer-outbox.js';
export {RemoteRunner} from './calls/remote-runner.js';
export * from './calls/attempt-end.js';
export {readText} from './read-text.js';
export {Task} from './task.js';
export {MembershipTask} from './tasks/membership-task.js';
export {QuarantineTask} from './tasks/quarantine-task.js';
export {SeedDirectory} from './tasks/seed-directory.js';
export {SeedStream} from './tasks/seed-stream.js';
export {
  TransportTask,
  type TransportOptions,
} from './transport/transport-task.js';
export {HEARTBEAT_TIMES} from './transport/peer-connection.js';
