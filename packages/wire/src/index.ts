/** Framing, encoding and types of the messages between nodes. */
export * from './frame.js';
export * from './member-codec.js';
export * from './message-table.js';
export type * from './messages/calls.js';
export type * from './messages/claims.js';
export type * from './messages/configuration.js';
export type * from './messages/membership.js';
export type * from './messages/operations.js';
export type * from './messages/quota.js';
export type * from './messages/rollouts.js';
export type * from './messages/session.js';
