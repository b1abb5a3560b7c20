/** Entry of a node in the store: its endpoint, and servers that have left. */

import type {Endpoint, ServerStart} from '@turmericmill/membership';
import type {KeyedRecord} from '@turmericmill/platform-adapter';
import {isIpAddress, isPort} from '@turmericmill/utils';

export interface NodeEntry {
  nodeId: string;
  endpoint: Endpoint;
  /** Starts of the node's server that have left, oldest first. */
  departed: readonly ServerStart[];
  /** Grows with each write of the entry. */
  epoch: number;
}

export function encodeNodeEntry({
  endpoint,
  departed,
  epoch,
}: NodeEntry): Buffer {
  const {address, port} = endpoint;
  return Buffer.from(JSON.stringify({address, port, departed, epoch}));
}

/**
 * Returns undefined for a record of another writer that has no endpoint; skips
 * malformed starts.
 */
export function parseNodeEntry({
  key,
  value,
}: KeyedRecord): NodeEntry | undefined {
  let entry: unknown;
  try {
    entry = JSON.parse(Buffer.from(value).toString());
  } catch {
    // Whatever the parser cannot read is no entry.
    return undefined;
  }
  const fields = (entry ?? {}) as Record<string, unknown>;
  const {address, port, departed, epoch} = fields;
  if (!isIpAddress(address) || !isPort(port)) return undefined;
  return {
    nodeId: key,
    endpoint: {address, port},
    departed: Array.isArray(departed) ? departed.filter(isServerStart) : [],
    epoch: Number.isSafeInteger(epoch) ? (epoch as number) : 0,
  };
}

function isServerStart(value: unknown): value is ServerStart {
  const {serverId, bornMs} = (value ?? {}) as Partial<ServerStart>;
  return typeof serverId === 'string' && Number.isSafeInteger(bornMs);
}
