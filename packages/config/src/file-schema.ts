/** JSON Schemas of the file format and of the spec of each kind. */

import {SchemaCheck} from '@turmericmill/utils';

import type {ResourceKind} from './resource.js';

/** Pattern of team and resource names. */
export const NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$';

const REFERENCE_PATTERN =
  '^([A-Za-z0-9][A-Za-z0-9._-]{0,62}/)?[A-Za-z0-9][A-Za-z0-9._-]{0,62}$';

/** Maximum timeout of a call: one hour. */
const MAX_TIMEOUT_MS = 3_600_000;
const MAX_PATH_LENGTH = 1024;
const DEFAULT_SLOW_START_MS = 10_000;
const DEFAULT_RETRY_BUDGET_PERCENT = 10;

/** Names of the arrays in a file. */
export type FileSection =
  'classes' | 'customers' | 'backendServerGroups' | 'services' | 'routes';

/** The resource kind of each section. Referenced kinds come first. */
export const FILE_SECTIONS: readonly {
  section: FileSection;
  kind: ResourceKind;
}[] = [
  {section: 'classes', kind: 'class'},
  {section: 'customers', kind: 'customer'},
  {section: 'backendServerGroups', kind: 'backendServerGroup'},
  {section: 'services', kind: 'service'},
  {section: 'routes', kind: 'route'},
];

/** An item of a section: a name and the fields of the spec. */
export interface SourceItem {
  name: string;
  [field: string]: unknown;
}

/** Content of a valid file. Absent sections declare no resources. */
export type FileContent = Partial<Record<FileSection, SourceItem[]>>;

/** A JSON Schema for an object without additional properties. */
export interface ObjectSchema {
  type: 'object';
  additionalProperties: false;
  required: string[];
  properties: Record<string, object>;
  not?: object;
}

const REFERENCE = {type: 'string', pattern: REFERENCE_PATTERN};
const COUNT = {type: 'integer', minimum: 1, maximum: 1_000_000};
const TIMEOUT = {type: 'integer', minimum: 1, maximum: MAX_TIMEOUT_MS};
const PATH = {type: 'string', pattern: '^/', maxLength: MAX_PATH_LENGTH};

const MATCH_SCHEMA: object = {
  type: 'object',
  additionalProperties: false,
  properties: {
    host: {type: 'string', minLength: 1, maxLength: 255},
    path: PATH,
    pathPrefix: PATH,
    methods: {
      type: 'array',
      minItems: 1,
      uniqueItems: true,
      items: {type: 'string', pattern: '^[A-Z]+$'},
    },
    headers: {
      type: 'object',
      propertyNames: {pattern: "^[a-z0-9!#$%&'*+.^_`|~-]+$"},
      additionalProperties: {type: 'string'},
    },
  },
};

/** The schema of the spec of each kind. */
export const SPEC_SCHEMAS: Readonly<Record<ResourceKind, ObjectSchema>> = {
  class: {
    type: 'object',
    additionalProperties: false,
    required: ['priority'],
    properties: {
      priority: {type: 'string', enum: ['interactive', 'bulk']},
      weight: {...COUNT, default: 1},
    },
  },
  customer: {
    type: 'object',
    additionalProperties: false,
    required: [],
    properties: {
      prepaidCalls: {
        type: 'integer',
        minimum: 0,
        maximum: Number.MAX_SAFE_INTEGER,
      },
    },
  },
  backendServerGroup: {
    type: 'object',
    additionalProperties: false,
    required: ['maxSlots', 'maxConnections'],
    properties: {
      maxSlots: COUNT,
      maxConnections: COUNT,
      slowStartMs: {
        type: 'integer',
        minimum: 0,
        maximum: MAX_TIMEOUT_MS,
        default: DEFAULT_SLOW_START_MS,
      },
    },
  },
  service: {
    type: 'object',
    additionalProperties: false,
    required: ['backendServerGroup', 'timeoutMs'],
    properties: {
      backendServerGroup: REFERENCE,
      timeoutMs: TIMEOUT,
      retryBudgetPercent: {
        type: 'integer',
        minimum: 0,
        maximum: 100,
        default: DEFAULT_RETRY_BUDGET_PERCENT,
      },
    },
  },
  route: {
    type: 'object',
    additionalProperties: false,
    required: ['match', 'service', 'class'],
    properties: {
      match: MATCH_SCHEMA,
      service: REFERENCE,
      class: REFERENCE,
      repetition: {
        type: 'string',
        enum: ['repeatable', 'at-most-once'],
        default: 'at-most-once',
      },
      timeoutMs: TIMEOUT,
    },
  },
};

function itemSchema(kind: ResourceKind): ObjectSchema {
  const spec = SPEC_SCHEMAS[kind];
  return {
    ...spec,
    required: ['name', ...spec.required],
    properties: {
      name: {type: 'string', pattern: NAME_PATTERN},
      ...spec.properties,
    },
  };
}

function fileSchema(): object {
  const sections = FILE_SECTIONS.map(
    ({section, kind}) =>
      [section, {type: 'array', items: itemSchema(kind)}] as const,
  );
  return {
    type: 'object',
    additionalProperties: false,
    properties: Object.fromEntries(sections),
  };
}

/** Compiled lazily, because nodes never need this check. */
let compiledFileCheck: SchemaCheck<FileContent> | undefined;

/** Returns the check of a whole file, compiled on first use. */
export function fileCheck(): SchemaCheck<FileContent> {
  compiledFileCheck ??= new SchemaCheck<FileContent>(fileSchema());
  return compiledFileCheck;
}
