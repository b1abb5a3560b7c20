/** The files of a team, as an operator writes them. */

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

/** A resource together with where it was declared. */
export interface DeclaredResource {
  resource: Resource;
  /** The place of the whole item. */
  place: Place;
  /** The place of a field of the item, or of its nearest present parent. */
  placeOf(path: JsonPath): Place;
}

/** Reads the resources that one file of `team` declares. */
export function readSourceFile(
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
      declare(document, team, kind, item, [section, index]),
    ),
  );
  return Ok(declared);
}

function declare(
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
