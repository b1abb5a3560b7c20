/** The documented schema of the administration API. */

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

/** Compiles the check of one body. */
export function adminSchemaCheck<T>(name: AdminBodyName): SchemaCheck<T> {
  return new SchemaCheck<T>({...SCHEMA, $ref: `#/definitions/${name}`});
}
