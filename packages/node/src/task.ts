/** A part of the node that owns its sockets, its timers and its state. */
export abstract class Task {
  abstract start(): Promise<void> | void;
  /** Releases everything; must be safe after a failed start. */
  abstract stop(): Promise<void> | void;
}
