/** The node binary: sockets, tasks, settings, wiring. */
export {};
