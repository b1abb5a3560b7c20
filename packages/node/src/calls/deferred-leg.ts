/** Leg of a call that was received but not started yet. */

import type {FlatHeaders} from '@turmericmill/wire';

import type {CallLeg} from './call-leg.js';

/**
 * Queues the input of a call until the call is started. Load pattern: a node
 * that was starved or paused reads calls together with their cancellations.
 * Such calls must not reach the server.
 */
export class DeferredLeg implements CallLeg {
  private leg: CallLeg | undefined;
  private cancelled = false;
  private queued: ((leg: CallLeg) => void)[] = [];

  /** Starts the call, unless it has been cancelled. */
  start(run: () => CallLeg): void {
    if (this.cancelled) return;
    const leg = run();
    this.leg = leg;
    for (const input of this.queued) input(leg);
    this.queued = [];
  }

  data(chunk: Uint8Array): void {
    this.forward(leg => leg.data(chunk));
  }

  end(trailers: FlatHeaders): void {
    this.forward(leg => leg.end(trailers));
  }

  credit(bytes: number): void {
    this.forward(leg => leg.credit(bytes));
  }

  cancel(): void {
    this.cancelled = true;
    this.leg?.cancel();
  }

  private forward(input: (leg: CallLeg) => void): void {
    if (this.leg) input(this.leg);
    else this.queued.push(input);
  }
}
