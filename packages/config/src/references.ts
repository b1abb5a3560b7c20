/** Which resources a resource refers to. */

import {resolveReference} from './resource.js';
import type {Resource, ResourceKey, ResourceKind} from './resource.js';

/** A reference as it is written, and what it resolves to. */
export interface Reference {
  /** Name of the field of the spec that holds it. */
  field: string;
  kind: ResourceKind;
  /** `name` or `team/name`, as written. */
  text: string;
  key: ResourceKey;
}

/** The references of a resource with the fields that hold them. */
export function describeReferences(resource: Resource): Reference[] {
  const {team} = resource;
  const reference = (field: string, kind: ResourceKind, text: string) => ({
    field,
    kind,
    text,
    key: resolveReference(team, kind, text),
  });
  switch (resource.kind) {
    case 'service': {
      const group = resource.spec.backendServerGroup;
      return [reference('backendServerGroup', 'backendServerGroup', group)];
    }
    case 'route':
      return [
        reference('service', 'service', resource.spec.service),
        reference('class', 'class', resource.spec.class),
      ];
    case 'class':
    case 'customer':
    case 'backendServerGroup':
      return [];
  }
}

/** The keys that a resource refers to. */
export function referencesOf(resource: Resource): ResourceKey[] {
  return describeReferences(resource).map(reference => reference.key);
}
