/** One TCP connection between two nodes: handshake, framing and heartbeats. */

import type {Socket} from 'node:net';

import {Heartbeat, type HeartbeatTimes} from '@turmericmill/routing';
import {negotiateVersion} from '@turmericmill/membership';
import type {Clock} from '@turmericmill/utils';
import {
  encodeFrame,
  FrameReader,
  MAX_PROTOCOL_VERSION,
  MIN_PROTOCOL_VERSION,
  type GoodbyeReason,
  type Hello,
  type Message,
} from '@turmericmill/wire';

import type {Peer} from '../bus.js';
import {subtractWaitingTime} from '../calls/remaining-time.js';
import {
  ConnectionActivity,
  type CarriedCalls,
  type ConnectionEvidence,
} from './connection-activity.js';

/** Interval in ms at which connections check their heartbeat. */
export const HEARTBEAT_INTERVAL_MS = 100;
/** A connection is closed after its quiet time and two unanswered pings. */
export const HEARTBEAT_TIMES: Readonly<HeartbeatTimes> = {
  busyQuietMs: 200,
  idleQuietMs: 10_000,
  pongMs: 250,
};
/** Maximum size in bytes of the frames queued until the handshake. */
const MAX_QUEUED_BYTES = 16 * 1024 * 1024;

/**
 * Closed by the heartbeat: `forgotten` if the peer answers on another
 * connection, `unreachable` if it does not, `silent` if it was not probed on
 * another one. `goodbye`: either end sent a goodbye. `error`: the socket
 * failed. `ended`: the socket closed without a goodbye.
 */
export type CloseCause =
  'silent' | 'forgotten' | 'unreachable' | 'goodbye' | 'error' | 'ended';

/** Why a connection ended, and its state at that time. */
export interface ConnectionEnd extends ConnectionEvidence {
  cause: CloseCause;
}

/**
 * Nonce of a pong that answers no ping. It is sent while a long message
 * arrives, as a ping of the peer would be queued behind that message.
 */
const UNSOLICITED_NONCE = 0;

/** Callbacks of a connection. */
export interface ConnectionEvents {
  /** The handshake is complete. */
  opened(connection: PeerConnection): void;
  message(connection: PeerConnection, message: Message): void;
  closed(connection: PeerConnection, reason: string, end: ConnectionEnd): void;
  /** All buffered bytes have been sent. */
  drained?(connection: PeerConnection): void;
}

/** A message that is queued until the handshake is complete. */
interface QueuedMessage {
  message: Message;
  queuedAtMs: number;
}

/** Exact counts of outgoing messages, and of their bytes by kind. */
export interface TrafficCounts {
  controlBytesOut: number;
  callBytesOut: number;
  messagesOut: number;
}

const CALL_TYPES: ReadonlySet<string> = new Set([
  'callStart',
  'callData',
  'callWindow',
  'callCancel',
  'answerStart',
  'answerData',
  'answerWindow',
  'answerFailed',
]);

export class PeerConnection {
  /** Undefined until the hello of the other node has arrived. */
  peer: Peer | undefined;
  /** The intended peer, if known; the hello of another node is refused. */
  expectedNodeId: string | undefined;
  private readonly reader = new FrameReader();
  private queued: QueuedMessage[] = [];
  private queuedBytes = 0;
  private corked = false;
  private closed = false;
  private readonly heartbeat: Heartbeat;
  private readonly activity: ConnectionActivity;
  private nonce = 0;
  /** Time in ms at which each unanswered ping was sent, by nonce. */
  private readonly pendingPings = new Map<number, number>();
  /** Time in ms at which the latest answered ping was sent. */
  private answeredPingSentAtMs = -Infinity;
  /** Time in ms of the second ping, which is sent on entering `silent`. */
  private silentSinceMs = Infinity;

  constructor(
    private readonly socket: Socket,
    own: Hello,
    private readonly events: ConnectionEvents,
    private readonly counts: TrafficCounts,
    private readonly clock: Clock,
  ) {
    const now = clock.now();
    this.heartbeat = new Heartbeat(HEARTBEAT_TIMES, now);
    this.activity = new ConnectionActivity(HEARTBEAT_INTERVAL_MS, now);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', err => this.finish('error', err.message));
    socket.on('close', () => this.finish('ended', 'closed'));
    socket.on('drain', () => events.drained?.(this));
    this.write(encodeFrame({type: 'hello', body: own}));
  }

