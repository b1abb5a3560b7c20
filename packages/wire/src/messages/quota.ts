/** Bodies of the messages about usage caps of tenants. */

/**
 * Asks the receiver, an owner of caps, for rights to run requests. An ask that
 * returns a fresh ticket binds the sender to this owner.
 */
export interface QuotaAsk {
  /** Grows with each ask of a process, to any owner. */
  seq: number;
  /** Incarnation of the owner that gave the ticket; 0 without a ticket. */
  owner: number;
  /** Time in ms of the ticket by the owner's clock; 0 without a ticket. */
  ticketMs: number;
  /** Number of the binding; grows when the sender binds anew. */
  binding: number;
  /** Time in ms before this binding in which the sender used no rights. */
  freeMs: number;
  /**
   * True if this binding brings rights for requests that waited meanwhile; at
   * most one binding of a host in a window does.
   */
  starter: boolean;
  /** Number of hosts that may serve, as far as the sender knows. */
  hosts: number;
  /** True if the sender gives up its binding. */
  leaves: boolean;
  /**
   * For each tenant three numbers: the digest of its name, the requests that
   * wait for a right, and the further requests that are expected.
   */
  demands: number[];
}

/** The reply to an ask, or an invitation to bind to the sender. */
export interface QuotaGrant {
  /** Of the ask that is answered; 0 for an invitation. */
  seq: number;
  /** Incarnation of the sender, for the ticket. */
  owner: number;
  /** Time in ms by the sender's clock: the ticket for the next ask. */
  ticketMs: number;
  /** Number of hosts among which the caps are divided; 0 while not known. */
  hosts: number;
  /** True while any tenant with a cap sends requests. */
  active: boolean;
  /** True if the ask was accepted as bound. */
  bound: boolean;
  /** True if the sender no longer counts the receiver as bound to it. */
  ended: boolean;
  /**
   * For each tenant three numbers: the digest of its name, the rights granted,
   * and the time in ms until a waiting request without a right has one.
   */
  grants: number[];
}
