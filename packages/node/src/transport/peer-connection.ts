/** One TCP connection between two nodes: handshake, frames, heartbeats. */

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

/** Interval in ms at which heartbeats look whether they are due. */
export const HEARTBEAT_INTERVAL_MS = 100;
/** A connection is given up after its quiet time and two waits for a pong. */
export const HEARTBEAT_TIMES: Readonly<HeartbeatTimes> = {
  busyQuietMs: 200,
  idleQuietMs: 10_000,
  pongMs: 250,
};
/** Frames kept in bytes until the handshake is done. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/**
 * Given up by its heartbeat as `forgotten` if the peer answers on another
 * connection, as `unreachable` if it does not, as `silent` if it was not asked.
 * `goodbye`: from either end.
 */
export type CloseCause =
  'silent' | 'forgotten' | 'unreachable' | 'goodbye' | 'error' | 'ended';

/** How a connection ended, and what it had carried until then. */
export interface ConnectionEnd extends ConnectionEvidence {
  cause: CloseCause;
}

/**
 * Nonce of a pong that answers no ping. A peer that sends a long message can't
 * be heard asking, as its ping waits behind that message.
 */
const UNASKED_NONCE = 0;

/** What a connection tells its owner. */
export interface ConnectionEvents {
  opened(connection: PeerConnection): void;
  message(connection: PeerConnection, message: Message): void;
  closed(connection: PeerConnection, reason: string, end: ConnectionEnd): void;
}

/** A message that waits for the handshake. */
interface Unsent {
  message: Message;
  atMs: number;
}

/** Exact counts of bytes on control messages and on calls. */
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

/** A connection; `peer` is known once the other side's hello has arrived. */
export class PeerConnection {
  peer: Peer | undefined;
  /** The node that was meant; another one is refused. */
  expectedNodeId: string | undefined;
  private readonly reader = new FrameReader();
  private unsent: Unsent[] = [];
  private unsentBytes = 0;
  private corked = false;
  private closed = false;
  private readonly beat: Heartbeat;
  private readonly activity: ConnectionActivity;
  private nonce = 0;
  /** Times in ms at which pings were sent that have no answer, by nonce. */
  private readonly pings = new Map<number, number>();
  /** Time in ms at which the latest ping that was answered was sent. */
  private answeredPingMs = -Infinity;
  private silentSinceMs = Infinity;

  constructor(
    private readonly socket: Socket,
    own: Hello,
    private readonly events: ConnectionEvents,
    private readonly counts: TrafficCounts,
    private readonly clock: Clock,
  ) {
    const now = clock.now();
    this.beat = new Heartbeat(HEARTBEAT_TIMES, now);
    this.activity = new ConnectionActivity(HEARTBEAT_INTERVAL_MS, now);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', err => this.finish('error', err.message));
    socket.on('close', () => this.finish('ended', 'closed'));
    this.write(encodeFrame({type: 'hello', body: own}));
  }

  /** The node at the other end, or the one that is meant. */
  get nodeId(): string | undefined {
    return this.peer?.nodeId ?? this.expectedNodeId;
  }

  /** Calls that have begun here and have not ended. */
  get calls(): CarriedCalls {
    return this.activity.calls;
  }

  /** True if the call of a message that is to be sent began here. */
  carries(message: Message): boolean {
    return this.activity.carries(message);
  }

  /** True while new calls may go over the connection. */
  get usable(): boolean {
    return this.beat.usable;
  }

  /** True if two pings are out and the peer has not been asked elsewhere. */
  get needsWitness(): boolean {
    return this.peer !== undefined && this.beat.state === 'silent';
  }

  /** The peer is asked over another connection. */
  askedElsewhere(nowMs: number): void {
    this.beat.askedElsewhere(nowMs);
  }

  /** Asks the peer at once, as another connection to it is silent. */
  challenge(nowMs: number): void {
    if (!this.peer) return;
    this.beat.pingNow(nowMs);
    this.ping(nowMs);
  }

  /**
   * Another connection to the node has brought something. The node is sure not
   * to read this one if it has read there what was sent later, or if it is
   * another incarnation of it.
   */
  witnessed(other: PeerConnection, nowMs: number): void {
    const {peer} = other;
    if (!this.peer || !peer) return;
    const isLater = peer.incarnation > this.peer.incarnation;
    const isSame = peer.incarnation === this.peer.incarnation;
    const hasRead = isSame && other.answeredPingMs >= this.silentSinceMs;
    if (isLater || hasRead) this.beat.answeredElsewhere(nowMs);
  }

  /** Queues a message until the handshake is done, then sends it. */
  send(message: Message): void {
    if (this.closed) return;
    this.activity.sent(message);
    if (this.peer) {
      this.transmit(message);
      return;
    }
    if (message.type === 'callCancel') {
      this.withdraw(message.body.callId);
      return;
    }
    this.unsent.push({message, atMs: this.clock.now()});
    this.unsentBytes += encodeFrame(message).length;
    if (this.unsentBytes > MAX_UNSENT_BYTES) this.close('overload', 'No hello');
  }

