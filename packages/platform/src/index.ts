/** Client of the log service. */
export * from './log-client.js';
