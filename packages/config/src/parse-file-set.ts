/** Parses and validates the whole file set of a team. */

import {compareFindings, Err, Ok, suggestName} from '@turmericmill/utils';
import type {Finding, Result} from '@turmericmill/utils';

import {describeReferences} from './references.js';
import type {Reference} from './references.js';
import {compareRoutes, matchBucket, shadows} from './route-match.js';
import {parseSourceFile} from './source-file.js';
import type {DeclaredResource, SourceFile} from './source-file.js';
import type {
  Resource,
  ResourceKey,
  ResourceMap,
  ResourceOf,
} from './resource.js';

type Route = ResourceOf<'route'>;

/**
 * Parses the whole desired state of `team`. References may resolve to resources
 * of other teams in `published`. Resources of `team` itself in `published` are
 * ignored, because the files replace them. All findings are reported together,
 * ordered by file and position.
 */
export function parseFileSet(
  team: string,
  files: readonly SourceFile[],
  published: ResourceMap = new Map(),
): Result<Resource[], Finding[]> {
  const findings: Finding[] = [];
  const declared: DeclaredResource[] = [];
  for (const file of files) {
    const parsed = parseSourceFile(team, file);
    if (parsed.isErr()) findings.push(...parsed.error);
    else declared.push(...parsed.value);
  }
  const areFilesValid = findings.length === 0;
  findings.push(...findDuplicates(declared));
  findings.push(...findMatchErrors(declared));
  if (areFilesValid) {
    const set = buildResultingSet(team, declared, published);
    findings.push(...findEmpty(files, declared));
    findings.push(...findDangling(team, declared, set));
    findings.push(...findShadowed(declared, set));
  }
  if (findings.length > 0) return Err(findings.sort(compareFindings));
  return Ok(declared.map(item => item.resource));
}

function buildResultingSet(
  team: string,
  declared: readonly DeclaredResource[],
  published: ResourceMap,
): Map<ResourceKey, Resource> {
  const set = new Map<ResourceKey, Resource>();
  for (const [key, resource] of published) {
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
  const firstByKey = new Map<ResourceKey, DeclaredResource>();
  const findings: Finding[] = [];
  for (const item of declared) {
    const {key, kind, name} = item.resource;
    const earlier = firstByKey.get(key);
    if (!earlier) {
      firstByKey.set(key, item);
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
  const candidates = [...set.values()]
    .filter(resource => resource.kind === kind)
    .map(({team: owner, name}) => (owner === team ? name : `${owner}/${name}`));
  const suggestion = suggestName(text, candidates);
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
    const candidates = buckets.get(matchBucket(resource.spec.match)) ?? [];
    const winner = candidates.find(other => shadows(other, resource));
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
