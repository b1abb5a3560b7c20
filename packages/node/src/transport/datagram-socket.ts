/** The UDP socket of a node: one message in each datagram. */

import {createSocket, type RemoteInfo} from 'node:dgram';

import {isPort} from '@turmericmill/utils';
import {decodeMessage, encodeMessage, type Message} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {TrafficCounts} from './peer-connection.js';

/** A message and the source of its datagram. */
export interface ReceivedDatagram {
  address: string;
  port: number;
  message: Message;
}

export class DatagramSocket {
  private readonly socket = createSocket('udp4');

  constructor(
    private readonly counts: TrafficCounts,
    private readonly logger: Logger,
    private readonly onDatagram: (datagram: ReceivedDatagram) => void,
  ) {}

  async bind(port: number, address: string): Promise<void> {
    const {socket, logger} = this;
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, address, resolve);
    });
    socket.on('error', err => logger.warn({err}, 'UDP socket error'));
    socket.on('message', (payload, from) => this.receive(payload, from));
  }

  close(): Promise<void> {
    return new Promise(resolve => this.socket.close(() => resolve()));
  }

  send(address: string, port: number, message: Message): void {
    // The source of a datagram may be port 0, to which none can be sent.
    if (!isPort(port)) return;
    const payload = encodeMessage(message);
    this.counts.messagesOut += 1;
    this.counts.controlBytesOut += payload.length;
    this.socket.send(payload, port, address);
  }

  private receive(payload: Buffer, from: RemoteInfo): void {
    const message = decodeMessage(payload);
    if (message.isErr()) {
      this.logger.warn(
        {from, err: message.error},
        'malformed datagram dropped',
      );
      return;
    }
    const {address, port} = from;
    try {
      this.onDatagram({address, port, message: message.value});
    } catch (err) {
      const {type} = message.value;
      this.logger.error({from, type, err}, 'datagram could not be handled');
    }
  }
}
