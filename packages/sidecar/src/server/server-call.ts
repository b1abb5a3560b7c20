/** One call at the node beside its server: gathers the body, then waits. */

import type {
  CallEvents,
  CallHead,
  CallLeg,
  InitialBody,
} from '@turmericmill/node';

import type {PoolExchange} from './server-pool.js';

/** Most bytes of a body in one frame between nodes. */
export const MAX_BODY_FRAME_BYTES = 1024 * 1024;

export class ServerCall implements CallLeg {
  /** Set while the call runs on the server. */
  exchange: PoolExchange | undefined;
  /** The bytes of the body in order; all of them once it is whole. */
  readonly body: Uint8Array[] = [];

  constructor(
    readonly head: CallHead,
    first: InitialBody,
    readonly events: CallEvents,
    private readonly hooks: {whole: () => void; left: () => void},
  ) {
    if (first.chunk.length > 0) this.body.push(first.chunk);
  }

  data(chunk: Uint8Array): void {
    this.body.push(chunk);
    this.events.credit(chunk.length);
  }

  end(): void {
    this.hooks.whole();
  }

  /** Answers are whole before they are sent on: nothing waits for credit. */
  credit(): void {
    return;
  }

  cancel(): void {
    this.hooks.left();
  }
}
