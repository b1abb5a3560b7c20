/** Leg of a call that may still be waiting for a slot. */

import type {FlatHeaders} from '@turmericmill/wire';

import type {CallEvents, CallHead, CallLeg, InitialBody} from './call-leg.js';

/** Buffers the body that arrives before the exchange with the server starts. */
export class AdmittedCall implements CallLeg {
  private exchange: CallLeg | undefined;
  private bufferedChunks: Uint8Array[] = [];
  private trailers: FlatHeaders | undefined;
  private creditBytes = 0;

  constructor(
    readonly head: CallHead,
    readonly body: InitialBody,
    readonly events: CallEvents,
    private readonly onCancel: () => void,
  ) {}

  /** True once bytes may have reached the server. */
  get hasStarted(): boolean {
    return this.exchange !== undefined;
  }

  /** Sends the buffered input to the exchange; later input follows directly. */
  start(exchange: CallLeg): void {
    this.exchange = exchange;
    for (const chunk of this.bufferedChunks) exchange.data(chunk);
    this.bufferedChunks = [];
    if (this.creditBytes > 0) exchange.credit(this.creditBytes);
    if (this.trailers) exchange.end(this.trailers);
  }

  /** Cancels the exchange with the server, if it has started. */
  abort(): void {
    this.exchange?.cancel();
  }

  data(chunk: Uint8Array): void {
    if (this.exchange) this.exchange.data(chunk);
    else this.bufferedChunks.push(chunk);
  }

  end(trailers: FlatHeaders): void {
    if (this.exchange) this.exchange.end(trailers);
    else this.trailers = trailers;
  }

  credit(bytes: number): void {
    if (this.exchange) this.exchange.credit(bytes);
    else this.creditBytes += bytes;
  }

  cancel(): void {
    this.onCancel();
  }
}
