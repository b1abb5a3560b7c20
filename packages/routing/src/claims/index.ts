/** At-most-once execution of calls with an idempotency key. */
export * from './claim-client.js';
export * from './claim-key.js';
export * from './claim-ledger.js';
export * from './claim-record.js';
export * from './claim-writer.js';
export type * from './claim-writer-types.js';
