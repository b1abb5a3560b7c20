/** Runs calls on backend servers of other nodes. */

import type {Clock} from '@turmericmill/utils';
import type {MessageName, MessageOf} from '@turmericmill/wire';

import type {Bus, LostCalls, Peer} from '../bus.js';
import {
  NO_LOAD,
  type CallEvents,
  type CallHead,
  type CallLeg,
  type InitialBody,
} from './call-leg.js';

interface PendingCall {
  nodeId: string;
  events: CallEvents;
}

/** Sends calls to other nodes and matches answers to calls by their id. */
export class RemoteRunner {
  private readonly pending = new Map<number, PendingCall>();
  private nextCallId = 1;

  constructor(
    private readonly bus: Bus,
    private readonly clock: Clock,
  ) {
    bus.onPeerMessage('answerStart', ({body, peer}) => {
      const call = this.findPending(body.callId, peer);
      call?.events.answerStart(body.status, body.headers, body.load);
      if (body.body.length > 0) call?.events.answerData(body.body);
      if (body.end) this.removePending(body.callId, peer)?.events.answerEnd([]);
    });
    bus.onPeerMessage('answerData', ({body, peer}) => {
      const call = this.findPending(body.callId, peer);
      if (body.chunk.length > 0) call?.events.answerData(body.chunk);
      if (body.end) {
        this.removePending(body.callId, peer)?.events.answerEnd(body.trailers);
      }
    });
    bus.onPeerMessage('callWindow', ({body, peer}) => {
      this.findPending(body.callId, peer)?.events.credit(body.bytes);
    });
    bus.onPeerMessage('answerFailed', ({body, peer}) => {
      const {callId, ...failure} = body;
      this.removePending(callId, peer)?.events.failed(failure);
    });
    bus.subscribe('peer-lost', ({nodeId, opened, calls}) => {
      this.failLost(nodeId, opened, calls);
    });
  }

  run(
    nodeId: string,
    head: CallHead,
    body: InitialBody,
    events: CallEvents,
  ): CallLeg {
    const callId = this.nextCallId;
    this.nextCallId += 1;
    this.pending.set(callId, {nodeId, events});
    const {deadlineMs, ...rest} = head;
    const sentMs = this.clock.now();
    const remainingMs = deadlineMs - sentMs;
    const {end, chunk} = body;
    this.send(nodeId, {
      type: 'callStart',
      body: {...rest, callId, remainingMs, sentMs, end, body: chunk},
    });
    return this.createLeg(nodeId, callId);
  }

  private createLeg(nodeId: string, callId: number): CallLeg {
    const send = <K extends MessageName>(message: MessageOf<K>) => {
      if (this.pending.has(callId)) this.send(nodeId, message);
    };
    return {
      data: chunk => {
        const body = {callId, chunk, end: false, trailers: []};
        send({type: 'callData', body});
      },
      end: trailers => {
        const body = {callId, chunk: new Uint8Array(), end: true, trailers};
        send({type: 'callData', body});
      },
      credit: bytes => send({type: 'answerWindow', body: {callId, bytes}}),
      cancel: () => {
        send({type: 'callCancel', body: {callId}});
        this.pending.delete(callId);
      },
    };
  }

  private send<K extends MessageName>(
    nodeId: string,
    message: MessageOf<K>,
  ): void {
    this.bus.publish('send-peer', {nodeId, message: message as never});
  }

  /** Ignores answers from nodes to which the call was not sent. */
  private findPending(callId: number, peer: Peer): PendingCall | undefined {
    const call = this.pending.get(callId);
    return call?.nodeId === peer.nodeId ? call : undefined;
  }

  /** Removes and returns a call that has ended. */
  private removePending(callId: number, peer: Peer): PendingCall | undefined {
    const call = this.findPending(callId, peer);
    if (call) this.pending.delete(callId);
    return call;
  }

  /**
   * Fails the calls that ended with a connection to the node: those in `calls`,
   * or all if undefined. None has run if `opened` is false: calls are sent only
   * after the handshake.
   */
  private failLost(nodeId: string, opened: boolean, calls?: LostCalls): void {
    for (const [callId, call] of [...this.pending]) {
      if (call.nodeId !== nodeId) continue;
      if (calls && !calls.own.has(callId)) continue;
      this.pending.delete(callId);
      call.events.failed({
        outcome: opened ? 'unknown' : 'not-run',
        reason: 'connection-lost',
        detail: `The connection to node ${nodeId} was lost.`,
        load: {...NO_LOAD},
      });
    }
  }
}
