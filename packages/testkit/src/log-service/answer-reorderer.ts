/** Reorders answers: every second answer is sent after its successor. */

/** Time limit in ms for the next answer; the delayed one is then sent alone. */
const MAX_DELAY_MS = 250;

/** Delays every second answer until the next answer has been sent. */
export class AnswerReorderer {
  private delayed: {send: () => void; timer: NodeJS.Timeout} | undefined;

  /** Sends an answer now, or after the next one. */
  schedule(send: () => void): void {
    const {delayed} = this;
    if (delayed === undefined) {
      const timer = setTimeout(() => this.release(), MAX_DELAY_MS);
      this.delayed = {send, timer};
      return;
    }
    send();
    this.release();
  }

  /** Sends the delayed answer, if there is one. */
  release(): void {
    const {delayed} = this;
    this.delayed = undefined;
    if (delayed === undefined) return;
    clearTimeout(delayed.timer);
    delayed.send();
  }
}
