/** Runs calls from other nodes on the backend servers of this node. */

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

/** Maximum size in bytes of an answer body sent in one frame with the head. */
const MAX_INLINE_BODY_BYTES = 64 * 1024;

/** Interval in ms at which `whenIdle` checks for calls in progress. */
const IDLE_CHECK_MS = 20;

/** Calls in progress that this node runs for other nodes. */
export class IncomingCalls {
  /** By `peerKey`, then by call id. */
  private readonly legs = new Map<string, Map<number, CallLeg>>();
  /** By `peerKey`. */
  private readonly delays = new Map<string, TransitDelay>();
  /** Latest deadline of a call to accept, in ms since the epoch. */
  private maxDeadlineMs = Infinity;

  constructor(
    private readonly bus: Bus,
    private readonly runner: CallRunner,
    private readonly clock: Clock,
  ) {
    bus.onPeerMessage('callStart', ({body, peer}) => this.start(peer, body));
    bus.onPeerMessage('callData', ({body, peer}) => {
      const leg = this.findLeg(peer, body.callId);
      if (body.chunk.length > 0) leg?.data(body.chunk);
      if (body.end) leg?.end(body.trailers);
    });
    bus.onPeerMessage('answerWindow', ({body, peer}) => {
      this.findLeg(peer, body.callId)?.credit(body.bytes);
    });
    bus.onPeerMessage('callCancel', ({body, peer}) => {
      this.findLeg(peer, body.callId)?.cancel();
      this.removeLeg(peer, body.callId);
    });
    bus.subscribe('peer-lost', ({nodeId, calls}) => {
      if (calls) this.cancelLost(nodeId, calls);
      else this.cancelAll(nodeId);
    });
  }

  /** Resolves once no call is in progress, at the latest at `deadlineMs`. */
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

  /** From now on refuses calls whose deadline is after `maxDeadlineMs`. */
  acceptUntil(maxDeadlineMs: number): void {
    this.maxDeadlineMs = maxDeadlineMs;
  }

  private start(peer: Peer, start: CallStart): void {
    const now = this.clock.now();
    const {sentMs, ...call} = start;
    const delayMs = this.transitDelayOf(peer).excessMs(sentMs, now);
    const {callId, remainingMs, end, body, ...rest} = subtractWaitingTime(
      call,
      delayMs,
    );
    const head: CallHead = {...rest, deadlineMs: now + remainingMs};
    const events = new AnswerSender(this.bus, peer, callId, () => {
      this.removeLeg(peer, callId);
    });
    if (head.deadlineMs > this.maxDeadlineMs) {
      events.failed(nodeDraining());
      return;
    }
    const leg = new DeferredLeg();
    this.legsOf(peer).set(callId, leg);
    // Deferred, so that a cancellation read in the same turn is applied first.
    setImmediate(() => {
      leg.start(() => this.runner.run(head, {chunk: body, end}, events));
    });
  }

  private transitDelayOf(peer: Peer): TransitDelay {
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

  private findLeg(peer: Peer, callId: number): CallLeg | undefined {
    return this.legs.get(peerKey(peer))?.get(callId);
  }

  private removeLeg(peer: Peer, callId: number): void {
    const legs = this.legs.get(peerKey(peer));
    legs?.delete(callId);
    if (legs?.size === 0) this.legs.delete(peerKey(peer));
  }

  private cancelLost(nodeId: string, {theirs, incarnation}: LostCalls): void {
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

function nodeDraining(): CallFailure {
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

/**
 * Sends the events of one call to the node that sent the call. Buffers the
 * answer for one turn of the event loop, so that a short one takes one frame.
 */
class AnswerSender implements CallEvents {
  /** The answer's head until it is sent. */
  private head: {
    status: number;
    headers: FlatHeaders;
    load: ServerLoad;
  } | null = null;
  private buffered: Uint8Array[] = [];
  private bufferedBytes = 0;

  constructor(
    private readonly bus: Bus,
    private readonly peer: Peer,
    private readonly callId: number,
    private readonly onEnd: () => void,
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
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > MAX_INLINE_BODY_BYTES) this.flush(false);
  }

  answerEnd(trailers: FlatHeaders): void {
    this.onEnd();
    if (this.head && trailers.length === 0) {
      this.flush(true);
      return;
    }
    this.flush(false);
    this.sendData(new Uint8Array(), true, trailers);
  }

  failed(failure: CallFailure): void {
    this.head = null;
    this.onEnd();
    this.send({
      type: 'answerFailed',
      body: {callId: this.callId, ...failure},
    });
  }

  private flush(end: boolean): void {
    const {head, callId} = this;
    if (!head) return;
    const body =
      this.buffered.length === 1
        ? (this.buffered[0] as Uint8Array)
        : Buffer.concat(this.buffered);
    this.head = null;
    this.buffered = [];
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

  /** Not sent to a later incarnation, where the id denotes another call. */
  private send<K extends MessageName>(message: MessageOf<K>): void {
    this.bus.publish('send-peer', {
      nodeId: this.peer.nodeId,
      incarnation: this.peer.incarnation,
      message: message as never,
    });
  }
}
