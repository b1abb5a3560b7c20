/** Lets the requests of each caller's connection be passed on in their turn. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {CallerServer} from '@turmericmill/node';

import {PipelineOrder} from './pipeline-order.js';

/** Unanswered requests of a connection from which it is not read further. */
const MAX_OPEN_REQUESTS = 16;

/** Settles whether a request may be passed on. */
type Settle = (mayPass: boolean) => void;

interface Connection {
  order: PipelineOrder<ServerResponse>;
  waiting: Map<ServerResponse, Settle>;
}

export class RequestTurns {
  private readonly connections = new Map<Socket, Connection>();

  constructor(private readonly server: CallerServer) {}

  /** Adds a request in the order of arrival. */
  add(
    {socket, httpVersion}: IncomingMessage,
    res: ServerResponse,
    repeatable: boolean,
  ): void {
    const connection = this.connectionOf(socket);
    // An answer of unknown length ends a connection of HTTP/1.0.
    const mayShare = repeatable && httpVersion !== '1.0';
    connection.order.add(res, mayShare);
    this.server.hold(socket, res);
    if (connection.order.size >= MAX_OPEN_REQUESTS) socket.pause();
    res.once('close', () => this.remove(socket, connection, res));
  }

  /**
   * Resolves with true when the request may be passed on, and with false if
   * its connection closes first. Each request waits once, after `add`.
   */
  wait(socket: Socket, res: ServerResponse): Promise<boolean> {
    const connection = this.connections.get(socket);
    if (!connection) return Promise.resolve(false);
    return new Promise(resolve => {
      connection.waiting.set(res, resolve);
      connection.order.wait(res);
      this.passNext(socket, connection);
    });
  }

  private connectionOf(socket: Socket): Connection {
    const known = this.connections.get(socket);
    if (known) return known;
    const order = new PipelineOrder<ServerResponse>();
    const connection: Connection = {order, waiting: new Map()};
    this.connections.set(socket, connection);
    // Each request listens for the end of the connection.
    socket.setMaxListeners(0);
    // Node.js resumes reading with each request that is read to its end.
    socket.on('resume', () => {
      if (order.size >= MAX_OPEN_REQUESTS) socket.pause();
    });
    socket.once('close', () => {
      this.connections.delete(socket);
      for (const settle of connection.waiting.values()) settle(false);
      connection.waiting.clear();
    });
    return connection;
  }

  private remove(
    socket: Socket,
    connection: Connection,
    res: ServerResponse,
  ): void {
    const {order, waiting} = connection;
    order.remove(res);
    waiting.get(res)?.(false);
    waiting.delete(res);
    this.passNext(socket, connection);
    if (order.size === MAX_OPEN_REQUESTS - 1) socket.resume();
  }

  private passNext(socket: Socket, {order, waiting}: Connection): void {
    // The answer before has closed the connection.
    if (socket.destroyed || socket.writableEnded) return;
    const {server} = this;
    const next = server.isDraining
      ? order.nextLast(({req}) => req.complete)
      : order.next();
    for (const res of next) {
      waiting.get(res)?.(server.pass(socket, res));
      waiting.delete(res);
    }
  }
}
