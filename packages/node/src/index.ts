/** The node: sockets, tasks, settings, wiring. */
export * from './admin/index.js';
export * from './settings/index.js';
export type {LocalServer, Peer, Topics} from './bus.js';
export {Node, type NodePorts} from './node.js';
