/** References between resources. */

import {resolveReference} from './resource.js';
import type {Resource, ResourceKey, ResourceKind} from './resource.js';

/** A reference as written, and the key that it resolves to. */
export interface Reference {
  /** Name of the spec field that contains the reference. */
  field: string;
  kind: ResourceKind;
  /** `name` or `team/name`, as written. */
  text: string;
  key: ResourceKey;
}

/** Returns the references of a resource with the fields that contain them. */
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

/** Returns the keys that a resource refers to. */
export function referencesOf(resource: Resource): ResourceKey[] {
  return describeReferences(resource).map(reference => reference.key);
}
