/** Owns the node's TCP and UDP sockets towards other nodes. */

import {createSocket, type Socket as UdpSocket} from 'node:dgram';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import {AcceptLimiter} from '@turmericmill/membership';
import type {Clock} from '@turmericmill/utils';
import {
  decodeMessage,
  encodeFrame,
  encodeMessage,
  type Hello,
  type MemberRecord,
  type Message,
} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus, LostCalls} from '../bus.js';
import {Task} from '../task.js';
import {continuesCall} from './connection-activity.js';
import {ConnectionTable} from './connection-table.js';
import {
  HEARTBEAT_INTERVAL_MS,
  PeerConnection,
  type CloseCause,
  type ConnectionEnd,
  type ConnectionEvents,
  type TrafficCounts,
} from './peer-connection.js';

const DEFAULT_ACCEPTS_PER_SECOND = 200;
/** Connections to one node beyond which no other is opened. */
const MAX_CONNECTIONS = 3;
/** Time in ms in which what is queued leaves, if a shutdown sets none. */
const SEND_REST_MS = 1_000;
/** Time in ms in which peers read what was sent and close on their side. */
const LINGER_MS = 300;

/** What the transport needs to know of its node. */
export interface TransportOptions {
  /** IP number and port for TCP and UDP; port 0 picks a free one. */
  address: string;
  port: number;
  hello: Hello;
  /** Connections taken in a second, 200 if left out; twice as many at once. */
  acceptsPerSecond?: number;
  /** Connections held at once that other nodes have opened. */
  maxConnections?: number;
}

