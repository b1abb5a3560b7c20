/** Stand-ins for the platform and the back ends, and a launcher of nodes. */
export {
  BackendServer,
  type BackendServerOptions,
  type RunRecord,
} from './backend-server/backend-server.js';
export {
  LAUNCH_TOKEN,
  NodeProcess,
  type LaunchSettings,
} from './launch/node-process.js';
export {LogServer, type LogCounts} from './log-service/log-server.js';
export {MemoryLog} from './log-service/memory-log.js';
export {BackendProcess} from './launch/backend-process.js';
export {cpuTimeMs, residentBytes} from './launch/cpu-time.js';
export {
  startInProcessNode,
  whenAll,
  type InProcessNode,
  type InProcessSettings,
} from './launch/in-process-node.js';
