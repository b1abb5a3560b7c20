/** Conversion of membership records to packed arrays and back. */

import {isIpAddress, isPort} from '@turmericmill/utils';

import type {
  MemberRecord,
  MemberStatus,
  PackedMember,
  PackedServer,
  PackedStatus,
  PackedUpdate,
  ServerRecord,
  ServerState,
} from './messages/membership.js';

/** A packed status is an index into this list: never change the order. */
export const MEMBER_STATUSES: readonly MemberStatus[] = [
  'alive',
  'suspect',
  'dead',
  'left',
];

/** A packed state is an index into this list: never change the order. */
export const SERVER_STATES: readonly ServerState[] = [
  'starting',
  'ready',
  'draining',
];

/** Maximum number of calls that a server may claim to run at once. */
export const MAX_SERVER_SLOTS = 100_000;

/**
 * Estimated CBOR size in bytes of the array header and the numbers of each
 * packed array; for a status, of the header of its string too.
 */
const PACKED_STATUS_BYTES = 12;
const PACKED_MEMBER_BYTES = 24;
const PACKED_SERVER_BYTES = 28;
/** CBOR header size in bytes of a string of at most 255 bytes. */
const STRING_HEADER_BYTES = 2;

/** An unpacked update: a new status alone, or a whole record. */
export type MemberUpdate =
  | {type: 'status'; id: string; incarnation: number; status: MemberStatus}
  | {type: 'record'; record: MemberRecord};

export function packMember(record: MemberRecord): PackedMember {
  return [
    record.id,
    record.incarnation,
    MEMBER_STATUSES.indexOf(record.status),
    record.revision,
    record.address,
    record.port,
    record.dataCentre,
    record.region,
    record.servers.map(packServer),
  ];
}

/** Packs only the id, incarnation and status of a member. */
export function packStatus(record: MemberRecord): PackedStatus {
  return [
    record.id,
    record.incarnation,
    MEMBER_STATUSES.indexOf(record.status),
  ];
}

/** Unpacks a status or a record; undefined if the update is malformed. */
export function unpackUpdate(update: PackedUpdate): MemberUpdate | undefined {
  if (!Array.isArray(update)) return undefined;
  const [id, incarnation, code] = update;
  const status = MEMBER_STATUSES[code];
  if (typeof id !== 'string' || !Number.isSafeInteger(incarnation) || !status) {
    return undefined;
  }
  if (update.length === 3) return {type: 'status', id, incarnation, status};
  const record = unpackMember(update);
  return record && {type: 'record', record};
}

/** Unpacks a record; undefined if it is malformed. */
export function unpackMember(packed: PackedMember): MemberRecord | undefined {
  if (!Array.isArray(packed) || packed.length !== 9) return undefined;
  const [id, incarnation, code, revision, address, port, dataCentre, region] =
    packed;
  const status = MEMBER_STATUSES[code];
  const servers = unpackServers(packed[8]);
  const texts = [id, dataCentre, region];
  if (!status || !servers) return undefined;
  if (!texts.every(text => typeof text === 'string')) return undefined;
  if (!isIpAddress(address) || !isPort(port)) return undefined;
  if (![incarnation, revision].every(Number.isSafeInteger)) return undefined;
  return {
    id,
    incarnation,
    status,
    address,
    port,
    dataCentre,
    region,
    servers,
    revision,
  };
}

/**
 * Estimates the size in bytes of an update in a datagram. The estimate of a
 * record is an upper bound if each string takes at most 255 bytes and each
 * number of slots or connections is at most 65,535. The estimate of a status is
 * an upper bound if the id has at most 23 characters, all ASCII, and exact if
 * the incarnation is also at least 2^32. For such an incarnation, it is too
 * small by 1 byte if the id takes 24 bytes or more, by 2 bytes or more if it
 * takes 256 or more, and by each byte of UTF-8 beyond one per UTF-16 code unit.
 */
export function estimatePackedBytes(update: PackedUpdate): number {
  if (update.length === 3) return PACKED_STATUS_BYTES + update[0].length;
  const texts = [update[0], update[4], update[6], update[7]];
  const textBytes = texts.reduce((sum, text) => sum + stringBytes(text), 0);
  return update[8].reduce(
    (sum, server) =>
      sum +
      PACKED_SERVER_BYTES +
      stringBytes(server[0]) +
      stringBytes(server[1]) +
      (server[7] === undefined ? 0 : stringBytes(server[7])),
    PACKED_MEMBER_BYTES + textBytes,
  );
}

function stringBytes(text: string): number {
  return STRING_HEADER_BYTES + Buffer.byteLength(text);
}

function packServer(server: ServerRecord): PackedServer {
  const packed: PackedServer = [
    server.id,
    server.group,
    server.incarnation,
    SERVER_STATES.indexOf(server.state),
    server.slots,
    server.connections,
    server.readySinceMs,
  ];
  if (server.version !== undefined) packed.push(server.version);
  return packed;
}

/** Skips malformed servers: the member and its other servers are valid. */
function unpackServers(packed: unknown): ServerRecord[] | undefined {
  if (!Array.isArray(packed)) return undefined;
  return (packed as PackedServer[]).flatMap(entry => unpackServer(entry) ?? []);
}

function unpackServer(packed: PackedServer): ServerRecord | undefined {
  if (!Array.isArray(packed)) return undefined;
  const [id, group, incarnation, code, slots, connections, readySinceMs] =
    packed;
  const version: unknown = packed[7];
  const state = SERVER_STATES[code];
  if (!state || typeof id !== 'string' || typeof group !== 'string') {
    return undefined;
  }
  const numbers = [incarnation, slots, connections, readySinceMs];
  if (!numbers.every(Number.isFinite)) return undefined;
  if (slots < 0 || slots > MAX_SERVER_SLOTS) return undefined;
  const server: ServerRecord = {
    id,
    group,
    incarnation,
    state,
    slots,
    connections,
    readySinceMs,
  };
  // The server is usable without its version, which other writers may omit.
  if (typeof version === 'string') server.version = version;
  return server;
}
