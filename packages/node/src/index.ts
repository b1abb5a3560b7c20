/** The node: sockets, tasks, settings, wiring. */
export * from './settings/index.js';
