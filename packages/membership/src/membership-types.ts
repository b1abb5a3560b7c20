/** Inputs and effects of the membership decision. */

import type {
  MemberRecord,
  MessageOf,
  RegionSummary,
  ServerRecord,
} from '@turmericmill/wire';

/** An IP number and a port. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Who this node is; `incarnation` is the time in ms of its start. */
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
  /** Wanted each `TICK_INTERVAL_MS`. */
  | {type: 'tick'}
  /** `from` is the source of a datagram; a TCP peer's endpoint is not used. */
  | {type: 'message'; from: Endpoint; message: MembershipMessage}
  /** The servers beside this node. */
  | {type: 'servers-changed'; servers: ServerRecord[]}
  /** Nodes to join through, from the settings and the log. */
  | {type: 'seeds'; endpoints: Endpoint[]}
  /** This node is about to stop. */
  | {type: 'leave'};

export type MembershipEffect =
  | {type: 'send-datagram'; to: Endpoint; message: DatagramMessage}
  /** Over a TCP connection between nodes. */
  | {type: 'send-sync'; to: Endpoint; message: MessageOf<'memberSync'>}
  | {type: 'view-changed'}
  /** Append this node's endpoint to the seed stream. */
  | {type: 'persist-seed'; endpoint: Endpoint}
  /** A later process has this node's id: this one should stop. */
  | {type: 'identity-taken'; by: MemberRecord};

/** Counts since the start, for metrics. */
export interface MembershipCounters {
  probesSent: number;
  probesFailed: number;
  suspicionsRaised: number;
  condemned: number;
  refuted: number;
  pauses: number;
  syncsSent: number;
}

/** What is known of the other regions. */
export type RegionSummaries = ReadonlyMap<string, RegionSummary>;
