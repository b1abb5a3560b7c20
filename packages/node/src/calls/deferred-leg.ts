/** A leg of a call that has arrived and has not been started yet. */

import type {FlatHeaders} from '@turmericmill/wire';

import type {CallLeg} from './call-leg.js';

/**
 * Keeps what comes for a call until it starts. Load pattern: a node that was
 * starved or paused reads calls together with their cancellations; such calls
 * must not reach the server.
 */
export class DeferredLeg implements CallLeg {
  private leg: CallLeg | undefined;
  private cancelled = false;
  private held: ((leg: CallLeg) => void)[] = [];

  /** Starts the call unless it was cancelled meanwhile. */
  start(run: () => CallLeg): void {
    if (this.cancelled) return;
    const leg = run();
    this.leg = leg;
    for (const pass of this.held) pass(leg);
    this.held = [];
  }

  data(chunk: Uint8Array): void {
    this.pass(leg => leg.data(chunk));
  }

  end(trailers: FlatHeaders): void {
    this.pass(leg => leg.end(trailers));
  }

  credit(bytes: number): void {
    this.pass(leg => leg.credit(bytes));
  }

  cancel(): void {
    this.cancelled = true;
    this.leg?.cancel();
  }

  private pass(step: (leg: CallLeg) => void): void {
    if (this.leg) step(this.leg);
    else this.held.push(step);
  }
}