  /** The node at the other end, or before the handshake the intended one. */
  get nodeId(): string | undefined {
    return this.peer?.nodeId ?? this.expectedNodeId;
  }

  /** Bytes written that are still buffered in this process. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Calls in flight that started on this connection. */
  get calls(): CarriedCalls {
    return this.activity.calls;
  }

  /** True if an outgoing message belongs to a call on this connection. */
  carriesCallOf(message: Message): boolean {
    return this.activity.carriesCallOf(message);
  }

  /** True while new calls may use the connection. */
  get isUsable(): boolean {
    return this.heartbeat.usable;
  }

  /**
   * True if two pings are unanswered and the peer has not yet been probed over
   * another connection.
   */
  get needsProbeElsewhere(): boolean {
    return this.peer !== undefined && this.heartbeat.state === 'silent';
  }

  /** The peer is now being probed over another connection. */
  onProbedElsewhere(nowMs: number): void {
    this.heartbeat.probedElsewhere(nowMs);
  }

  /** Pings the peer immediately, as another connection to it is silent. */
  pingNow(nowMs: number): void {
    if (!this.peer) return;
    this.heartbeat.pingNow(nowMs);
    this.ping(nowMs);
  }

  /**
   * Handles evidence from another connection to the node. The node certainly
   * does not read this connection if it has answered a ping on the other one
   * that was sent after this one became silent, or if it has restarted.
   */
  onActivityElsewhere(other: PeerConnection, nowMs: number): void {
    const {peer} = other;
    if (!this.peer || !peer) return;
    const hasRestarted = peer.incarnation > this.peer.incarnation;
    const isSameIncarnation = peer.incarnation === this.peer.incarnation;
    const hasReadLater =
      isSameIncarnation && other.answeredPingSentAtMs >= this.silentSinceMs;
    if (hasRestarted || hasReadLater) this.heartbeat.answeredElsewhere(nowMs);
  }

  /** Sends a message, or queues it until the handshake is complete. */
  send(message: Message): void {
    if (this.closed) return;
    this.activity.recordSent(message);
    if (this.peer) {
      this.transmit(message);
      return;
    }
    if (message.type === 'callCancel') {
      this.dropQueuedCall(message.body.callId);
      return;
    }
    this.queued.push({message, queuedAtMs: this.clock.now()});
    this.queuedBytes += encodeFrame(message).length;
    if (this.queuedBytes > MAX_QUEUED_BYTES) {
      this.close('overload', 'Too many bytes are queued before the hello.');
    }
  }

  /** A call that is cancelled before the handshake is never sent. */
  private dropQueuedCall(callId: number): void {
    this.queued = this.queued.filter(({message}) => {
      const {type, body} = message;
      const isPartOfCall = type === 'callStart' || type === 'callData';
      return !isPartOfCall || body.callId !== callId;
    });
  }

  private transmit(message: Message): void {
    const frame = encodeFrame(message);
    this.countBytes(message, frame.length);
    this.write(frame);
  }

  /** Sends due pings; closes the connection if nothing follows the second. */
  checkHeartbeat(nowMs: number): void {
    this.heartbeat.postpone(this.activity.recordTick(nowMs));
    if (this.peer && this.activity.isOneWay) {
      this.send({type: 'pong', body: {nonce: UNSOLICITED_NONCE}});
    }
    if (this.activity.hasOwnCalls) this.heartbeat.sent(nowMs);
    const {state} = this.heartbeat;
    const effect = this.heartbeat.tick(nowMs);
    if (effect === 'replace') {
      this.socket.destroy();
      const isProbedElsewhere =
        state === 'forgotten' || state === 'unreachable';
      this.finish(isProbedElsewhere ? state : 'silent', 'silent');
      return;
    }
    if (effect !== 'ping' || !this.peer) return;
    if (this.heartbeat.state === 'silent') this.silentSinceMs = nowMs;
    this.ping(nowMs);
  }

  private ping(nowMs: number): void {
    this.nonce += 1;
    this.pendingPings.set(this.nonce, nowMs);
    this.send({type: 'ping', body: {nonce: this.nonce}});
  }

