/** What a connection has carried lately: evidence for whether its peer lives. */

import type {Message} from '@turmericmill/wire';

/** Lateness in ms that timers of an idle process may show. */
const MIN_STALL_MS = 20;

/** Bytes behind which a ping of the peer may wait for long on a thin link. */
const ONE_WAY_BYTES = 4 * 1024;

/** What is known of a connection when it ends. Times in ms. */
export interface ConnectionEvidence {
  /** Time since any bytes arrived. */
  sinceByteMs: number;
  /** Time since a whole message arrived. */
  sinceMessageMs: number;
  /** Bytes of a message that has arrived in part. */
  unfinishedBytes: number;
  /** Bytes handed to the socket that the kernel has not taken. */
  unsentBytes: number;
  /** Calls of this node without a whole answer. */
  callsOut: number;
  /** Calls of the peer without a whole answer. */
  callsIn: number;
  /** Pings sent since any bytes arrived. */
  pingsOut: number;
  /** Time since any bytes arrived in which this process did not run. */
  stalledMs: number;
}

/** Ids of calls that are carried by one connection. */
export interface CarriedCalls {
  /** Calls of this node. */
  own: ReadonlySet<number>;
  /** Calls of the peer. */
  theirs: ReadonlySet<number>;
}

/** One instance for each connection. */
export class ConnectionActivity {
  /** Calls sent over this connection that have not been answered. */
  private readonly own = new Set<number>();
  private readonly theirs = new Set<number>();
  private byteAtMs: number;
  private messageAtMs: number;
  private beatAtMs: number;
  private pingsOut = 0;
  private stalledMs = 0;
  /** Bytes received since anything was sent. */
  private oneWayBytes = 0;

  /** `intervalMs`: time between two beats of a process that is not held up. */
  constructor(
    private readonly intervalMs: number,
    nowMs: number,
  ) {
    this.byteAtMs = nowMs;
    this.messageAtMs = nowMs;
    this.beatAtMs = nowMs;
  }

  /** True while calls of this node wait for answers. */
  get busy(): boolean {
    return this.own.size > 0;
  }

  get calls(): CarriedCalls {
    return {own: this.own, theirs: this.theirs};
  }

  /** True if the call of a message that is to be sent began here. */
  carries(message: Message): boolean {
    const side = SIDES.get(message.type);
    if (side === undefined) return false;
    const {callId} = message.body as {callId: number};
    return this.calls[side].has(callId);
  }

  /**
   * The heartbeat timer ran. Returns for how long before, since any bytes
   * arrived, this process was held up.
   */
  beat(nowMs: number): number {
    const expectedMs = Math.max(this.beatAtMs + this.intervalMs, this.byteAtMs);
    const lateMs = nowMs - expectedMs;
    this.beatAtMs = nowMs;
    if (lateMs < MIN_STALL_MS) return 0;
    this.stalledMs += lateMs;
    return lateMs;
  }

  /** True while the peer sends much and hears nothing. */
  get isOneWay(): boolean {
    return this.oneWayBytes >= ONE_WAY_BYTES;
  }

  bytesReceived(bytes: number, nowMs: number): void {
    this.oneWayBytes += bytes;
    this.byteAtMs = nowMs;
    this.pingsOut = 0;
    this.stalledMs = 0;
  }

  sent(message: Message): void {
    const {type, body} = message;
    this.oneWayBytes = 0;
    if (type === 'ping') this.pingsOut += 1;
    if (type === 'callStart') this.own.add(body.callId);
    if (type === 'callCancel') this.own.delete(body.callId);
    if (endsCall(message)) this.theirs.delete(message.body.callId);
  }

  received(message: Message, nowMs: number): void {
    const {type, body} = message;
    this.messageAtMs = nowMs;
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
      sinceByteMs: nowMs - this.byteAtMs,
      sinceMessageMs: nowMs - this.messageAtMs,
      unfinishedBytes,
      unsentBytes,
      callsOut: this.own.size,
      callsIn: this.theirs.size,
      pingsOut: this.pingsOut,
      stalledMs: this.stalledMs,
    };
  }
}

/** By type of a message that is sent within a call: whose call it is. */
const SIDES: ReadonlyMap<string, keyof CarriedCalls> = new Map([
  ['callData', 'own'],
  ['callCancel', 'own'],
  ['answerWindow', 'own'],
  ['callWindow', 'theirs'],
  ['answerStart', 'theirs'],
  ['answerData', 'theirs'],
  ['answerFailed', 'theirs'],
]);

/** True for messages that go where their call began. */
export function continuesCall({type}: Message): boolean {
  return SIDES.has(type);
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
