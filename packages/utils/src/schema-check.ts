/** Validation of JSON documents against a JSON Schema, with positions. */

import {Ajv, type ErrorObject, type ValidateFunction} from 'ajv';

import type {Finding} from './finding.js';
import type {JsonDocument, JsonPath} from './json-document.js';
import {Err, Ok, type Result} from './result.js';
import {suggestName} from './suggestion.js';

/** A compiled schema that reports all findings with their positions. */
export class SchemaCheck<T> {
  private readonly validate: ValidateFunction<T>;

  constructor(schema: object) {
    const ajv = new Ajv({allErrors: true, verbose: true, useDefaults: true});
    this.validate = ajv.compile<T>(schema);
  }

  /** Returns a typed copy of the value with defaults, or all findings. */
  check(document: JsonDocument): Result<T, Finding[]> {
    const value = structuredClone(document.value);
    if (this.validate(value)) return Ok(value);
    const errors = this.validate.errors ?? [];
    return Err(errors.map(err => toFinding(document, err)));
  }

  /** Returns whether a parsed value is valid; adds defaults to it in place. */
  accepts(value: unknown): value is T {
    return this.validate(value);
  }
}

function toFinding(document: JsonDocument, err: ErrorObject): Finding {
  const path = toPath(document.value, err.instancePath);
  if (err.keyword === 'additionalProperties') {
    return unknownField(document, path, err);
  }
  const subject = path.length > 0 ? `"${path.join('.')}" ` : '';
  const allowed = Array.isArray(err.params['allowedValues'])
    ? `: ${err.params['allowedValues'].join(', ')}`
    : '';
  return {
    code: err.keyword === 'required' ? 'missing-field' : 'invalid-value',
    message: `${subject}${err.message ?? 'is invalid'}${allowed}`,
    place: document.placeOf(path),
  };
}

function unknownField(
  document: JsonDocument,
  path: JsonPath,
  err: ErrorObject,
): Finding {
  const name = String(err.params['additionalProperty']);
  const knownNames = Object.keys(
    (err.parentSchema?.['properties'] ?? {}) as object,
  );
  const finding: Finding = {
    code: 'unknown-field',
    message: `Unknown field "${name}".`,
    place: document.placeOfName([...path, name]),
  };
  const suggestion = suggestName(name, knownNames);
  if (suggestion !== undefined) finding.suggestion = suggestion;
  return finding;
}

/** Converts a JSON pointer to a path; array indexes become numbers. */
function toPath(root: unknown, pointer: string): JsonPath {
  const path: JsonPath = [];
  let value = root;
  for (const part of pointer.split('/').slice(1)) {
    const name = part.replaceAll('~1', '/').replaceAll('~0', '~');
    const key = Array.isArray(value) ? Number(name) : name;
    path.push(key);
    value = (value as Record<string | number, unknown> | undefined)?.[key];
  }
  return path;
}
