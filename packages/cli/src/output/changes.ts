/** Describes and renders changes of resources. */

import type {Resource, ResourceMap, ResourceWrite} from '@turmericmill/config';

/** Effect of a write on a resource. */
export type ChangeAction = 'add' | 'change' | 'remove';

/** A write with the values before and after it. */
export interface Change {
  action: ChangeAction;
  key: string;
  before?: Resource['spec'];
  after?: Resource['spec'];
}

const SIGNS: Readonly<Record<ChangeAction, string>> = {
  add: '+',
  change: '~',
  remove: '-',
};

/** Compares writes with the resources in `base` that they change. */
export function describeChanges(
  base: ResourceMap,
  writes: readonly ResourceWrite[],
): Change[] {
  return writes.map(({key, resource}) => {
    const before = base.get(key)?.spec;
    const after = resource?.spec;
    if (!after) return {action: 'remove', key, ...(before && {before})};
    if (!before) return {action: 'add', key, after};
    return {action: 'change', key, before, after};
  });
}

/** Renders a line per change, followed by the fields that differ. */
export function renderChanges(changes: readonly Change[]): string {
  return changes
    .flatMap(change => [
      `${SIGNS[change.action]} ${change.key}`,
      ...(change.action === 'change' ? renderFields(change) : []),
    ])
    .join('\n');
}

/** Summarizes changes, as in `2 added, 1 changed, 0 removed`. */
export function summarizeChanges(changes: readonly Change[]): string {
  const count = (action: ChangeAction) =>
    changes.filter(change => change.action === action).length;
  const added = `${count('add')} added`;
  return `${added}, ${count('change')} changed, ${count('remove')} removed`;
}

function renderFields({before, after}: Change): string[] {
  const old = (before ?? {}) as Record<string, unknown>;
  const now = (after ?? {}) as Record<string, unknown>;
  const names = [...new Set([...Object.keys(old), ...Object.keys(now)])].sort();
  return names
    .filter(name => JSON.stringify(old[name]) !== JSON.stringify(now[name]))
    .map(
      name =>
        `    ${name}: ${renderValue(old[name])} -> ${renderValue(now[name])}`,
    );
}

function renderValue(value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value);
}
