/** Client of the log service. */
export * from './http-log-client.js';
export * from './log-client.js';
