/** One accepted configuration as the platform's operators publish it whole. */

/**
 * What may be repeated of a request. `safe`: any number of runs. `unsafe`: at
 * most one. `download`: as `safe`, with a large answer.
 */
export type RequestKind = 'safe' | 'unsafe' | 'download';

/** A share of a route's requests. */
export interface SplitPart {
  service: string;
  /** Relative to the sum of the weights of all parts; at least 0. */
  weight: number;
}

/** A route by host and path prefix. */
export interface PrefixRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Longest time in ms that a request is kept waiting. */
  timeoutMs: number;
  /** Time in ms within which an answer is worth most to its caller. */
  targetLatencyMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  rank: number;
  /** Servers to which one request may be sent in all. */
  maxAttempts: number;
  /** At least one part; weights are positive in sum. */
  split: readonly SplitPart[];
}

/** A service that routes may name. */
export interface MeshService {
  name: string;
  healthCheckPath: string;
  maxConnections: number;
}

/** What a caller may send, and how long it may take or stay idle. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A whole configuration; later versions have greater numbers. */
export interface MeshConfig {
  version: number;
  routes: readonly PrefixRoute[];
  services: readonly MeshService[];
  limits: CallerLimits;
}
