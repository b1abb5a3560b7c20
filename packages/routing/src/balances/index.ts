/** Customers' prepaid balances: metering, folding, refusing. */
export * from './balance-gate.js';
export * from './usage-collector.js';
export * from './usage-ledger.js';
export * from './usage-meter.js';
export * from './usage-record.js';
