/** Inputs and effects of `Membership`. */

import type {
  MemberRecord,
  MessageOf,
  RegionSummary,
  ServerRecord,
} from '@turmericmill/wire';

/** An IP address and a port. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Identity of this node; `incarnation` is its start time in ms. */
export interface NodeIdentity extends Endpoint {
  id: string;
  incarnation: number;
  dataCentre: string;
  region: string;
}

export type DatagramName =
  'probe' | 'probeRequest' | 'probeAck' | 'memberGossip' | 'memberDigest';

export type DatagramMessage = {
  [K in DatagramName]: MessageOf<K>;
}[DatagramName];

export type MembershipMessage = DatagramMessage | MessageOf<'memberSync'>;

export type MembershipInput =
  /** Expected every `TICK_INTERVAL_MS`. */
  | {type: 'tick'}
  /** `from` is the source of a datagram; it is not used for TCP messages. */
  | {type: 'message'; from: Endpoint; message: MembershipMessage}
  /** All backend servers of this node, after a change. */
  | {type: 'servers-changed'; servers: ServerRecord[]}
  /** Endpoints of nodes to join through, from the settings and the log. */
  | {type: 'seeds'; endpoints: Endpoint[]}
  /** This node is about to stop. */
  | {type: 'leave'};

export type MembershipEffect =
  | {type: 'send-datagram'; to: Endpoint; message: DatagramMessage}
  /** To be sent over a TCP connection between nodes. */
  | {type: 'send-sync'; to: Endpoint; message: MessageOf<'memberSync'>}
  | {type: 'view-changed'}
  /** Append this node's endpoint to the seed stream. */
  | {type: 'persist-seed'; endpoint: Endpoint}
  /** A later process uses this node's id, so this process should stop. */
  | {type: 'identity-taken'; by: MemberRecord};

/** Counters since the start, for metrics. */
export interface MembershipCounters {
  probesSent: number;
  probesFailed: number;
  suspicionsRaised: number;
  /** Suspected members that this node declared dead. */
  condemned: number;
  refuted: number;
  pauses: number;
  syncsSent: number;
}

/** The newest summary of each region, by name. */
export type RegionSummaries = ReadonlyMap<string, RegionSummary>;
