/** The connections of a node, and which of them takes a message. */

import type {Message} from '@turmericmill/wire';

import type {PeerConnection} from './peer-connection.js';

/** Two nodes that connect to each other at once hold two connections. */
export class ConnectionTable implements Iterable<PeerConnection> {
  private readonly connections = new Set<PeerConnection>();
  /** The connection of each node that takes new calls. */
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
    const next = this.newestOf(nodeId);
    if (next) this.preferred.set(nodeId, next);
    else this.preferred.delete(nodeId);
  }

  /** The peer was greeted: new calls go over this connection. */
  prefer(nodeId: string, connection: PeerConnection): void {
    this.preferred.set(nodeId, connection);
  }

  /** The connection on which the node was greeted last. */
  latestTo(nodeId: string): PeerConnection | undefined {
    return this.preferred.get(nodeId);
  }

  /** The connection for new calls, if one is open that is not silent. */
  usableTo(nodeId: string): PeerConnection | undefined {
    const latest = this.preferred.get(nodeId);
    if (!latest || latest.usable) return latest;
    const incarnation = latest.peer?.incarnation;
    return this.toNode(nodeId).find(
      ({usable, peer}) => usable && peer?.incarnation === incarnation,
    );
  }

  /** Connections to a node, with those that are not greeted yet. */
  toNode(nodeId: string): PeerConnection[] {
    return [...this.connections].filter(other => other.nodeId === nodeId);
  }

  /**
   * The connection that carries the call of a message. All messages of a call
   * take one connection, so that none overtakes another.
   */
  carrying(
    nodeId: string,
    message: Message,
    incarnation?: number,
  ): PeerConnection | undefined {
    const fits = (connection: PeerConnection) =>
      connection.carries(message) &&
      (incarnation === undefined ||
        connection.peer?.incarnation === incarnation);
    const preferred = this.preferred.get(nodeId);
    if (preferred && fits(preferred)) return preferred;
    return this.toNode(nodeId).find(fits);
  }

  private newestOf(nodeId: string): PeerConnection | undefined {
    let newest: PeerConnection | undefined;
    for (const connection of this.toNode(nodeId)) {
      const {peer} = connection;
      if (!peer) continue;
      if (peer.incarnation >= (newest?.peer?.incarnation ?? -Infinity)) {
        newest = connection;
      }
    }
    return newest;
  }
}
