/** Tracks the traffic of a connection, as evidence of its peer being alive. */

import type {Message} from '@turmericmill/wire';

/** Timer delay in ms that counts as a stall; idle processes stay below it. */
const MIN_STALL_MS = 20;

/** Bytes behind which a ping of the peer may be delayed on a slow link. */
const MIN_ONE_WAY_BYTES = 4 * 1024;

/** State of a connection at its end, for the log. Times in ms. */
export interface ConnectionEvidence {
  /** Time since bytes last arrived. */
  sinceByteMs: number;
  /** Time since a complete message last arrived. */
  sinceMessageMs: number;
  /** Bytes received of an incomplete message. */
  unfinishedBytes: number;
  /** Bytes written to the socket that are still buffered in this process. */
  unsentBytes: number;
  /** Calls of this node without a complete answer. */
  callsOut: number;
  /** Calls of the peer without a complete answer. */
  callsIn: number;
  /** Pings sent since bytes last arrived. */
  pingsOut: number;
  /** Part of `sinceByteMs` in which this process was stalled. */
  stalledMs: number;
}

/** Ids of the calls in flight on one connection. */
export interface CarriedCalls {
  /** Calls of this node. */
  own: ReadonlySet<number>;
  /** Calls of the peer. */
  theirs: ReadonlySet<number>;
}

/** Records arrivals, calls in flight and unanswered pings of a connection. */
export class ConnectionActivity {
  /** Calls of this node that have no complete answer. */
  private readonly own = new Set<number>();
  private readonly theirs = new Set<number>();
  private lastByteAtMs: number;
  private lastMessageAtMs: number;
  private lastTickAtMs: number;
  private pingsOut = 0;
  private stalledMs = 0;
  /** Bytes received since a message was last sent. */
  private oneWayBytes = 0;

  /** `intervalMs`: `recordTick` interval of a process that is not stalled. */
  constructor(
    private readonly intervalMs: number,
    nowMs: number,
  ) {
    this.lastByteAtMs = nowMs;
    this.lastMessageAtMs = nowMs;
    this.lastTickAtMs = nowMs;
  }

  /** True while calls of this node are in flight. */
  get hasOwnCalls(): boolean {
    return this.own.size > 0;
  }

  get calls(): CarriedCalls {
    return {own: this.own, theirs: this.theirs};
  }

  /** True if an outgoing message belongs to a call on this connection. */
  carriesCallOf(message: Message): boolean {
    const side = SIDE_BY_TYPE.get(message.type);
    if (side === undefined) return false;
    const {callId} = message.body as {callId: number};
    return this.calls[side].has(callId);
  }

  /**
   * Records a run of the heartbeat timer. Returns the time in ms for which this
   * process was stalled before it, not counting time before the last bytes.
   */
  recordTick(nowMs: number): number {
    const expectedMs = Math.max(
      this.lastTickAtMs + this.intervalMs,
      this.lastByteAtMs,
    );
    const lateMs = nowMs - expectedMs;
    this.lastTickAtMs = nowMs;
    if (lateMs < MIN_STALL_MS) return 0;
    this.stalledMs += lateMs;
    return lateMs;
  }

  /** True while the peer sends much data and receives nothing. */
  get isOneWay(): boolean {
    return this.oneWayBytes >= MIN_ONE_WAY_BYTES;
  }

  recordBytes(bytes: number, nowMs: number): void {
    this.oneWayBytes += bytes;
    this.lastByteAtMs = nowMs;
    this.pingsOut = 0;
    this.stalledMs = 0;
  }

  recordSent(message: Message): void {
    const {type, body} = message;
    this.oneWayBytes = 0;
    if (type === 'ping') this.pingsOut += 1;
    if (type === 'callStart') this.own.add(body.callId);
    if (type === 'callCancel') this.own.delete(body.callId);
    if (endsCall(message)) this.theirs.delete(message.body.callId);
  }

  recordReceived(message: Message, nowMs: number): void {
    const {type, body} = message;
    this.lastMessageAtMs = nowMs;
    if (type === 'callStart') this.theirs.add(body.callId);
    if (type === 'callCancel') this.theirs.delete(body.callId);
    if (endsCall(message)) this.own.delete(message.body.callId);
  }

  evidence(
    unfinishedBytes: number,
    unsentBytes: number,
    nowMs: number,
  ): ConnectionEvidence {
    return {
      sinceByteMs: nowMs - this.lastByteAtMs,
      sinceMessageMs: nowMs - this.lastMessageAtMs,
      unfinishedBytes,
      unsentBytes,
      callsOut: this.own.size,
      callsIn: this.theirs.size,
      pingsOut: this.pingsOut,
      stalledMs: this.stalledMs,
    };
  }
}

/** Whose call an outgoing message belongs to, by its type. */
const SIDE_BY_TYPE: ReadonlyMap<string, keyof CarriedCalls> = new Map([
  ['callData', 'own'],
  ['callCancel', 'own'],
  ['answerWindow', 'own'],
  ['callWindow', 'theirs'],
  ['answerStart', 'theirs'],
  ['answerData', 'theirs'],
  ['answerFailed', 'theirs'],
]);

/** True for messages that need the connection on which their call started. */
export function continuesCall({type}: Message): boolean {
  return SIDE_BY_TYPE.has(type);
}

type CallEnd = Extract<
  Message,
  {type: 'answerStart' | 'answerData' | 'answerFailed'}
>;

function endsCall(message: Message): message is CallEnd {
  const {type, body} = message;
  if (type === 'answerFailed') return true;
  return (type === 'answerStart' || type === 'answerData') && body.end;
}
