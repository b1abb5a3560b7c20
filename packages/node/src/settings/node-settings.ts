/** What one node is told at its start. */

/** What a deployment weighs more: convergence time or control bytes. */
export type Preference = 'convergence' | 'bytes';

/** Levels of the node's log. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'fatal';

/** An IP number and a port; port 0 lets the platform choose one. */
export interface ListenAddress {
  address: string;
  port: number;
}

/** Where the administration API listens, and the token that it asks for. */
export interface AdminSettings extends ListenAddress {
  token: string;
}

/** How the log service is reached. */
export interface LogSettings {
  /** Base URLs by IP number; all serve the same streams. */
  urls: string[];
  /** Sent as bearer token. */
  token?: string;
}

/** Where metrics are sent, as statsd datagrams. */
export interface MetricsSettings extends ListenAddress {
  prefix: string;
}

/** Bounds of what a node takes on. */
export interface NodeLimits {
  /** Callers' connections held at once. */
  maxCallerConnections: number;
  /** Calls of callers in flight at once. */
  maxCalls: number;
  /** Size of a request's header block in bytes. */
  maxHeaderBytes: number;
  /** Connections from other nodes held at once. */
  maxNodeConnections: number;
  /** Connections from other nodes accepted in one second. */
  maxAcceptsPerSecond: number;
  /** Time in ms that a shutdown waits for calls in flight. */
  shutdownGraceMs: number;
  /**
   * Time in ms for which a node that shuts down still answers others, so that
   * they learn of it before its connections close.
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
  /** Mesh addresses as `ip:port` through which a node finds the others. */
  seeds: string[];
  preference: Preference;
  metrics?: MetricsSettings;
  logLevel: LogLevel;
  limits: NodeLimits;
  /** When given, the settings are refused in any other data centre. */
  expectedDataCentres?: string[];
}