/** Sends and receives messages, as a rule over one connection a node. */
export class TransportTask extends Task implements ConnectionEvents {
  readonly counts: TrafficCounts = {
    controlBytesOut: 0,
    callBytesOut: 0,
    messagesOut: 0,
  };
  /** Connections to known nodes that have ended. */
  readonly closedCounts: Record<CloseCause, number> = {
    silent: 0,
    forgotten: 0,
    unreachable: 0,
    goodbye: 0,
    error: 0,
    ended: 0,
  };
  /** The port in use, once started. */
  port = 0;
  private readonly server = createServer(socket => this.accept(socket));
  private readonly udp: UdpSocket = createSocket('udp4');
  private readonly connections = new ConnectionTable();
  private readonly sockets = new Set<Socket>();
  private readonly byAddress = new Map<string, PeerConnection>();
  private members = new Map<string, MemberRecord>();
  private readonly accepts: AcceptLimiter;
  private stopped: Promise<void> | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly options: TransportOptions,
    private readonly bus: Bus,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    const {acceptsPerSecond = DEFAULT_ACCEPTS_PER_SECOND} = options;
    const {maxConnections} = options;
    if (maxConnections !== undefined) {
      this.server.maxConnections = maxConnections;
    }
    this.accepts = new AcceptLimiter(
      clock.now(),
      acceptsPerSecond,
      2 * acceptsPerSecond,
    );
    bus.subscribe('send-peer', ({nodeId, incarnation, message}) => {
      this.sendPeer(nodeId, message, incarnation);
    });
    bus.subscribe('send-address', ({address, port, message}) => {
      if (this.stopped) return;
      this.connectTo(address, port).send(message);
    });
    bus.subscribe('send-datagram', ({address, port, message}) => {
      this.sendDatagram(address, port, message);
    });
    bus.subscribe('view-changed', ({members}) => {
      this.members = new Map(members.map(member => [member.id, member]));
    });
  }

  override async start(): Promise<void> {
    const {address, port} = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, resolve);
    });
    this.port = (this.server.address() as AddressInfo).port;
    await new Promise<void>((resolve, reject) => {
      this.udp.once('error', reject);
      this.udp.bind(this.port, address, resolve);
    });
    this.udp.on('error', err => this.logger.warn({err}, 'datagram error'));
    this.udp.on('message', (payload, from) => {
      const message = decodeMessage(payload);
      if (message.isErr()) {
        this.logger.warn({from, err: message.error}, 'malformed datagram');
        return;
      }
      this.bus.publish('datagram', {
        address: from.address,
        port: from.port,
        message: message.value,
      });
    });
    // Immediates run after reads: what has arrived by then is heard first.
    this.timer = setInterval(() => {
      setImmediate(() => this.heartbeat());
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Says goodbye; sends what is queued, at the latest until `deadlineMs`. */
  override stop(deadlineMs = this.clock.now() + SEND_REST_MS): Promise<void> {
    this.stopped ??= this.sendRest(deadlineMs);
    return this.stopped;
  }

  private async sendRest(deadlineMs: number): Promise<void> {
    clearInterval(this.timer);
    const closed = new Promise(resolve => this.server.close(resolve));
    for (const connection of this.connections) {
      connection.close('shutdown', 'The node is stopping.');
    }
    await this.until(deadlineMs, [...this.sockets].map(whenSent));
    const lingerMs = Math.min(this.clock.now() + LINGER_MS, deadlineMs);
    await this.until(lingerMs, [...this.sockets].map(whenClosed));
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>(resolve => this.udp.close(() => resolve()));
    await closed;
  }

  private async until(
    deadlineMs: number,
    ends: readonly Promise<void>[],
  ): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const tooLate = new Promise<void>(resolve => {
      const leftMs = Math.max(0, deadlineMs - this.clock.now());
      timer = setTimeout(resolve, leftMs);
    });
    await Promise.race([Promise.all(ends), tooLate]);
    clearTimeout(timer);
  }

  opened(connection: PeerConnection): void {
    const {peer} = connection;
    if (!peer) return;
    const known = this.connections.latestTo(peer.nodeId)?.peer;
    if (known && known.incarnation > peer.incarnation) {
      connection.close('unexpected', 'A later incarnation is connected.');
      return;
    }
    this.connections.prefer(peer.nodeId, connection);
    this.logger.debug({peer}, 'peer connected');
    const others = this.connections.toNode(peer.nodeId);
    if (others.every(({usable}) => usable)) return;
    connection.challenge(this.clock.now());
    this.witness(connection);
  }

  message(connection: PeerConnection, message: Message): void {
    if (message.type === 'pong') this.witness(connection);
    if (connection.peer) this.bus.publishPeerMessage(connection.peer, message);
  }

  closed(connection: PeerConnection, reason: string, end: ConnectionEnd): void {
    this.connections.remove(connection);
    this.forgetAddress(connection);
    const {nodeId, peer, calls} = connection;
    if (nodeId === undefined) return;
    if (peer) {
      this.closedCounts[end.cause] += 1;
      this.logger.info(
        {peerId: nodeId, reason, ...end},
        'peer connection closed',
      );
    }
    const {incarnation} = peer ?? {};
    const lost = {...calls, ...(incarnation !== undefined && {incarnation})};
    this.publishLost(nodeId, peer !== undefined, lost);
  }

  /** Another connection is opened when the address is used next. */
  private forgetAddress(connection: PeerConnection): void {
    for (const [key, value] of this.byAddress) {
      if (value === connection) this.byAddress.delete(key);
    }
  }

  /** Calls that go over other connections to the node are not touched. */
  private publishLost(nodeId: string, opened: boolean, calls: LostCalls): void {
    const isLast = this.connections.toNode(nodeId).length === 0;
    const lost = {nodeId, opened, ...(!isLast && {calls})};
    this.bus.publish('peer-lost', lost);
  }

  /** Refuses before any hello, so that the other end knows nothing has run. */
  private accept(socket: Socket): void {
    this.track(socket);
    if (this.accepts.accept(this.clock.now())) {
      this.adopt(socket);
      return;
    }
    const body = {reason: 'overload', detail: 'Too many at once.'} as const;
    socket.on('error', () => socket.destroy());
    socket.end(encodeFrame({type: 'goodbye', body}));
    socket.resume();
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private adopt(socket: Socket): PeerConnection {
    const {hello} = this.options;
    const connection = new PeerConnection(
      socket,
      hello,
      this,
      this.counts,
      this.clock,
    );
    this.connections.add(connection);
    return connection;
  }

  private sendPeer(
    nodeId: string,
    message: Message,
    incarnation?: number,
  ): void {
    if (continuesCall(message)) {
      // Without a connection the call has been reported as lost.
      this.connections.carrying(nodeId, message, incarnation)?.send(message);
      return;
    }
    const open = this.connections.usableTo(nodeId);
    if (incarnation !== undefined && open?.peer?.incarnation !== incarnation) {
      return;
    }
    const {type, body} = message;
    const isCall = type === 'callStart';
    // Calls that a silent connection took might have run when it is given up.
    const silent = isCall ? undefined : this.connections.latestTo(nodeId);
    const connection = open ?? this.connectToMember(nodeId) ?? silent;
    if (connection) {
      connection.send(message);
      return;
    }
    const own = new Set(isCall ? [body.callId] : []);
    this.publishLost(nodeId, false, {own, theirs: new Set()});
  }

  /**
   * Undefined when the address is unknown or leads to another node, or when too
   * many connections to the node are open.
   */
  private connectToMember(nodeId: string): PeerConnection | undefined {
    const member = this.members.get(nodeId);
    if (!member || this.stopped) return undefined;
    const {address, port} = member;
    const isFull = this.connections.toNode(nodeId).length >= MAX_CONNECTIONS;
    if (isFull && !this.byAddress.has(addressKey(address, port))) {
      return undefined;
    }
    const connection = this.connectTo(address, port);
    if (connection.nodeId === undefined) connection.expectedNodeId = nodeId;
    return connection.nodeId === nodeId ? connection : undefined;
  }

  private connectTo(address: string, port: number): PeerConnection {
    const key = addressKey(address, port);
    const open = this.byAddress.get(key);
    if (open) return open;
    const socket = connect(port, address);
    this.track(socket);
    const connection = this.adopt(socket);
    this.byAddress.set(key, connection);
    return connection;
  }

  private sendDatagram(address: string, port: number, message: Message): void {
    const payload = encodeMessage(message);
    this.counts.messagesOut += 1;
    this.counts.controlBytesOut += payload.length;
    this.udp.send(payload, port, address);
  }

  private heartbeat(): void {
    const now = this.clock.now();
    for (const connection of this.connections) {
      connection.heartbeat(now);
      if (connection.needsWitness) this.askElsewhere(connection, now);
    }
  }

  /**
   * A silent connection tells nothing of its peer, which may be starved, and a
   * peer that lives tells nothing of the connection: the peer is asked again
   * over another one.
   */
  private askElsewhere(silent: PeerConnection, nowMs: number): void {
    const {nodeId, peer} = silent;
    if (nodeId === undefined || !peer) return;
    const others = this.connections.toNode(nodeId);
    const open = others.find(
      other =>
        other.usable &&
        other.peer !== undefined &&
        other.peer.incarnation >= peer.incarnation,
    );
    this.forgetAddress(silent);
    silent.askedElsewhere(nowMs);
    if (open) {
      open.challenge(nowMs);
      silent.witnessed(open, nowMs);
    } else {
      this.connectToMember(nodeId);
    }
  }

  /** Tells the other connections to the node what came over this one. */
  private witness(connection: PeerConnection): void {
    const now = this.clock.now();
    for (const other of this.connections.toNode(connection.nodeId ?? '')) {
      if (other !== connection) other.witnessed(connection, now);
    }
  }
}

function addressKey(address: string, port: number): string {
  return `${address}:${port}`;
}

/** Resolves once all that was written has left the process, or is lost. */
function whenSent(socket: Socket): Promise<void> {
  if (socket.writableFinished) return Promise.resolve();
  return new Promise(resolve => {
    socket.once('finish', resolve);
    socket.once('close', () => resolve());
  });
}

function whenClosed(socket: Socket): Promise<void> {
  return new Promise(resolve => socket.once('close', () => resolve()));
}
