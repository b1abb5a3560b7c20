/** Runs calls from other nodes on the backend servers of this node. */

import {TransitDelay} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type {CallStart} from '@turmericmill/wire';

import type {Bus, LostCalls, Peer} from '../bus.js';
import {
  NO_LOAD,
  type CallFailure,
  type CallHead,
  type CallRunner,
} from './call-leg.js';

import {AnswerSender} from './answer-sender.js';
import {DeferredLeg} from './deferred-leg.js';
import type {PeerOutbox} from './peer-outbox.js';
import {subtractWaitingTime} from './remaining-time.js';

/** Interval in ms at which `whenIdle` checks for calls in progress. */
const IDLE_CHECK_MS = 20;

/** Limits the bytes of bodies that a node holds. */
export interface BodyRoom {
  /** Adds the growth of a body; returns false if there is no room. */
  grow(fromBytes: number, toBytes: number): boolean;
  release(bytes: number): void;
}

/** Limits on what a node holds for others; none by default. */
export interface IncomingLimits {
  outbox?: PeerOutbox;
  bodies?: BodyRoom;
}

interface IncomingCall {
  leg: DeferredLeg;
  answer: AnswerSender;
  bodyBytes: number;
}

/** Calls in progress that this node runs for other nodes. */
export class IncomingCalls {
  /** By `peerKey`, then by call id. */
  private readonly calls = new Map<string, Map<number, IncomingCall>>();
  /** By `peerKey`. */
  private readonly delays = new Map<string, TransitDelay>();
  /** Latest deadline of a call to accept, in ms since the epoch. */
  private maxDeadlineMs = Infinity;

  constructor(
    private readonly bus: Bus,
    private readonly runner: CallRunner,
    private readonly clock: Clock,
    private readonly limits: IncomingLimits = {},
  ) {
    bus.onPeerMessage('callStart', ({body, peer}) => this.start(peer, body));
    bus.onPeerMessage('callData', ({body, peer}) => {
      const call = this.findCall(peer, body.callId);
      if (!call || !this.addToBody(call, body.chunk.length)) return;
      if (body.chunk.length > 0) call.leg.data(body.chunk);
      if (body.end) call.leg.end(body.trailers);
    });
    bus.onPeerMessage('answerWindow', ({body, peer}) => {
      this.findCall(peer, body.callId)?.leg.credit(body.bytes);
    });
    bus.onPeerMessage('callCancel', ({body, peer}) => {
      const call = this.findCall(peer, body.callId);
      this.removeCall(peer, body.callId);
      call?.answer.cancel();
      call?.leg.cancel();
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
    for (const calls of this.calls.values()) sum += calls.size;
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
    const deadlineMs = now + remainingMs;
    const head: CallHead = {...rest, deadlineMs, crossesLink: true};
    const answer = new AnswerSender(
      this.bus,
      peer,
      callId,
      () => this.removeCall(peer, callId),
      this.limits.outbox,
    );
    if (head.deadlineMs > this.maxDeadlineMs) {
      answer.failed(nodeDraining());
      return;
    }
    const leg = new DeferredLeg();
    const incoming = {leg, answer, bodyBytes: 0};
    this.callsOf(peer).set(callId, incoming);
    if (!this.addToBody(incoming, body.length)) return;
    // Deferred, so that a cancellation read in the same turn is applied first.
    setImmediate(() => {
      leg.start(() => this.runner.run(head, {chunk: body, end}, answer));
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

  /** Counts body bytes; refuses the call if there is no room for them. */
  private addToBody(call: IncomingCall, bytes: number): boolean {
    const {bodies} = this.limits;
    const toBytes = call.bodyBytes + bytes;
    if (!bodies || bodies.grow(call.bodyBytes, toBytes)) {
      call.bodyBytes = toBytes;
      return true;
    }
    // The server gets a request only once its body is complete.
    call.leg.cancel();
    call.answer.failed(noRoomForBody());
    return false;
  }

  private callsOf(peer: Peer): Map<number, IncomingCall> {
    const key = peerKey(peer);
    let calls = this.calls.get(key);
    if (!calls) {
      calls = new Map();
      this.calls.set(key, calls);
    }
    return calls;
  }

  private findCall(peer: Peer, callId: number): IncomingCall | undefined {
    return this.calls.get(peerKey(peer))?.get(callId);
  }

  private removeCall(peer: Peer, callId: number): void {
    const calls = this.calls.get(peerKey(peer));
    this.releaseBody(calls?.get(callId));
    calls?.delete(callId);
    if (calls?.size === 0) this.calls.delete(peerKey(peer));
  }

  private releaseBody(call: IncomingCall | undefined): void {
    if (!call) return;
    this.limits.bodies?.release(call.bodyBytes);
    call.bodyBytes = 0;
  }

  /** Ends a call whose node is not reached any more. */
  private abandon(call: IncomingCall): void {
    this.releaseBody(call);
    call.answer.cancel();
    call.leg.cancel();
  }

  private cancelLost(nodeId: string, {theirs, incarnation}: LostCalls): void {
    const key = `${nodeId}#${incarnation}`;
    const calls = this.calls.get(key) ?? new Map<number, IncomingCall>();
    for (const [callId, call] of [...calls]) {
      if (!theirs.has(callId)) continue;
      calls.delete(callId);
      this.abandon(call);
    }
    if (calls.size === 0) this.calls.delete(key);
  }

  private cancelAll(nodeId: string): void {
    for (const key of [...this.delays.keys()]) {
      if (key.startsWith(`${nodeId}#`)) this.delays.delete(key);
    }
    for (const [key, calls] of [...this.calls]) {
      if (!key.startsWith(`${nodeId}#`)) continue;
      this.calls.delete(key);
      for (const call of calls.values()) this.abandon(call);
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

function noRoomForBody(): CallFailure {
  return {
    outcome: 'not-run',
    reason: 'overload',
    detail: 'The node has no room for the body.',
    load: {...NO_LOAD},
  };
}

function peerKey(peer: Peer): string {
  return `${peer.nodeId}#${peer.incarnation}`;
}
