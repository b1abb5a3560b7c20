/** Messages that open, monitor and close a connection between two nodes. */

/** First message of each side of a connection. */
export interface Hello {
  /** Lowest and highest protocol version that the sender supports. */
  minVersion: number;
  maxVersion: number;
  nodeId: string;
  /** Increases with each start of the node. */
  incarnation: number;
  dataCentre: string;
  region: string;
}

export type GoodbyeReason =
  'version' | 'shutdown' | 'overload' | 'malformed' | 'idle' | 'unexpected';

/** Last message before the sender closes the connection. */
export interface Goodbye {
  reason: GoodbyeReason;
  detail: string;
}

/** Heartbeat, answered by `pong` with the same nonce. */
export interface Ping {
  nonce: number;
}

/** Answers a heartbeat, or acknowledges received bytes. */
export interface Pong {
  /** Nonce of the ping; 0 if it only shows that bytes arrive. */
  nonce: number;
}
