/** Failure detection, dissemination, roles, server announcements and drain. */
export * from './announcement.js';
export * from './connection-policy.js';
export * from './membership.js';
export {
  MembershipView,
  type ServerEntry,
  type NodeReliability,
} from './membership-view.js';
export type * from './membership-types.js';
export * from './roles.js';
export * from './server-registry.js';
export * from './reported-server.js';
export type {ServerLifeState} from './server-state.js';
export {TokenBucket} from './token-bucket.js';
