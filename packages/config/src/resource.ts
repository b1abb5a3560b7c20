/** The resources that a file set declares. */

/** Kinds of resource. A kind refers only to kinds that are listed before it. */
export type ResourceKind =
  'class' | 'customer' | 'backendServerGroup' | 'service' | 'route';

/** Identifies a resource mesh-wide: `team/kind/name`. */
export type ResourceKey = `${string}/${ResourceKind}/${string}`;

/** Priority of calls that compete for the slots of a backend server. */
export type ClassPriority = 'interactive' | 'bulk';

/** A class of calls, such as `interactive` or `bulk`. */
export interface ClassSpec {
  priority: ClassPriority;
  /** Relative share of slots among classes of one priority; at least 1. */
  weight: number;
}

/** A customer, identified on calls by the `x-customer` header. */
export interface CustomerSpec {
  /** Number of prepaid calls over all time; calls are not metered if absent. */
  prepaidCalls?: number;
}

/** Settings for backend servers that announce themselves under one name. */
export interface BackendServerGroupSpec {
  /** Maximum number of concurrent calls at one server. */
  maxSlots: number;
  /** Maximum number of connections to one server. */
  maxConnections: number;
  /** Time in ms over which a started server ramps up to all of its slots. */
  slowStartMs: number;
}

/** A named destination of routes. */
export interface ServiceSpec {
  /** Group that serves the calls: `name` or `team/name`. */
  backendServerGroup: string;
  /** Time in ms within which a call must be answered. */
  timeoutMs: number;
  /** Retries allowed per hundred first attempts. */
  retryBudgetPercent: number;
}

/**
 * Whether a call may run more than once. `repeatable` calls may be retried
 * after any failure, `at-most-once` calls only if they provably did not run.
 */
export type Repetition = 'repeatable' | 'at-most-once';

/** Conditions for the calls of a route. Each condition present must match. */
export interface RouteMatch {
  host?: string;
  /** Exact path; not allowed together with `pathPrefix`. */
  path?: string;
  /** Prefix of whole path segments: `/a` matches `/a/b`, but not `/ab`. */
  pathPrefix?: string;
  methods?: string[];
  /** Header values by lower-case name. */
  headers?: Record<string, string>;
}

/** A rule that sends matching calls to a service. */
export interface RouteSpec {
  match: RouteMatch;
  /** Service: `name` or `team/name`. */
  service: string;
  /** Class: `name` or `team/name`. */
  class: string;
  repetition: Repetition;
  /** Overrides the service's timeout. */
  timeoutMs?: number;
}

/** The spec type of each kind. */
export interface SpecByKind {
  class: ClassSpec;
  customer: CustomerSpec;
  backendServerGroup: BackendServerGroupSpec;
  service: ServiceSpec;
  route: RouteSpec;
}

/** A resource of kind `K`. */
export interface ResourceOf<K extends ResourceKind> {
  key: ResourceKey;
  team: string;
  kind: K;
  name: string;
  spec: SpecByKind[K];
}

/** Any resource, discriminated by `kind`. */
export type Resource = {[K in ResourceKind]: ResourceOf<K>}[ResourceKind];

/** Resources by key. */
export type ResourceMap = ReadonlyMap<ResourceKey, Resource>;

/** A new value for a resource; `null` removes the resource. */
export interface ResourceWrite {
  key: ResourceKey;
  resource: Resource | null;
}

/** Builds the key of a resource. */
export function resourceKey(
  team: string,
  kind: ResourceKind,
  name: string,
): ResourceKey {
  return `${team}/${kind}/${name}`;
}

/** Resolves a reference `name` or `team/name` in a resource of `team`. */
export function resolveReference(
  team: string,
  kind: ResourceKind,
  reference: string,
): ResourceKey {
  const slash = reference.indexOf('/');
  if (slash < 0) return resourceKey(team, kind, reference);
  return resourceKey(
    reference.slice(0, slash),
    kind,
    reference.slice(slash + 1),
  );
}
