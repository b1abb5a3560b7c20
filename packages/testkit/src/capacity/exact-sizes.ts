/** Sizes of messages at the design size, determined by encoding them. */

import {HEARTBEAT_TIMES} from '@turmericmill/node';
import {
  encodeFrame,
  encodeMessage,
  packMember,
  type MemberRecord,
  type RegionSummary,
} from '@turmericmill/wire';

import {DERIVED, DESIGN_SIZE} from './design-size.js';

const TCP_HEADER_BYTES = 40;
const START_MS = 1_700_000_000_000;
const GATEWAYS = 3;

const GATEWAY: MemberRecord = {
  id: 'nairobi-a-host-0017',
  incarnation: START_MS,
  status: 'alive',
  address: '10.11.12.13',
  port: 7000,
  dataCentre: 'nairobi-a',
  region: 'nairobi',
  servers: [],
  revision: 7,
};

/** Size in bytes of a region's summary with the slots of `groups` groups. */
export function summaryBytes(groups: number): number {
  const slots: Record<string, number> = {};
  for (let group = 0; group < groups; group += 1) {
    slots[`team-${group % 100}/service-${group}`] = 240;
  }
  const summary: RegionSummary = {
    region: GATEWAY.region,
    atMs: START_MS,
    members: DERIVED.membersPerRegion,
    slots,
    gateways: Array.from({length: GATEWAYS}, () => GATEWAY),
  };
  const body = {
    sender: packMember(GATEWAY),
    reply: true,
    buckets: new Uint8Array(),
    members: [],
    regions: [summary],
  };
  return encodeFrame({type: 'memberSync', body}).length;
}

/** Size in bytes of the gossip message that spreads one summary in a region. */
export function gossipSummaryBytes(): number {
  const summary: RegionSummary = {
    region: GATEWAY.region,
    atMs: START_MS,
    members: DERIVED.membersPerRegion,
    slots: {},
    gateways: Array.from({length: GATEWAYS}, () => GATEWAY),
  };
  const body = {from: GATEWAY.id, updates: [], regions: [summary]};
  return encodeMessage({type: 'memberGossip', body}).length;
}

/**
 * Maximum number of bytes that one end of an idle connection sends per second.
 * In each idle interval it sends its own ping and the pong for the peer's ping,
 * each with a TCP header.
 */
export function heartbeatBytesPerSecond(): number {
  const body = {nonce: 100_000};
  const ping = encodeFrame({type: 'ping', body}).length;
  const pong = encodeFrame({type: 'pong', body}).length;
  const bytes = ping + pong + 2 * TCP_HEADER_BYTES;
  return (bytes * 1000) / HEARTBEAT_TIMES.idleQuietMs;
}

/** Number of groups whose slots one summary between regions contains. */
export const GROUPS_PER_SUMMARY = DESIGN_SIZE.services;
