/** Takes the body of a caller's request: whole when small, else streamed. */

import type {IncomingMessage} from 'node:http';

import {
  INITIAL_WINDOW_BYTES,
  type CallLeg,
  type InitialBody,
} from './call-leg.js';

/** Bodies up to this many bytes are read whole and can be sent again. */
export const MAX_KEPT_BODY_BYTES = 64 * 1024;

/** The body of one request. */
export class RequestBody {
  private window = INITIAL_WINDOW_BYTES;
  private leg: CallLeg | undefined;

  constructor(private readonly req: IncomingMessage) {}

  /** Resolves with the whole body if it is small, else with its beginning. */
  async first(): Promise<InitialBody> {
    const {headers} = this.req;
    const lengthText = headers['content-length'];
    const hasBody = lengthText !== undefined || 'transfer-encoding' in headers;
    if (!hasBody || lengthText === '0') {
      this.req.resume();
      return {chunk: new Uint8Array(), end: true};
    }
    return await this.readBeginning();
  }

  /** Streams the rest to `leg`, as fast as its window allows. */
  streamTo(leg: CallLeg): void {
    this.leg = leg;
    this.req.on('data', (chunk: Buffer) => {
      this.window -= chunk.length;
      leg.data(chunk);
      if (this.window <= 0) this.req.pause();
    });
    this.req.on('end', () => leg.end(this.req.rawTrailers));
    if (this.window > 0) this.req.resume();
  }

  /** The leg takes `bytes` more. */
  credit(bytes: number): void {
    this.window += bytes;
    if (this.leg && this.window > 0) this.req.resume();
  }

  private readBeginning(): Promise<InitialBody> {
    const {req} = this;
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      const finish = (end: boolean) => {
        req.off('data', onData).off('end', onEnd).off('close', onClose);
        const chunk = Buffer.concat(chunks);
        this.window -= chunk.length;
        resolve({chunk, end});
      };
      const onData = (chunk: Buffer) => {
        chunks.push(chunk);
        bytes += chunk.length;
        if (bytes <= MAX_KEPT_BODY_BYTES) return;
        req.pause();
        finish(false);
      };
      const onEnd = () => finish(req.rawTrailers.length === 0);
      const onClose = () => reject(new Error('The caller left.'));
      req.on('data', onData).on('end', onEnd).on('close', onClose);
    });
  }
}
