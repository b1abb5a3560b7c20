/** JSON documents with the source position of each value. */

import {
  findNodeAtLocation,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';

import type {Finding, Place} from './finding.js';
import {Err, Ok, type Result} from './result.js';

/** A path of property names and array indexes into a JSON value. */
export type JsonPath = (string | number)[];

/** A parsed JSON file with the position of each value. */
export class JsonDocument {
  private constructor(
    readonly file: string,
    readonly value: unknown,
    private readonly root: Node,
    private readonly lineStarts: readonly number[],
  ) {}

  /**
   * Parses strict JSON. Repeated property names are reported, because all but
   * the last value would be lost.
   */
  static parse(file: string, text: string): Result<JsonDocument, Finding[]> {
    const errors: ParseError[] = [];
    const lineStarts = findLineStarts(text);
    const root = parseTree(text, errors, {disallowComments: true});
    const findings = errors.map(err => ({
      code: 'malformed-json',
      message: printParseErrorCode(err.error),
      place: placeAt(file, lineStarts, err.offset),
    }));
    if (findings.length > 0) return Err(findings);
    if (root === undefined) {
      const place = {file, line: 1, column: 1};
      const message = 'The file is empty.';
      return Err([{code: 'malformed-json', message, place}]);
    }
    const repeated = findRepeatedNames(root).map(node => ({
      code: 'repeated-property',
      message: `Property "${String(node.value)}" is repeated in one object.`,
      place: placeAt(file, lineStarts, node.offset),
    }));
    if (repeated.length > 0) return Err(repeated);
    return Ok(new JsonDocument(file, toValue(root), root, lineStarts));
  }

  /** Position of the value at `path`, or of its nearest existing parent. */
  placeOf(path: JsonPath): Place {
    for (let length = path.length; length > 0; length--) {
      const node = findNodeAtLocation(this.root, path.slice(0, length));
      if (node) return placeAt(this.file, this.lineStarts, node.offset);
    }
    return placeAt(this.file, this.lineStarts, this.root.offset);
  }

  /** Position of the property name at the end of `path`. */
  placeOfName(path: JsonPath): Place {
    const node = findNodeAtLocation(this.root, path);
    const offset = node?.parent?.offset;
    if (offset === undefined) return this.placeOf(path);
    return placeAt(this.file, this.lineStarts, offset);
  }
}

function findLineStarts(text: string): number[] {
  const starts = [0];
  for (let i = 0; i < text.length; i++) {
    if (text[i] === '\n') starts.push(i + 1);
  }
  return starts;
}

function placeAt(
  file: string,
  lineStarts: readonly number[],
  offset: number,
): Place {
  let low = 0;
  let high = lineStarts.length - 1;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if ((lineStarts[middle] ?? 0) <= offset) low = middle;
    else high = middle - 1;
  }
  return {file, line: low + 1, column: offset - (lineStarts[low] ?? 0) + 1};
}

function findRepeatedNames(node: Node): Node[] {
  const children = node.children ?? [];
  const repeated = children.flatMap(findRepeatedNames);
  if (node.type !== 'object') return repeated;
  const seen = new Set<unknown>();
  for (const property of children) {
    const name = property.children?.[0];
    if (!name) continue;
    if (seen.has(name.value)) repeated.push(name);
    seen.add(name.value);
  }
  return repeated;
}

function toValue(node: Node): unknown {
  const children = node.children ?? [];
  if (node.type === 'array') return children.map(toValue);
  if (node.type !== 'object') return node.value;
  const entries = children.map(property => {
    const [name, value] = property.children ?? [];
    return [String(name?.value), value ? toValue(value) : null] as const;
  });
  return Object.fromEntries(entries);
}
