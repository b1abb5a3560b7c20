/** Administration API of a node. */
export type {AdminError, AdminErrorCode} from './admin-error.js';
export {createAdminSchemaCheck, type AdminBodyName} from './admin-schema.js';
export {
  AdminServer,
  MAX_ADMIN_BODY_BYTES,
  type AdminRequestListener,
} from './admin-server.js';
export * from './node-view.js';
