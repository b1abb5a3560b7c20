/** Client of the platform's log service. */
export * from './http-log-client.js';
export * from './log-client.js';
