/** The routes of one configuration version, indexed for matching. */

import type {
  ResourceKey,
  ResourceMap,
  ResourceOf,
  RouteMatch,
} from '@turmericmill/config';

import {resolveRoute} from './matched-route.js';
import type {MatchedRoute} from './matched-route.js';
import {PathTree, pathSegments} from './path-tree.js';

/** Header values by lower-case name, as in Node's `http`. */
export type MatchHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** The attributes of a request by which routes match. */
export interface MatchRequest {
  /** Host header; a port is ignored. */
  host: string;
  method: string;
  /** Path; query and fragment are ignored. */
  path: string;
  headers: MatchHeaders;
}

interface Entry {
  matched: MatchedRoute;
  headers: [string, string][];
  methods: ReadonlySet<string> | undefined;
}

/** Key of the routes that name no host. */
const ANY_HOST = '';

function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '');
}

function createEntry(match: RouteMatch, matched: MatchedRoute): Entry {
  const headers = Object.entries(match.headers ?? {});
  const methods = match.methods?.map(method => method.toUpperCase());
  return {
    matched,
    headers: headers.map(([name, value]) => [name.toLowerCase(), value]),
    methods: methods && new Set(methods),
  };
}

/** Sorts by most headers, then by fewest methods, then by key. */
function compareEntries(a: Entry, b: Entry): number {
  const byHeaders = b.headers.length - a.headers.length;
  if (byHeaders !== 0) return byHeaders;
  const methodsOf = (entry: Entry) => entry.methods?.size ?? Infinity;
  if (methodsOf(a) !== methodsOf(b)) return methodsOf(a) - methodsOf(b);
  return a.matched.route < b.matched.route ? -1 : 1;
}

function hasHeader(headers: MatchHeaders, name: string, value: string) {
  const actual = headers[name];
  if (typeof actual === 'string') return actual === value;
  return actual?.includes(value) ?? false;
}

function matches(entry: Entry, req: MatchRequest): boolean {
  if (entry.methods && !entry.methods.has(req.method)) return false;
  return entry.headers.every(([name, value]) =>
    hasHeader(req.headers, name, value),
  );
}

/**
 * An immutable index of routes. The most specific route wins. The criteria are,
 * in this order: a named host, an exact path, the longest prefix, the most
 * headers, the fewest methods, and the lowest key. The last criterion makes all
 * nodes select the same route.
 */
export class RoutingTable {
  private constructor(
    private readonly hosts: ReadonlyMap<string, PathTree<Entry>>,
    /** Keys of routes left out because the target of a reference is missing. */
    readonly unresolved: readonly ResourceKey[],
  ) {}

  /** Builds the index of all routes in `resources`. */
  static build(resources: ResourceMap): RoutingTable {
    const hosts = new Map<string, PathTree<Entry>>();
    const unresolved: ResourceKey[] = [];
    for (const resource of resources.values()) {
      if (resource.kind !== 'route') continue;
      const matched = resolveRoute(resources, resource);
      if (matched) addRoute(hosts, resource, matched);
      else unresolved.push(resource.key);
    }
    for (const tree of hosts.values()) tree.sort(compareEntries);
    return new RoutingTable(hosts, unresolved);
  }

  /** Returns the most specific route that matches the request. */
  match(req: MatchRequest): MatchedRoute | undefined {
    const segments = pathSegments(req.path);
    const host = normalizeHost(req.host);
    return (
      this.matchHost(host, segments, req) ??
      this.matchHost(ANY_HOST, segments, req)
    );
  }

  private matchHost(
    host: string,
    segments: readonly string[],
    req: MatchRequest,
  ): MatchedRoute | undefined {
    const lists = this.hosts.get(host)?.findMatches(segments) ?? [];
    for (const list of lists) {
      const entry = list.find(candidate => matches(candidate, req));
      if (entry) return entry.matched;
    }
    return undefined;
  }
}

function addRoute(
  hosts: Map<string, PathTree<Entry>>,
  route: ResourceOf<'route'>,
  matched: MatchedRoute,
): void {
  const {match} = route.spec;
  const host = match.host === undefined ? ANY_HOST : normalizeHost(match.host);
  let tree = hosts.get(host);
  if (!tree) {
    tree = new PathTree();
    hosts.set(host, tree);
  }
  const entry = createEntry(match, matched);
  if (match.path === undefined) tree.addPrefix(match.pathPrefix ?? '/', entry);
  else tree.addExact(match.path, entry);
}
