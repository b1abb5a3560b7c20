/** Parses the JSON files in which an operator declares resources. */

import {resourceKey} from './resource.js';
import type {
  Resource,
  ResourceKey,
  ResourceKind,
  ResourceOf,
  SpecByKind,
} from './resource.js';
import {FILE_SECTIONS, fileCheck, type SourceItem} from './file-schema.js';
import {Err, JsonDocument, Ok} from '@turmericmill/utils';
import type {Finding, JsonPath, Place, Result} from '@turmericmill/utils';

/** One JSON file of a file set. `file` is the name used in findings. */
export interface SourceFile {
  file: string;
  text: string;
}

/** A resource with the place of its declaration. */
export interface DeclaredResource {
  resource: Resource;
  /** Place of the whole item. */
  place: Place;
  /** Returns the place of a field, or of its nearest parent that exists. */
  placeOf(path: JsonPath): Place;
}

/** Parses the resources that one file of `team` declares. */
export function parseSourceFile(
  team: string,
  source: SourceFile,
): Result<DeclaredResource[], Finding[]> {
  const parsed = JsonDocument.parse(source.file, source.text);
  if (parsed.isErr()) return Err(parsed.error);
  const document = parsed.value;
  const checked = fileCheck().check(document);
  if (checked.isErr()) return Err(checked.error);
  const declared = FILE_SECTIONS.flatMap(({section, kind}) =>
    (checked.value[section] ?? []).map((item, index) =>
      toDeclaredResource(document, team, kind, item, [section, index]),
    ),
  );
  return Ok(declared);
}

function toDeclaredResource(
  document: JsonDocument,
  team: string,
  kind: ResourceKind,
  item: SourceItem,
  path: JsonPath,
): DeclaredResource {
  const {name, ...spec} = item;
  return {
    resource: makeResource(team, kind, name, spec as never),
    place: document.placeOf(path),
    placeOf: field => document.placeOf([...path, ...field]),
  };
}

/** Builds a resource from its parts. */
export function makeResource<K extends ResourceKind>(
  team: string,
  kind: K,
  name: string,
  spec: SpecByKind[K],
): Resource {
  const key: ResourceKey = resourceKey(team, kind, name);
  const resource: ResourceOf<K> = {key, team, kind, name, spec};
  return resource as unknown as Resource;
}
