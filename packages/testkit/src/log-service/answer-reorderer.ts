/** Lets answers overtake each other. */

/** Longest time in ms that an answer waits to be overtaken. */
const MAX_HOLD_MS = 250;

/** Holds every second answer until the answer after it was sent. */
export class AnswerCrosser {
  private held: {send: () => void; timer: NodeJS.Timeout} | undefined;

  /** Sends now, or after the next answer. */
  pass(send: () => void): void {
    const {held} = this;
    if (held === undefined) {
      const timer = setTimeout(() => this.release(), MAX_HOLD_MS);
      this.held = {send, timer};
      return;
    }
    send();
    this.release();
  }

  /** Sends what is held. */
  release(): void {
    const {held} = this;
    this.held = undefined;
    if (held === undefined) return;
    clearTimeout(held.timer);
    held.send();
  }
}
