/** Validation of names, and of single writes from outside the process. */

import {SchemaCheck} from '@turmericmill/utils';

import {NAME_PATTERN, SPEC_SCHEMAS} from './file-schema.js';
import {resourceKey} from './resource.js';
import type {ResourceKind, ResourceWrite} from './resource.js';

const NAME = new RegExp(NAME_PATTERN);
const specChecks = new Map<ResourceKind, SchemaCheck<object>>();

/** Whether `text` is a valid name of a team or a resource. */
export function isName(text: string): boolean {
  return NAME.test(text);
}

/**
 * Whether a parsed value is a write of `team` with a valid resource. Does not
 * check references to other resources. Defaults are filled into the value.
 */
export function isWriteOf(
  team: string,
  value: unknown,
): value is ResourceWrite {
  const write = value as Partial<ResourceWrite> | null;
  if (typeof write?.key !== 'string') return false;
  const [owner, kind, name, ...rest] = write.key.split('/');
  if (owner !== team || !isKind(kind) || rest.length > 0) return false;
  if (name === undefined || !isName(name)) return false;
  const {resource} = write;
  if (resource === null) return true;
  return (
    typeof resource === 'object' &&
    resource.key === resourceKey(team, kind, name) &&
    resource.team === team &&
    resource.kind === kind &&
    resource.name === name &&
    isSpecOf(kind, resource.spec)
  );
}

function isKind(text: string | undefined): text is ResourceKind {
  return text !== undefined && Object.hasOwn(SPEC_SCHEMAS, text);
}

function isSpecOf(kind: ResourceKind, spec: unknown): boolean {
  let check = specChecks.get(kind);
  if (!check) {
    check = new SchemaCheck<object>(SPEC_SCHEMAS[kind]);
    specChecks.set(kind, check);
  }
  return check.accepts(spec) && !hasBothPaths(spec);
}

function hasBothPaths(spec: object): boolean {
  const {match} = spec as {match?: {path?: string; pathPrefix?: string}};
  return match?.path !== undefined && match.pathPrefix !== undefined;
}
