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
export {
  ReportedServer,
  type CurrentServer,
  type ReportChange,
  type ReportedState,
  type ServerReport,
  type ServerStart,
} from './reported-server.js';
export * from './restart-guard.js';
export type {ServerLifeState} from './server-state.js';
export {TokenBucket} from './token-bucket.js';
