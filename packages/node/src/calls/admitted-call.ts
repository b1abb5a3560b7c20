/** The caller's side's hold on a call that may still wait for a slot. */

import type {FlatHeaders} from '@turmericmill/wire';

import type {CallEvents, CallHead, CallLeg, InitialBody} from './call-leg.js';

/** Keeps what arrives of the body until the exchange with the server begins. */
export class AdmittedCall implements CallLeg {
  private exchange: CallLeg | undefined;
  private waiting: Uint8Array[] = [];
  private trailers: FlatHeaders | undefined;
  private creditBytes = 0;

  constructor(
    readonly head: CallHead,
    readonly body: InitialBody,
    readonly events: CallEvents,
    private readonly onCancel: () => void,
  ) {}

  /** True once bytes may have reached the server. */
  get begun(): boolean {
    return this.exchange !== undefined;
  }

  /** Goes on with the exchange. */
  begin(exchange: CallLeg): void {
    this.exchange = exchange;
    for (const chunk of this.waiting) exchange.data(chunk);
    this.waiting = [];
    if (this.creditBytes > 0) exchange.credit(this.creditBytes);
    if (this.trailers) exchange.end(this.trailers);
  }

  /** Cancels the exchange with the server. */
  abort(): void {
    this.exchange?.cancel();
  }

  data(chunk: Uint8Array): void {
    if (this.exchange) this.exchange.data(chunk);
    else this.waiting.push(chunk);
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
