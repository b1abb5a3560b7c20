/** Checks bodies of the administration API against its documented schema. */

import {createRequire} from 'node:module';

import {SchemaCheck} from '@turmericmill/utils';

const SCHEMA = createRequire(import.meta.url)('./admin-api.schema.json') as {
  definitions: Record<string, object>;
};

/** Names of the bodies that the schema defines. */
export type AdminBodyName =
  | 'health'
  | 'readiness'
  | 'version'
  | 'status'
  | 'servers'
  | 'calls'
  | 'drainRequest'
  | 'drainAnswer'
  | 'error';

/** Compiles the schema check of one body. */
export function createAdminSchemaCheck<T>(name: AdminBodyName): SchemaCheck<T> {
  return new SchemaCheck<T>({...SCHEMA, $ref: `#/definitions/${name}`});
}
