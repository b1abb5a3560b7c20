/**
 * Stand-ins for platform services and backend servers, launchers of nodes, and
 * tools that send calls, audit them and run scenarios.
 */
export {
  BackendServer,
  type BackendServerOptions,
} from './backend-server/backend-server.js';
export {
  RunLedger,
  type RunEnd,
  type RunRecord,
} from './backend-server/run-ledger.js';
export {
  GOOD_BEHAVIOUR,
  type HealthReport,
  type ServerBehaviour,
} from './backend-server/server-behaviour.js';
export {
  auditCalls,
  type AuditCounts,
  type CallRecord,
  type CallVerdict,
} from './caller/caller-audit.js';
export {Caller, type CallOrder} from './caller/caller.js';
export {Load} from './caller/load.js';
export {
  LAUNCH_TOKEN,
  NodeProcess,
  type LaunchSettings,
} from './launch/node-process.js';
export {NO_FAULTS, type LogFaults} from './log-service/log-faults.js';
export {
  LogServer,
  type LogCounts,
  type LogServerOptions,
} from './log-service/log-server.js';
export {MemoryLog} from './log-service/memory-log.js';
export {BackendProcess} from './launch/backend-process.js';
export {cpuTimeMs, residentBytes} from './launch/cpu-time.js';
export {Mesh, type CliRun} from './mesh/mesh.js';
export {parseScenario} from './scenario/parse-scenario.js';
export {ScenarioRunner} from './scenario/scenario-runner.js';
export type {ScenarioStep} from './scenario/scenario-step.js';
export {
  startInProcessNode,
  whenAll,
  type InProcessNode,
  type InProcessSettings,
} from './launch/in-process-node.js';
export {MetricsService} from './metrics-service/metrics-service.js';
