/** Route match, balancing, admission, retries, at-most-once, quarantine, balances. */
export * from './claims/index.js';
