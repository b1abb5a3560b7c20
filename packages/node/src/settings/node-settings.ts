/** Types of the settings of a node. */

/** What a deployment optimizes: convergence time or control traffic. */
export type Preference = 'convergence' | 'bytes';

/** Levels of the node's log. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** An IP address and a port. Port 0 lets the operating system choose a port. */
export interface ListenAddress {
  address: string;
  port: number;
}

/** Where the administration API listens, and the token that it requires. */
export interface AdminSettings extends ListenAddress {
  token: string;
}

/** Access to the log service. */
export interface LogSettings {
  /** Base URLs with IP addresses; all serve the same streams. */
  urls: string[];
  /** Sent as bearer token. */
  token?: string;
}

/** Destination of the metrics, which are sent as StatsD datagrams. */
export interface MetricsSettings extends ListenAddress {
  prefix: string;
}

/** Limits for connections, calls and the shutdown of a node. */
export interface NodeLimits {
  /** Maximum number of open connections of callers. */
  maxCallerConnections: number;
  /** Maximum number of callers' calls in flight. */
  maxCalls: number;
  /** Maximum size of a request's header block in bytes. */
  maxHeaderBytes: number;
  /** Maximum number of open connections from other nodes. */
  maxNodeConnections: number;
  /** Maximum number of connections accepted from other nodes per second. */
  maxAcceptsPerSecond: number;
  /** Maximum time in ms that a shutdown waits for calls in flight. */
  shutdownGraceMs: number;
  /**
   * Time in ms for which a node that is shutting down still answers other
   * nodes, so that they are informed of its shutdown before its connections
   * close.
   */
  drainSpreadMs: number;
}

/** The settings of one node, with all defaults filled in. */
export interface NodeSettings {
  nodeId: string;
  dataCentre: string;
  region: string;
  /** TCP and UDP, for other nodes. */
  mesh: ListenAddress;
  /** HTTP, for callers. */
  calls: ListenAddress;
  /** HTTP, for the backend server on the same host. */
  announce: ListenAddress;
  admin: AdminSettings;
  log: LogSettings;
  /** Mesh addresses, as `ip:port`, at which a node discovers the others. */
  seeds: string[];
  preference: Preference;
  metrics?: MetricsSettings;
  logLevel: LogLevel;
  limits: NodeLimits;
  /** If set, the settings are refused in any other data centre. */
  expectedDataCentres?: string[];
}
