/** Holds frames of answers back until their connection and the link have room. */

import type {Message} from '@turmericmill/wire';

import type {Bus, Peer} from '../bus.js';

/**
 * Bytes in a connection's buffer from which further frames of answers wait.
 * Frames in that buffer can neither be overtaken nor given up.
 */
const MAX_UNSENT_BYTES = 1024 * 1024;
/** Frames up to this size do not wait for the link. */
export const SHORT_FRAME_BYTES = 4 * 1024;

/** Holder of bytes that a budget may take away. */
export interface BytesHolder {
  /** Frees all bytes; the budget has already released them. */
  freeBuffer(): void;
}

/** Limits the bytes that wait; several kinds of holders may share it. */
export interface HolderBudget {
  /** Returns the holders that must free their bytes. */
  reserve(holder: BytesHolder, bytes: number): BytesHolder[];
  release(holder: BytesHolder, bytes?: number): void;
}

export interface PeerOutboxParts {
  bus: Bus;
  budget: HolderBudget;
  /** Bytes in the buffer of the connection that carries a message's call. */
  unsentBytes(peer: Peer, message: Message): number;
  /** Limits what waits at the link of this host; nothing does by default. */
  link?: LinkRoom;
}

/** Room for bytes at the link of a host. */
export interface LinkRoom {
  /** Bytes in a connection's buffer from which further frames of answers wait. */
  maxUnsentBytes: number;
  /** Time in ms until the link has room for more; 0 if it has. */
  untilRoomMs(): number;
}

interface WaitingFrame {
  message: Message;
  bytes: number;
  /** Called once the frame has been passed to the connection. */
  onSent: (() => void) | undefined;
}

/** The frames of one answer, in order. */
export class AnswerQueue implements BytesHolder {
  readonly frames: WaitingFrame[] = [];
  /** Bytes of the frames. */
  bytes = 0;

  /** `onDiscarded`: called if the answer is given up because it needs memory. */
  constructor(
    readonly peer: Peer,
    private readonly outbox: PeerOutbox,
    private readonly onDiscarded: () => void,
  ) {}

  freeBuffer(): void {
    this.outbox.drop(this);
    this.onDiscarded();
  }
}

/**
 * Load pattern: long answers to a node that reads slowly, or that is suspended
 * while its connections stay open; or to many nodes, over a link that does not
 * carry them. Answers wait as they are. The one with the least left goes first:
 * on a thin link, answers in turns would all be late, and a short one would be
 * late behind a long one.
 */
export class PeerOutbox {
  /** Queues with frames, by node. */
  private readonly waiting = new Map<string, Set<AnswerQueue>>();
  private readonly maxUnsentBytes: number;
  private linkTimer: NodeJS.Timeout | undefined;

  constructor(private readonly parts: PeerOutboxParts) {
    this.maxUnsentBytes = parts.link?.maxUnsentBytes ?? MAX_UNSENT_BYTES;
    parts.bus.subscribe('peer-drained', () => this.flush());
  }

  /** Sends a frame of `bytes`, or keeps it until there is room. */
  send(
    queue: AnswerQueue,
    message: Message,
    bytes: number,
    onSent?: () => void,
  ): void {
    const frame = {message, bytes, onSent};
    const isNext = queue.frames.length === 0;
    if (isNext && this.hasRoom(queue, frame, this.untilRoomMs)) {
      this.pass(queue, frame);
      return;
    }
    queue.frames.push(frame);
    queue.bytes += bytes;
    this.add(queue);
    const {budget} = this.parts;
    for (const holder of budget.reserve(queue, bytes)) holder.freeBuffer();
    this.awaitLink();
  }

  /** Passes all frames to their connections, as the process is about to end. */
  sendAll(): void {
    clearTimeout(this.linkTimer);
    this.linkTimer = undefined;
    for (const queue of [...this.waiting.values()].flatMap(set => [...set])) {
      while (queue.frames.length > 0) this.passNext(queue);
    }
  }

  /** Forgets the frames of an answer that is not sent to its end. */
  drop(queue: AnswerQueue): void {
    queue.frames.length = 0;
    queue.bytes = 0;
    this.parts.budget.release(queue);
    this.remove(queue);
  }

  /** Bytes of all frames that wait. */
  get waitingBytes(): number {
    let sum = 0;
    for (const queues of this.waiting.values()) {
      for (const {bytes} of queues) sum += bytes;
    }
    return sum;
  }

  /** Time in ms until the link has room for a long frame. */
  private get untilRoomMs(): number {
    return this.parts.link?.untilRoomMs() ?? 0;
  }

  private hasRoom(
    {peer}: AnswerQueue,
    {message, bytes}: WaitingFrame,
    untilRoomMs: number,
  ): boolean {
    if (untilRoomMs > 0 && bytes > SHORT_FRAME_BYTES) return false;
    return this.parts.unsentBytes(peer, message) < this.maxUnsentBytes;
  }

  /** Sends frames that wait for the link as soon as it has room. */
  private awaitLink(): void {
    const {untilRoomMs} = this;
    if (this.linkTimer || this.waiting.size === 0 || untilRoomMs <= 0) return;
    this.linkTimer = setTimeout(() => {
      this.linkTimer = undefined;
      this.flush();
    }, Math.ceil(untilRoomMs));
  }

  private pass({peer}: AnswerQueue, {message, onSent}: WaitingFrame): void {
    const {nodeId, incarnation} = peer;
    this.parts.bus.publish('send-peer', {nodeId, incarnation, message});
    onSent?.();
  }

  /** Sends frames while there is room, of the shortest answer first. */
  private flush(): void {
    for (;;) {
      const queue = this.shortestWithRoom();
      if (!queue) break;
      this.passNext(queue);
    }
    this.awaitLink();
  }

  private passNext(queue: AnswerQueue): void {
    const frame = queue.frames.shift();
    if (!frame) return;
    queue.bytes -= frame.bytes;
    this.parts.budget.release(queue, frame.bytes);
    if (queue.frames.length === 0) this.remove(queue);
    this.pass(queue, frame);
  }

  private shortestWithRoom(): AnswerQueue | undefined {
    const {untilRoomMs} = this;
    let shortest: AnswerQueue | undefined;
    for (const queues of this.waiting.values()) {
      for (const queue of queues) {
        const [frame] = queue.frames;
        if (!frame || queue.bytes >= (shortest?.bytes ?? Infinity)) continue;
        if (this.hasRoom(queue, frame, untilRoomMs)) shortest = queue;
      }
    }
    return shortest;
  }

  private add(queue: AnswerQueue): void {
    const {nodeId} = queue.peer;
    const queues = this.waiting.get(nodeId) ?? new Set();
    this.waiting.set(nodeId, queues.add(queue));
  }

  private remove(queue: AnswerQueue): void {
    const {nodeId} = queue.peer;
    const queues = this.waiting.get(nodeId);
    queues?.delete(queue);
    if (queues?.size === 0) this.waiting.delete(nodeId);
  }
}
