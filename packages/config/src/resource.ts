/** The resources that a file set declares. */

/** Kinds of resource, in the order in which they may refer to each other. */
export type ResourceKind =
  'class' | 'customer' | 'backendServerGroup' | 'service' | 'route';

/** Identifies a resource mesh-wide: `team/kind/name`. */
export type ResourceKey = `${string}/${ResourceKind}/${string}`;

/** How calls of a class rank when a backend server is short of slots. */
export type ClassPriority = 'interactive' | 'bulk';

/** A class of calls, such as `interactive` or `bulk`. */
export interface ClassSpec {
  priority: ClassPriority;
  /** Share of slots among classes of the same priority; at least 1. */
  weight: number;
}

/** A customer, identified on calls by the `x-customer` header. */
export interface CustomerSpec {
  /** Calls paid for in total, over all time. Absent: not metered. */
  prepaidCalls?: number;
}

/** Backend servers that announce themselves under this group's name. */
export interface BackendServerGroupSpec {
  /** Largest number of calls run at once by one server. */
  maxSlots: number;
  /** Largest number of connections opened to one server. */
  maxConnections: number;
  /** Time in ms over which a started server is brought to its full share. */
  slowStartMs: number;
}

/** A named destination of routes. */
export interface ServiceSpec {
  /** Group that runs the service: `name` or `team/name`. */
  backendServerGroup: string;
  /** Time in ms within which a call has to be answered. */
  timeoutMs: number;
  /** Retries allowed for each hundred first tries. */
  retryBudgetPercent: number;
}

/**
 * Whether a call may run again: `repeatable` calls may be retried after any
 * failure; `at-most-once` calls are retried only when provably not run.
 */
export type Repetition = 'repeatable' | 'at-most-once';

/** Which calls a route takes. All parts given must match. */
export interface RouteMatch {
  host?: string;
  /** Exact path. Excludes `pathPrefix`. */
  path?: string;
  /** Prefix that ends at a path segment. */
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

/** Any resource, told apart by `kind`. */
export type Resource = {[K in ResourceKind]: ResourceOf<K>}[ResourceKind];

/** Resources by key. */
export type ResourceMap = ReadonlyMap<ResourceKey, Resource>;

/** A new value of a resource; `null` removes it. */
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

/** Resolves `name` or `team/name`, as written by `team`, to a key. */
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
