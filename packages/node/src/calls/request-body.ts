/** Reads the body of a caller's request: whole if small, else as a stream. */

import type {IncomingMessage} from 'node:http';

import {
  INITIAL_WINDOW_BYTES,
  type CallLeg,
  type InitialBody,
} from './call-leg.js';

/** Bodies up to this many bytes are buffered whole and can be sent again. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

export class RequestBody {
  private windowBytes = INITIAL_WINDOW_BYTES;
  private leg: CallLeg | undefined;

  constructor(private readonly req: IncomingMessage) {}

  /**
   * Resolves with the whole body if it is small and has no trailers, else with
   * the part read so far.
   */
  async readInitial(): Promise<InitialBody> {
    const {headers} = this.req;
    const lengthText = headers['content-length'];
    const hasBody = lengthText !== undefined || 'transfer-encoding' in headers;
    if (!hasBody || lengthText === '0') {
      this.req.resume();
      return {chunk: new Uint8Array(), end: true};
    }
    return await this.bufferInitial();
  }

  /** Streams the rest to `leg` within its flow-control window. */
  streamTo(leg: CallLeg): void {
    this.leg = leg;
    this.req.on('data', (chunk: Buffer) => {
      this.windowBytes -= chunk.length;
      leg.data(chunk);
      if (this.windowBytes <= 0) this.req.pause();
    });
    this.req.on('end', () => leg.end(this.req.rawTrailers));
    if (this.windowBytes > 0) this.req.resume();
  }

  /** Enlarges the window by `bytes`. */
  credit(bytes: number): void {
    this.windowBytes += bytes;
    if (this.leg && this.windowBytes > 0) this.req.resume();
  }

  private bufferInitial(): Promise<InitialBody> {
    const {req} = this;
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      const finish = (end: boolean) => {
        req.off('data', onData).off('end', onEnd).off('close', onClose);
        const chunk = Buffer.concat(chunks);
        this.windowBytes -= chunk.length;
        resolve({chunk, end});
      };
      const onData = (chunk: Buffer) => {
        chunks.push(chunk);
        bytes += chunk.length;
        if (bytes <= MAX_BUFFERED_BODY_BYTES) return;
        req.pause();
        finish(false);
      };
      const onEnd = () => finish(req.rawTrailers.length === 0);
      const onClose = () =>
        reject(
          new Error('caller disconnected before its request body was read'),
        );
      req.on('data', onData).on('end', onEnd).on('close', onClose);
    });
  }
}
