/** A call at the node of its server; buffers the request's body. */

import type {
  CallEvents,
  CallHead,
  CallLeg,
  InitialBody,
} from '@turmericmill/node';

import type {PoolExchange} from './server-pool.js';

/** Most body bytes in one frame between nodes. */
export const MAX_BODY_FRAME_BYTES = 1024 * 1024;

export class ServerCall implements CallLeg {
  /** Exchange with the server, once it has started. */
  exchange: PoolExchange | undefined;
  /** Time in ms at which the exchange started. */
  startedMs = 0;
  /** Body received so far, in order. */
  readonly body: Uint8Array[] = [];

  constructor(
    readonly head: CallHead,
    first: InitialBody,
    readonly events: CallEvents,
    private readonly hooks: {onBodyEnd: () => void; onCancel: () => void},
  ) {
    if (first.chunk.length > 0) this.body.push(first.chunk);
  }

  data(chunk: Uint8Array): void {
    this.body.push(chunk);
    this.events.credit(chunk.length);
  }

  end(): void {
    this.hooks.onBodyEnd();
  }

  /** Ignored: answers are complete before they are sent; none needs credit. */
  credit(): void {
    return;
  }

  cancel(): void {
    this.hooks.onCancel();
  }
}
