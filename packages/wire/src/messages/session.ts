/** Messages that open and keep a connection between two nodes. */

/** First message of both sides of a connection. */
export interface Hello {
  /** Lowest and highest protocol version that the sender speaks. */
  minVersion: number;
  maxVersion: number;
  nodeId: string;
  /** Grows with each start of the node. */
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

/** Heartbeat; answered by `pong` with the same nonce. */
export interface Ping {
  nonce: number;
}

export interface Pong {
  /** That of the ping; 0 if it answers none and shows that bytes arrive. */
  nonce: number;
}
