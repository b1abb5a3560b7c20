/** Owns the node's TCP and UDP sockets for traffic with other nodes. */

import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import {AcceptLimiter} from '@turmericmill/membership';
import type {Clock} from '@turmericmill/utils';
import {
  encodeFrame,
  type Hello,
  type MemberRecord,
  type Message,
} from '@turmericmill/wire';
import type Logger from 'bunyan';

import type {Bus, LostCalls, Peer} from '../bus.js';
import {Task} from '../task.js';
import {continuesCall} from './connection-activity.js';
import {ConnectionTable} from './connection-table.js';
import {DatagramSocket} from './datagram-socket.js';
import {
  HEARTBEAT_INTERVAL_MS,
  PeerConnection,
  type CloseCause,
  type ConnectionEnd,
  type ConnectionEvents,
  type TrafficCounts,
} from './peer-connection.js';
import {whenClosed, whenSent} from './socket-events.js';

const DEFAULT_ACCEPTS_PER_SECOND = 200;
/** Number of connections to one node at which no further one is opened. */
const MAX_CONNECTIONS_PER_NODE = 3;
/** Time in ms to send queued data at shutdown, unless a deadline is given. */
const DEFAULT_FLUSH_MS = 1_000;
/** Time in ms for peers to read the sent data and close their side. */
const LINGER_MS = 300;

/** Address, identity and connection limits of a node. */
export interface TransportOptions {
  /** IP address and port for TCP and UDP; port 0 selects a free one. */
  address: string;
  port: number;
  hello: Hello;
  /** Connections accepted per second, 200 by default; bursts of twice that. */
  acceptsPerSecond?: number;
  /** Maximum number of open connections that other nodes have opened. */
  maxConnections?: number;
}

