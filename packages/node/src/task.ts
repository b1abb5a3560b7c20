/** Component of the node with its own sockets, timers and state. */
export abstract class Task {
  abstract start(): Promise<void> | void;
  /** Releases all resources; must also work after a failed start. */
  abstract stop(): Promise<void> | void;
}
