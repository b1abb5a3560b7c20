/** An accepted configuration, published as a whole by the operators. */

/**
 * How often a request may run. `safe`: any number of times. `unsafe`: at most
 * once. `download`: like `safe`, with a large answer. `upload`: like `unsafe`,
 * with a large body.
 */
export type RequestKind = 'safe' | 'unsafe' | 'download' | 'upload';

/** One destination of a route's traffic split. */
export interface SplitPart {
  service: string;
  /** Weight relative to the sum over all parts; at least 0. */
  weight: number;
}

/** A route that matches by host and path prefix. */
export interface PrefixRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  /** Maximum time in ms that a request may wait for its answer. */
  timeoutMs: number;
  /** Time in ms within which an answer is worth most to the caller. */
  targetLatencyMs: number;
  /** Rank among the routes of a service; 0 is the most urgent. */
  rank: number;
  /** Maximum number of servers to which one request is sent. */
  maxAttempts: number;
  /** At least one part; the sum of the weights is positive. */
  split: readonly SplitPart[];
  /** True if requests need no key of a tenant. */
  isPublic?: boolean;
}

/** A customer whose requests carry one of its keys. */
export interface Tenant {
  name: string;
  /** SHA-256 digests of the keys, in base64; the keys themselves are not kept. */
  keyDigests: readonly string[];
  /** Goes before the rank of a route; 0 is the most urgent. */
  priority: number;
  /** Requests per second that all nodes together may run; 0: no cap. */
  requestsPerS: number;
  /** Requests that may exceed the rate at once. */
  burst: number;
}

/** A service that routes may refer to. */
export interface MeshService {
  name: string;
  healthCheckPath: string;
  maxConnections: number;
}

/** Limits on the size and timing of what a caller sends. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A complete configuration. Later versions have greater numbers. */
export interface MeshConfig {
  version: number;
  routes: readonly PrefixRoute[];
  services: readonly MeshService[];
  limits: CallerLimits;
  /** Undefined if requests need no key. */
  tenants?: readonly Tenant[];
  /** What is wrong with single tenants, one sentence each. */
  tenantFindings?: readonly string[];
}
