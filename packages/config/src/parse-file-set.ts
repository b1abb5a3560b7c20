/** Validation of a team's whole file set. */

import {compareFindings, Err, Ok, suggestName} from '@turmericmill/utils';
import type {Finding, Result} from '@turmericmill/utils';

import {describeReferences} from './references.js';
import type {Reference} from './references.js';
import {compareRoutes, matchBucket, shadows} from './route-match.js';
import {readSourceFile} from './source-file.js';
import type {DeclaredResource, SourceFile} from './source-file.js';
import type {
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceOf,
} from './resource.js';

type Route = ResourceOf<'route'>;

/**
 * Reads the whole desired state of `team`. References may lead to resources of
 * other teams in `others`; what `others` holds of `team` itself is ignored,
 * because the files replace it. All findings are reported together, in the
 * order of their places.
 */
export function parseFileSet(
  team: string,
  files: readonly SourceFile[],
  others: ResourceMap = new Map(),
): Result<Resource[], Finding[]> {
  const findings: Finding[] = [];
  const declared: DeclaredResource[] = [];
  for (const file of files) {
    const read = readSourceFile(team, file);
    if (read.isErr()) findings.push(...read.error);
    else declared.push(...read.value);
  }
  const readable = findings.length === 0;
  findings.push(...findDuplicates(declared));
  findings.push(...findMatchErrors(declared));
  if (readable) {
    const set = wholeSet(team, declared, others);
    findings.push(...findEmpty(files, declared));
    findings.push(...findDangling(team, declared, set));
    findings.push(...findShadowed(declared, set));
  }
  if (findings.length > 0) return Err(findings.sort(compareFindings));
  return Ok(declared.map(item => item.resource));
}

function wholeSet(
  team: string,
  declared: readonly DeclaredResource[],
  others: ResourceMap,
): Map<ResourceKey, Resource> {
  const set = new Map<ResourceKey, Resource>();
  for (const [key, resource] of others) {
    if (resource.team !== team) set.set(key, resource);
  }
  for (const {resource} of declared) set.set(resource.key, resource);
  return set;
}

function findEmpty(
  files: readonly SourceFile[],
  declared: readonly DeclaredResource[],
): Finding[] {
  if (declared.length > 0) return [];
  const file = files[0]?.file ?? '.';
  const message = 'The file set declares no resource.';
  return [{code: 'empty-set', message, place: {file, line: 1, column: 1}}];
}

function findDuplicates(declared: readonly DeclaredResource[]): Finding[] {
  const first = new Map<ResourceKey, DeclaredResource>();
  const findings: Finding[] = [];
  for (const item of declared) {
    const {key, kind, name} = item.resource;
    const earlier = first.get(key);
    if (!earlier) {
      first.set(key, item);
      continue;
    }
    const {file, line} = earlier.place;
    findings.push({
      code: 'duplicate-name',
      message: `The ${kind} "${name}" is declared at ${file}:${line} already.`,
      place: item.placeOf(['name']),
    });
  }
  return findings;
}

function findMatchErrors(declared: readonly DeclaredResource[]): Finding[] {
  return declared.flatMap(item => {
    const {resource} = item;
    if (resource.kind !== 'route') return [];
    const {path, pathPrefix} = resource.spec.match;
    if (path === undefined || pathPrefix === undefined) return [];
    return [
      {
        code: 'path-and-prefix',
        message: 'A match has either "path" or "pathPrefix", not both.',
        place: item.placeOf(['match', 'pathPrefix']),
      },
    ];
  });
}

function findDangling(
  team: string,
  declared: readonly DeclaredResource[],
  set: ResourceMap,
): Finding[] {
  return declared.flatMap(item =>
    describeReferences(item.resource)
      .filter(reference => !set.has(reference.key))
      .map(reference => danglingFinding(team, item, reference, set)),
  );
}

function danglingFinding(
  team: string,
  item: DeclaredResource,
  reference: Reference,
  set: ResourceMap,
): Finding {
  const {field, kind, text} = reference;
  const finding: Finding = {
    code: 'dangling-reference',
    message: `There is no ${kind} "${text}".`,
    place: item.placeOf([field]),
  };
  const known = [...set.values()]
    .filter(resource => resource.kind === kind)
    .map(({team: owner, name}) => (owner === team ? name : `${owner}/${name}`));
  const suggestion = suggestName(text, known);
  if (suggestion !== undefined) finding.suggestion = suggestion;
  return finding;
}

function findShadowed(
  declared: readonly DeclaredResource[],
  set: ResourceMap,
): Finding[] {
  const buckets = routesByBucket(set);
  return declared.flatMap(item => {
    const {resource} = item;
    if (resource.kind !== 'route') return [];
    const rivals = buckets.get(matchBucket(resource.spec.match)) ?? [];
    const winner = rivals.find(rival => shadows(rival, resource));
    if (!winner) return [];
    return [
      {
        code: 'shadowed-route',
        message: `The route "${winner.key}" takes every call of this route.`,
        place: item.placeOf(['match']),
      },
    ];
  });
}

function routesByBucket(set: ResourceMap): Map<string, Route[]> {
  const buckets = new Map<string, Route[]>();
  for (const resource of set.values()) {
    if (resource.kind !== 'route') continue;
    const bucket = matchBucket(resource.spec.match);
    const routes = buckets.get(bucket);
    if (routes) routes.push(resource);
    else buckets.set(bucket, [resource]);
  }
  for (const routes of buckets.values()) routes.sort(compareRoutes);
  return buckets;
}