  /** Records that bytes have arrived, even if no message is complete. */
  onBytes(nowMs: number): void {
    this.heartbeat.received(this.activity.hasOwnCalls, nowMs);
  }

  /** Sends a goodbye with the reason and closes once all data is sent. */
  close(reason: GoodbyeReason, detail: string): void {
    if (this.closed) return;
    this.write(encodeFrame({type: 'goodbye', body: {reason, detail}}));
    this.socket.end();
    this.finish('goodbye', `${reason}: ${detail}`);
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    const now = this.clock.now();
    this.activity.recordBytes(chunk.length, now);
    this.onBytes(now);
    const messages = this.reader.push(chunk);
    if (messages.isErr()) {
      this.close('malformed', messages.error.message);
      return;
    }
    for (const message of messages.value) this.handleMessage(message);
  }

  private handleMessage(message: Message): void {
    if (this.closed) return;
    this.activity.recordReceived(message, this.clock.now());
    if (!this.peer) {
      this.handleHandshake(message);
    } else if (message.type === 'ping') {
      this.send({type: 'pong', body: message.body});
      this.events.message(this, message);
    } else if (message.type === 'pong') {
      this.handlePong(message.body.nonce);
      this.events.message(this, message);
    } else if (message.type === 'goodbye') {
      this.socket.end();
      const {reason, detail} = message.body;
      this.finish('goodbye', `goodbye: ${reason}: ${detail}`);
    } else {
      this.events.message(this, message);
    }
  }

  private handlePong(nonce: number): void {
    const sentAtMs = this.pendingPings.get(nonce);
    if (sentAtMs === undefined) return;
    for (const pendingNonce of [...this.pendingPings.keys()]) {
      if (pendingNonce <= nonce) this.pendingPings.delete(pendingNonce);
    }
    this.answeredPingSentAtMs = sentAtMs;
    const now = this.clock.now();
    this.heartbeat.answered(now - sentAtMs, now);
  }

  private handleHandshake(message: Message): void {
    if (message.type === 'goodbye') {
      this.socket.end();
      const {reason, detail} = message.body;
      this.finish('goodbye', `refused: ${reason}: ${detail}`);
      return;
    }
    if (message.type !== 'hello') {
      this.close('malformed', `Expected hello, but received ${message.type}.`);
      return;
    }
    const {minVersion, maxVersion, ...peer} = message.body;
    const version = negotiateVersion(
      MIN_PROTOCOL_VERSION,
      MAX_PROTOCOL_VERSION,
      {
        minVersion,
        maxVersion,
      },
    );
    if (version.isErr()) {
      this.close(version.error.reason, version.error.detail);
      return;
    }
    const {expectedNodeId} = this;
    if (expectedNodeId !== undefined && expectedNodeId !== peer.nodeId) {
      this.close(
        'unexpected',
        `Expected node ${expectedNodeId}, but connected to ${peer.nodeId}.`,
      );
      return;
    }
    this.peer = peer;
    const now = this.clock.now();
    const {queued} = this;
    this.queued = [];
    for (const {message, queuedAtMs} of queued) {
      this.transmit(subtractTimeQueued(message, queuedAtMs, now));
    }
    this.events.opened(this);
  }

  /** Corks the socket to send frames of one event loop turn in one segment. */
  private write(frame: Buffer): void {
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      process.nextTick(() => {
        this.corked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(frame);
  }

  private countBytes(message: Message, bytes: number): void {
    this.counts.messagesOut += 1;
    if (CALL_TYPES.has(message.type)) this.counts.callBytesOut += bytes;
    else this.counts.controlBytesOut += bytes;
  }

  private finish(cause: CloseCause, reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.queued = [];
    const evidence = this.activity.evidence(
      this.reader.pendingBytes,
      this.socket.writableLength,
      this.clock.now(),
    );
    this.events.closed(this, reason, {cause, ...evidence});
  }
}

/** Subtracts the time since `queuedAtMs` from the remaining time of a call. */
function subtractTimeQueued(
  message: Message,
  queuedAtMs: number,
  nowMs: number,
): Message {
  if (message.type !== 'callStart') return message;
  const body = {
    ...subtractWaitingTime(message.body, nowMs - queuedAtMs),
    sentMs: nowMs,
  };
  return {...message, body};
}
