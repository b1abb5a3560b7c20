/** Precedence and overlap of route matches. */

import type {ResourceOf, RouteMatch} from './resource.js';

type Route = ResourceOf<'route'>;

/**
 * Returns a key that is equal for all matches that can shadow each other: those
 * with the same host and the same path or prefix. Matches that differ in either
 * are ordered by it, so that the more specific one is evaluated first.
 */
export function matchBucket(match: RouteMatch): string {
  const path =
    match.path === undefined
      ? `prefix ${normalizePrefix(match.pathPrefix)}`
      : `path ${match.path}`;
  return `${match.host?.toLowerCase() ?? '*'} ${path}`;
}

/**
 * Orders routes by precedence, highest first: a host before no host, an exact
 * path before a prefix, a long prefix before a short one, many headers before
 * few, few methods before many or all, then by key. The routing table uses the
 * same order.
 */
export function compareRoutes(a: Route, b: Route): number {
  const first = a.spec.match;
  const second = b.spec.match;
  return (
    Number(second.host !== undefined) - Number(first.host !== undefined) ||
    Number(second.path !== undefined) - Number(first.path !== undefined) ||
    normalizePrefix(second.pathPrefix).length -
      normalizePrefix(first.pathPrefix).length ||
    headerCount(second) - headerCount(first) ||
    compareCounts(methodCount(first), methodCount(second)) ||
    (a.key < b.key ? -1 : Number(a.key > b.key))
  );
}

/**
 * Whether `winner` has precedence and matches every call that `loser` matches,
 * so that `loser` never routes a call.
 */
export function shadows(winner: Route, loser: Route): boolean {
  if (winner.key === loser.key) return false;
  const first = winner.spec.match;
  const second = loser.spec.match;
  return (
    matchBucket(first) === matchBucket(second) &&
    compareRoutes(winner, loser) < 0 &&
    methodsCover(first, second) &&
    headersCover(first, second)
  );
}

function methodsCover(wide: RouteMatch, narrow: RouteMatch): boolean {
  if (!wide.methods) return true;
  if (!narrow.methods) return false;
  const allowed = new Set(wide.methods);
  return narrow.methods.every(method => allowed.has(method));
}

function headersCover(wide: RouteMatch, narrow: RouteMatch): boolean {
  return Object.entries(wide.headers ?? {}).every(
    ([name, value]) => narrow.headers?.[name] === value,
  );
}

function headerCount(match: RouteMatch): number {
  return Object.keys(match.headers ?? {}).length;
}

function methodCount(match: RouteMatch): number {
  return match.methods?.length ?? Infinity;
}

/** Compares counts. They may be infinite, so their difference may be NaN. */
function compareCounts(a: number, b: number): number {
  return Number(a > b) - Number(a < b);
}

function normalizePrefix(prefix: string | undefined): string {
  return (prefix ?? '/').replace(/\/+$/, '');
}
