/** Prepaid balances of customers: metering, aggregation and enforcement. */
export * from './balance-gate.js';
export * from './usage-collector.js';
export * from './usage-ledger.js';
export * from './usage-meter.js';
export * from './usage-record.js';
