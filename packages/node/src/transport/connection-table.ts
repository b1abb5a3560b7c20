/** Holds the connections of a node and selects the one for each message. */

import type {Message} from '@turmericmill/wire';

import type {PeerConnection} from './peer-connection.js';

/**
 * Two nodes may have several connections to each other, for example when both
 * connect at the same time.
 */
export class ConnectionTable implements Iterable<PeerConnection> {
  private readonly connections = new Set<PeerConnection>();
  /** The connection for new calls to each node, by node id. */
  private readonly preferred = new Map<string, PeerConnection>();

  [Symbol.iterator](): Iterator<PeerConnection> {
    return [...this.connections].values();
  }

  add(connection: PeerConnection): void {
    this.connections.add(connection);
  }

  remove(connection: PeerConnection): void {
    this.connections.delete(connection);
    const {nodeId} = connection;
    if (nodeId === undefined) return;
    if (this.preferred.get(nodeId) !== connection) return;
    const next = this.findNewest(nodeId);
    if (next) this.preferred.set(nodeId, next);
    else this.preferred.delete(nodeId);
  }

  /** Routes new calls over this connection, after its handshake. */
  prefer(nodeId: string, connection: PeerConnection): void {
    this.preferred.set(nodeId, connection);
  }

  /** The preferred connection to the node, even if it is not usable. */
  findPreferred(nodeId: string): PeerConnection | undefined {
    return this.preferred.get(nodeId);
  }

  /** A connection for new calls that is not silent, if there is one. */
  findUsable(nodeId: string): PeerConnection | undefined {
    const preferred = this.preferred.get(nodeId);
    if (!preferred || preferred.isUsable) return preferred;
    const incarnation = preferred.peer?.incarnation;
    return this.findAll(nodeId).find(
      ({isUsable, peer}) => isUsable && peer?.incarnation === incarnation,
    );
  }

  /** All connections to a node, including those before the handshake. */
  findAll(nodeId: string): PeerConnection[] {
    return [...this.connections].filter(
      connection => connection.nodeId === nodeId,
    );
  }

  /**
   * The connection on which the call of a message started. All messages of a
   * call use one connection, so that they stay in order.
   */
  findCarrying(
    nodeId: string,
    message: Message,
    incarnation?: number,
  ): PeerConnection | undefined {
    const matches = (connection: PeerConnection) =>
      connection.carriesCallOf(message) &&
      (incarnation === undefined ||
        connection.peer?.incarnation === incarnation);
    const preferred = this.preferred.get(nodeId);
    if (preferred && matches(preferred)) return preferred;
    return this.findAll(nodeId).find(matches);
  }

  private findNewest(nodeId: string): PeerConnection | undefined {
    let newest: PeerConnection | undefined;
    for (const connection of this.findAll(nodeId)) {
      const {peer} = connection;
      if (!peer) continue;
      if (peer.incarnation >= (newest?.peer?.incarnation ?? -Infinity)) {
        newest = connection;
      }
    }
    return newest;
  }
}
