/** Runs the calls that other nodes send for the servers beside this node. */

import {TransitDelay} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type {
  CallStart,
  FlatHeaders,
  MessageName,
  MessageOf,
  ServerLoad,
} from '@turmericmill/wire';

import type {Bus, LostCalls, Peer} from '../bus.js';
import {
  NO_LOAD,
  type CallEvents,
  type CallFailure,
  type CallHead,
  type CallLeg,
  type CallRunner,
} from './call-leg.js';

import {DeferredLeg} from './deferred-leg.js';
import {subtractWaitingTime} from './remaining-time.js';

/** Answer bodies up to this many bytes go in the frame of the head. */
const MAX_JOINED_BODY_BYTES = 64 * 1024;

/** Interval in ms at which a shutdown looks whether calls are left. */
const IDLE_CHECK_MS = 20;

/** Calls in progress by the peer's id, its incarnation and the call's id. */
export class IncomingCalls {
  private readonly legs = new Map<string, Map<number, CallLeg>>();
  private readonly delays = new Map<string, TransitDelay>();
  /** Calls that may end later are not taken. */
  private lastAnswerMs = Infinity;

  constructor(
    private readonly bus: Bus,
    private readonly runner: CallRunner,
    private readonly clock: Clock,
  ) {
    bus.onPeerMessage('callStart', ({body, peer}) => this.start(peer, body));
    bus.onPeerMessage('callData', ({body, peer}) => {
      const leg = this.find(peer, body.callId);
      if (body.chunk.length > 0) leg?.data(body.chunk);
      if (body.end) leg?.end(body.trailers);
    });
    bus.onPeerMessage('answerWindow', ({body, peer}) => {
      this.find(peer, body.callId)?.credit(body.bytes);
    });
    bus.onPeerMessage('callCancel', ({body, peer}) => {
      this.find(peer, body.callId)?.cancel();
      this.forget(peer, body.callId);
    });
    bus.subscribe('peer-lost', ({nodeId, calls}) => {
      if (calls) this.cancelSome(nodeId, calls);
      else this.cancelAll(nodeId);
    });
  }

  /** Resolves when no call is in progress, at the latest at `deadlineMs`. */
  async whenIdle(deadlineMs: number): Promise<void> {
    while (this.size > 0 && this.clock.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MS));
    }
  }

  /** Number of calls in progress. */
  get size(): number {
    let sum = 0;
    for (const legs of this.legs.values()) sum += legs.size;
    return sum;
  }

  /** From now on refuses calls that may end after `lastAnswerMs`. */
  acceptUntil(lastAnswerMs: number): void {
    this.lastAnswerMs = lastAnswerMs;
  }

  private start(peer: Peer, start: CallStart): void {
    const now = this.clock.now();
    const {sentMs, ...call} = start;
    const delayMs = this.delayOf(peer).excessMs(sentMs, now);
    const {callId, remainingMs, end, body, ...rest} = subtractWaitingTime(
      call,
      delayMs,
    );
    const head: CallHead = {...rest, deadlineMs: now + remainingMs};
    const events = new AnswerFrames(this.bus, peer, callId, () => {
      this.forget(peer, callId);
    });
    if (head.deadlineMs > this.lastAnswerMs) {
      events.failed(draining());
      return;
    }
    const leg = new DeferredLeg();
    this.legsOf(peer).set(callId, leg);
    // By then a cancellation that was read together with the call is known.
    setImmediate(() => {
      leg.start(() => this.runner.run(head, {chunk: body, end}, events));
    });
  }

  private delayOf(peer: Peer): TransitDelay {
    const key = peerKey(peer);
    let delay = this.delays.get(key);
    if (!delay) {
      delay = new TransitDelay();
      this.delays.set(key, delay);
    }
    return delay;
  }

  private legsOf(peer: Peer): Map<number, CallLeg> {
    const key = peerKey(peer);
    let legs = this.legs.get(key);
    if (!legs) {
      legs = new Map();
      this.legs.set(key, legs);
    }
    return legs;
  }

  private find(peer: Peer, callId: number): CallLeg | undefined {
    return this.legs.get(peerKey(peer))?.get(callId);
  }

  private forget(peer: Peer, callId: number): void {
    const legs = this.legs.get(peerKey(peer));
    legs?.delete(callId);
    if (legs?.size === 0) this.legs.delete(peerKey(peer));
  }

  private cancelSome(nodeId: string, {theirs, incarnation}: LostCalls): void {
    const key = `${nodeId}#${incarnation}`;
    const legs = this.legs.get(key) ?? new Map<number, CallLeg>();
    for (const [callId, leg] of [...legs]) {
      if (!theirs.has(callId)) continue;
      legs.delete(callId);
      leg.cancel();
    }
    if (legs.size === 0) this.legs.delete(key);
  }

  private cancelAll(nodeId: string): void {
    for (const key of [...this.delays.keys()]) {
      if (key.startsWith(`${nodeId}#`)) this.delays.delete(key);
    }
    for (const [key, legs] of [...this.legs]) {
      if (!key.startsWith(`${nodeId}#`)) continue;
      this.legs.delete(key);
      for (const leg of legs.values()) leg.cancel();
    }
  }
}

function draining(): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'draining',
    detail: 'The node is leaving.',
    load: {...NO_LOAD},
  };
}

function peerKey(peer: Peer): string {
  return `${peer.nodeId}#${peer.incarnation}`;
}

/** Sends the events of one call to the node that it came from. */
class AnswerFrames implements CallEvents {
  /** The head, held back in case the whole body comes at once. */
  private head: {
    status: number;
    headers: FlatHeaders;
    load: ServerLoad;
  } | null = null;
  private held: Uint8Array[] = [];
  private heldBytes = 0;

  constructor(
    private readonly bus: Bus,
    private readonly peer: Peer,
    private readonly callId: number,
    private readonly ended: () => void,
  ) {}

  credit(bytes: number): void {
    this.send({type: 'callWindow', body: {callId: this.callId, bytes}});
  }

  answerStart(status: number, headers: FlatHeaders, load: ServerLoad): void {
    this.head = {status, headers, load};
    setImmediate(() => this.flush(false));
  }

  answerData(chunk: Uint8Array): void {
    if (!this.head) {
      this.sendData(chunk, false, []);
      return;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes > MAX_JOINED_BODY_BYTES) this.flush(false);
  }

  answerEnd(trailers: FlatHeaders): void {
    this.ended();
    if (this.head && trailers.length === 0) {
      this.flush(true);
      return;
    }
    this.flush(false);
    this.sendData(new Uint8Array(), true, trailers);
  }

  failed(failure: CallFailure): void {
    this.head = null;
    this.ended();
    this.send({
      type: 'answerFailed',
      body: {callId: this.callId, ...failure},
    });
  }

  private flush(end: boolean): void {
    const {head, callId} = this;
    if (!head) return;
    const body =
      this.held.length === 1
        ? (this.held[0] as Uint8Array)
        : Buffer.concat(this.held);
    this.head = null;
    this.held = [];
    this.send({type: 'answerStart', body: {callId, ...head, end, body}});
  }

  private sendData(
    chunk: Uint8Array,
    end: boolean,
    trailers: FlatHeaders,
  ): void {
    const {callId} = this;
    this.send({type: 'answerData', body: {callId, chunk, end, trailers}});
  }

  /** Never to a later incarnation, whose call ids mean other calls. */
  private send<K extends MessageName>(message: MessageOf<K>): void {
    this.bus.publish('send-peer', {
      nodeId: this.peer.nodeId,
      incarnation: this.peer.incarnation,
      message: message as never,
    });
  }
}