  /** A call that is cancelled before the handshake never leaves. */
  private withdraw(callId: number): void {
    this.unsent = this.unsent.filter(({message}) => {
      const {type, body} = message;
      const ofCall = type === 'callStart' || type === 'callData';
      return !ofCall || body.callId !== callId;
    });
  }

  private transmit(message: Message): void {
    const frame = encodeFrame(message);
    this.count(message, frame.length);
    this.write(frame);
  }

  /** Sends a ping when one is due; gives up when none was answered. */
  heartbeat(nowMs: number): void {
    this.beat.postpone(this.activity.beat(nowMs));
    if (this.peer && this.activity.isOneWay) {
      this.send({type: 'pong', body: {nonce: UNASKED_NONCE}});
    }
    if (this.activity.busy) this.beat.sent(nowMs);
    const {state} = this.beat;
    const effect = this.beat.tick(nowMs);
    if (effect === 'replace') {
      this.socket.destroy();
      const isJudged = state === 'forgotten' || state === 'unreachable';
      this.finish(isJudged ? state : 'silent', 'silent');
      return;
    }
    if (effect !== 'ping' || !this.peer) return;
    if (this.beat.state === 'silent') this.silentSinceMs = nowMs;
    this.ping(nowMs);
  }

  private ping(nowMs: number): void {
    this.nonce += 1;
    this.pings.set(this.nonce, nowMs);
    this.send({type: 'ping', body: {nonce: this.nonce}});
  }

  /** Notes that bytes have arrived; they need not make a whole message. */
  heard(nowMs: number): void {
    this.beat.received(this.activity.busy, nowMs);
  }

  /** Says why and closes once all is sent. */
  close(reason: GoodbyeReason, detail: string): void {
    if (this.closed) return;
    this.write(encodeFrame({type: 'goodbye', body: {reason, detail}}));
    this.socket.end();
    this.finish('goodbye', `${reason}: ${detail}`);
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    const now = this.clock.now();
    this.activity.bytesReceived(chunk.length, now);
    this.heard(now);
    const messages = this.reader.push(chunk);
    if (messages.isErr()) {
      this.close('malformed', messages.error.message);
      return;
    }
    for (const message of messages.value) this.take(message);
  }

  private take(message: Message): void {
    if (this.closed) return;
    this.activity.received(message, this.clock.now());
    if (!this.peer) {
      this.greet(message);
    } else if (message.type === 'ping') {
      this.send({type: 'pong', body: message.body});
      this.events.message(this, message);
    } else if (message.type === 'pong') {
      this.takePong(message.body.nonce);
      this.events.message(this, message);
    } else if (message.type === 'goodbye') {
      this.socket.end();
      const {reason, detail} = message.body;
      this.finish('goodbye', `goodbye: ${reason}: ${detail}`);
    } else {
      this.events.message(this, message);
    }
  }

  private takePong(nonce: number): void {
    const sentMs = this.pings.get(nonce);
    if (sentMs === undefined) return;
    for (const other of [...this.pings.keys()]) {
      if (other <= nonce) this.pings.delete(other);
    }
    this.answeredPingMs = sentMs;
    const now = this.clock.now();
    this.beat.answered(now - sentMs, now);
  }

  private greet(message: Message): void {
    if (message.type === 'goodbye') {
      this.socket.end();
      const {reason, detail} = message.body;
      this.finish('goodbye', `refused: ${reason}: ${detail}`);
      return;
    }
    if (message.type !== 'hello') {
      this.close('malformed', `Got ${message.type} before hello.`);
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
      this.close('unexpected', `Not ${expectedNodeId} but ${peer.nodeId}.`);
      return;
    }
    this.peer = peer;
    const now = this.clock.now();
    const {unsent} = this;
    this.unsent = [];
    for (const {message, atMs} of unsent) {
      this.transmit(shortened(message, atMs, now));
    }
    this.events.opened(this);
  }

  /** Frames of one turn of the event loop leave in one segment. */
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

  private count(message: Message, bytes: number): void {
    this.counts.messagesOut += 1;
    if (CALL_TYPES.has(message.type)) this.counts.callBytesOut += bytes;
    else this.counts.controlBytesOut += bytes;
  }

  private finish(cause: CloseCause, reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.unsent = [];
    const evidence = this.activity.evidence(
      this.reader.pendingBytes,
      this.socket.writableLength,
      this.clock.now(),
    );
    this.events.closed(this, reason, {cause, ...evidence});
  }
}

/** A call that has waited since `atMs` is sent with the time left by now. */
function shortened(message: Message, atMs: number, nowMs: number): Message {
  if (message.type !== 'callStart') return message;
  const body = {
    ...subtractWaitingTime(message.body, nowMs - atMs),
    sentMs: nowMs,
  };
  return {...message, body};
}
