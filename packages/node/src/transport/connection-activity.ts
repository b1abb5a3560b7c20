/** What a connection has carried lately: evidence for whether its peer lives. */

import type {Message} from '@turmericmill/wire';

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

/** One instance for each connection. */
export class ConnectionActivity {
  /** Calls sent over this connection that have not been answered. */
  private readonly out = new Set<number>();
  private readonly in = new Set<number>();
  private byteAtMs: number;
  private messageAtMs: number;
  private beatAtMs: number;
  private pingsOut = 0;
  private stalledMs = 0;

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
    return this.out.size > 0;
  }

  /** The heartbeat timer ran. */
  beat(nowMs: number): void {
    this.stalledMs += Math.max(0, nowMs - this.beatAtMs - this.intervalMs);
    this.beatAtMs = nowMs;
  }

  bytesReceived(nowMs: number): void {
    this.byteAtMs = nowMs;
    this.pingsOut = 0;
    this.stalledMs = 0;
  }

  sent(message: Message): void {
    const {type, body} = message;
    if (type === 'ping') this.pingsOut += 1;
    if (type === 'callStart') this.out.add(body.callId);
    if (type === 'callCancel') this.out.delete(body.callId);
    if (endsCall(message)) this.in.delete(message.body.callId);
  }

  received(message: Message, nowMs: number): void {
    const {type, body} = message;
    this.messageAtMs = nowMs;
    if (type === 'callStart') this.in.add(body.callId);
    if (type === 'callCancel') this.in.delete(body.callId);
    if (endsCall(message)) this.out.delete(message.body.callId);
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
      callsOut: this.out.size,
      callsIn: this.in.size,
      pingsOut: this.pingsOut,
      stalledMs: this.stalledMs,
    };
  }
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