/** Sends and receives messages, usually over one connection per node. */
export class TransportTask extends Task implements ConnectionEvents {
  readonly counts: TrafficCounts = {
    controlBytesOut: 0,
    callBytesOut: 0,
    messagesOut: 0,
  };
  /** Closed connections whose handshake was complete, by cause. */
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
  private readonly datagrams: DatagramSocket;
  private readonly connections = new ConnectionTable();
  private readonly sockets = new Set<Socket>();
  private readonly connectionByAddress = new Map<string, PeerConnection>();
  private members = new Map<string, MemberRecord>();
  private readonly acceptLimiter: AcceptLimiter;
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
    this.datagrams = new DatagramSocket(this.counts, logger, datagram => {
      bus.publish('datagram', datagram);
    });
    if (maxConnections !== undefined) {
      this.server.maxConnections = maxConnections;
    }
    this.acceptLimiter = new AcceptLimiter(
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
      this.datagrams.send(address, port, message);
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
    await this.datagrams.bind(this.port, address);
    // Immediates run after socket reads, so data that has already arrived is
    // handled before the heartbeat is checked.
    this.timer = setInterval(() => {
      setImmediate(() => this.checkHeartbeats());
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Sends a goodbye and all queued data, at the latest until `deadlineMs`. */
  override stop(
    deadlineMs = this.clock.now() + DEFAULT_FLUSH_MS,
  ): Promise<void> {
    this.stopped ??= this.flushAndClose(deadlineMs);
    return this.stopped;
  }

  private async flushAndClose(deadlineMs: number): Promise<void> {
    clearInterval(this.timer);
    const closed = new Promise(resolve => this.server.close(resolve));
    for (const connection of this.connections) {
      connection.close('shutdown', 'The node is stopping.');
    }
    await this.waitFor(deadlineMs, [...this.sockets].map(whenSent));
    const lingerUntilMs = Math.min(this.clock.now() + LINGER_MS, deadlineMs);
    await this.waitFor(lingerUntilMs, [...this.sockets].map(whenClosed));
    for (const socket of this.sockets) socket.destroy();
    await this.datagrams.close();
    await closed;
  }

  /** Resolves once all promises have resolved, or at the deadline. */
  private async waitFor(
    deadlineMs: number,
    promises: readonly Promise<void>[],
  ): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const deadline = new Promise<void>(resolve => {
      const remainingMs = Math.max(0, deadlineMs - this.clock.now());
      timer = setTimeout(resolve, remainingMs);
    });
    await Promise.race([Promise.all(promises), deadline]);
    clearTimeout(timer);
  }

  opened(connection: PeerConnection): void {
    const {peer} = connection;
    if (!peer) return;
    const preferred = this.connections.findPreferred(peer.nodeId)?.peer;
    if (preferred && preferred.incarnation > peer.incarnation) {
      connection.close('unexpected', 'A later incarnation is connected.');
      return;
    }
    this.connections.prefer(peer.nodeId, connection);
    this.logger.debug({peer}, 'peer connected');
    const others = this.connections.findAll(peer.nodeId);
    if (others.every(({isUsable}) => isUsable)) return;
    connection.pingNow(this.clock.now());
    this.notifyOtherConnections(connection);
  }

  message(connection: PeerConnection, message: Message): void {
    if (message.type === 'pong') this.notifyOtherConnections(connection);
    const {peer} = connection;
    if (!peer) return;
    try {
      this.bus.publishPeerMessage(peer, message);
    } catch (err) {
      // An error in one message must not end the other connections.
      const {type} = message;
      this.logger.error({peer, type, err}, 'message could not be handled');
      connection.close('malformed', `A ${type} message could not be handled.`);
    }
  }

  drained({nodeId}: PeerConnection): void {
    if (nodeId !== undefined) this.bus.publish('peer-drained', {nodeId});
  }

  /** Bytes of all messages to other nodes since the start. */
  get sentBytes(): number {
    return this.counts.controlBytesOut + this.counts.callBytesOut;
  }

  /** Bytes buffered for a message's call, or in all connections without one. */
  unsentBytes(peer?: Peer, message?: Message): number {
    const {connections} = this;
    if (!peer || !message) {
      return [...connections].reduce((sum, c) => sum + c.unsentBytes, 0);
    }
    const {nodeId, incarnation} = peer;
    return (
      connections.findCarrying(nodeId, message, incarnation)?.unsentBytes ?? 0
    );
  }

  closed(connection: PeerConnection, reason: string, end: ConnectionEnd): void {
    this.connections.remove(connection);
    this.removeAddress(connection);
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

  /** Lets the next use of the address open another connection. */
  private removeAddress(connection: PeerConnection): void {
    for (const [key, value] of this.connectionByAddress) {
      if (value === connection) this.connectionByAddress.delete(key);
    }
  }

  /** Reports all calls as lost, or only `calls` if a connection remains. */
  private publishLost(nodeId: string, opened: boolean, calls: LostCalls): void {
    const isLast = this.connections.findAll(nodeId).length === 0;
    const lost = {nodeId, opened, ...(!isLast && {calls})};
    this.bus.publish('peer-lost', lost);
  }

  /**
   * Refuses excess connections before any hello, so that the peer knows that no
   * call has run.
   */
  private accept(socket: Socket): void {
    this.track(socket);
    if (this.acceptLimiter.accept(this.clock.now())) {
      this.createConnection(socket);
      return;
    }
    const body = {
      reason: 'overload',
      detail: 'Too many new connections at once.',
    } as const;
    socket.on('error', () => socket.destroy());
    socket.end(encodeFrame({type: 'goodbye', body}));
    socket.resume();
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private createConnection(socket: Socket): PeerConnection {
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
      // If the connection has closed, its calls were reported as lost.
      this.connections
        .findCarrying(nodeId, message, incarnation)
        ?.send(message);
      return;
    }
    const usable = this.connections.findUsable(nodeId);
    if (
      incarnation !== undefined &&
      usable?.peer?.incarnation !== incarnation
    ) {
      return;
    }
    const {type, body} = message;
    const isCall = type === 'callStart';
    // No new call uses a silent connection: if it is closed, it is unknown
    // whether its calls have run.
    const fallback = isCall
      ? undefined
      : this.connections.findPreferred(nodeId);
    const connection = usable ?? this.connectToMember(nodeId) ?? fallback;
    if (connection) {
      connection.send(message);
      return;
    }
    const own = new Set(isCall ? [body.callId] : []);
    this.publishLost(nodeId, false, {own, theirs: new Set()});
  }

  /**
   * Returns undefined if the transport is stopping, if the address is unknown
   * or belongs to another node, or if too many connections to the node are
   * open.
   */
  private connectToMember(nodeId: string): PeerConnection | undefined {
    const member = this.members.get(nodeId);
    if (!member || this.stopped) return undefined;
    const {address, port} = member;
    const isFull =
      this.connections.findAll(nodeId).length >= MAX_CONNECTIONS_PER_NODE;
    if (isFull && !this.connectionByAddress.has(addressKey(address, port))) {
      return undefined;
    }
    const connection = this.connectTo(address, port);
    if (connection.nodeId === undefined) connection.expectedNodeId = nodeId;
    return connection.nodeId === nodeId ? connection : undefined;
  }

  private connectTo(address: string, port: number): PeerConnection {
    const key = addressKey(address, port);
    const existing = this.connectionByAddress.get(key);
    if (existing) return existing;
    const socket = connect(port, address);
    this.track(socket);
    const connection = this.createConnection(socket);
    this.connectionByAddress.set(key, connection);
    return connection;
  }

  private checkHeartbeats(): void {
    const now = this.clock.now();
    for (const connection of this.connections) {
      connection.checkHeartbeat(now);
      if (connection.needsProbeElsewhere) this.probeElsewhere(connection, now);
    }
  }

  /**
   * Pings the peer of a silent connection over another one. This distinguishes
   * a broken connection from a peer that is slow on all of them, for example
   * because its process is starved.
   */
  private probeElsewhere(silent: PeerConnection, nowMs: number): void {
    const {nodeId, peer} = silent;
    if (nodeId === undefined || !peer) return;
    const others = this.connections.findAll(nodeId);
    const usable = others.find(
      other =>
        other.isUsable &&
        other.peer !== undefined &&
        other.peer.incarnation >= peer.incarnation,
    );
    this.removeAddress(silent);
    silent.onProbedElsewhere(nowMs);
    if (usable) {
      usable.pingNow(nowMs);
      silent.onActivityElsewhere(usable, nowMs);
    } else {
      this.connectToMember(nodeId);
    }
  }

  /** Notifies the other connections to the node of activity on this one. */
  private notifyOtherConnections(connection: PeerConnection): void {
    const now = this.clock.now();
    for (const other of this.connections.findAll(connection.nodeId ?? '')) {
      if (other !== connection) other.onActivityElsewhere(connection, now);
    }
  }
}

function addressKey(address: string, port: number): string {
  return `${address}:${port}`;
}
