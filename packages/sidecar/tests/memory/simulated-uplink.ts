/**
 * The outgoing link of a host in simulated time: bytes of all connections pass
 * one after the other. A connection has a window on its way; what it may not
 * send yet is buffered in the process.
 */

import type {Bus, Peer} from '@turmericmill/node';
import {encodeFrame, type Message} from '@turmericmill/wire';

const WINDOW_BYTES = 64 * 1024;
const MS_PER_S = 1000;

interface PendingBytes {
  message: Message;
  bytes: number;
  writtenMs: number;
}

interface Connection {
  buffered: PendingBytes[];
  bufferedBytes: number;
  onLinkBytes: number;
}

export interface PassedMessage {
  nodeId: string;
  message: Message;
  /** Time in ms from the write until the link has passed on the last byte. */
  delayMs: number;
}

export class SimulatedUplink {
  readonly passed: PassedMessage[] = [];
  sentBytes = 0;
  private readonly connections = new Map<string, Connection>();
  private linkFreeAtMs = 0;

  constructor(
    private readonly bytesPerMs: number,
    private readonly bus: Bus,
    private readonly now: () => number,
  ) {
    bus.subscribe('send-peer', ({nodeId, message}) => {
      this.write(nodeId, message);
    });
  }

  unsentBytes(peer?: Peer): number {
    if (peer) return this.connectionOf(peer.nodeId).bufferedBytes;
    let sum = 0;
    for (const {bufferedBytes} of this.connections.values()) {
      sum += bufferedBytes;
    }
    return sum;
  }

  /** Bytes per second that the link has passed on. */
  throughput(elapsedMs: number): number {
    const bytes = this.passed.reduce(
      (sum, {message}) => sum + encodeFrame(message).length,
      0,
    );
    return (bytes / elapsedMs) * MS_PER_S;
  }

  private connectionOf(nodeId: string): Connection {
    let connection = this.connections.get(nodeId);
    if (!connection) {
      connection = {buffered: [], bufferedBytes: 0, onLinkBytes: 0};
      this.connections.set(nodeId, connection);
    }
    return connection;
  }

  private write(nodeId: string, message: Message): void {
    const bytes = encodeFrame(message).length;
    this.sentBytes += bytes;
    const connection = this.connectionOf(nodeId);
    connection.buffered.push({message, bytes, writtenMs: this.now()});
    connection.bufferedBytes += bytes;
    this.passOn(nodeId, connection);
  }

  private passOn(nodeId: string, connection: Connection): void {
    while (connection.onLinkBytes < WINDOW_BYTES) {
      const next = connection.buffered.shift();
      if (!next) return;
      const {message, bytes, writtenMs} = next;
      connection.bufferedBytes -= bytes;
      connection.onLinkBytes += bytes;
      this.linkFreeAtMs =
        Math.max(this.now(), this.linkFreeAtMs) + bytes / this.bytesPerMs;
      const passedMs = this.linkFreeAtMs;
      setTimeout(() => {
        const delayMs = passedMs - writtenMs;
        this.passed.push({nodeId, message, delayMs});
        connection.onLinkBytes -= bytes;
        this.passOn(nodeId, connection);
        if (connection.bufferedBytes > 0) return;
        this.bus.publish('peer-drained', {nodeId});
      }, passedMs - this.now());
    }
  }
}
