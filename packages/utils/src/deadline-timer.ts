/** Deadlines that something which has arrived in time still meets. */

/**
 * A timer that runs after the sockets were read. A process that stood still has
 * late timers and unread bytes at once, and the event loop runs timers first.
 */
export class DeadlineTimer {
  private timer: NodeJS.Timeout | undefined;
  private immediate: NodeJS.Immediate | undefined;
  private isSet = false;

  /** Calls `callback` once after `delayMs`, unless set or cleared before. */
  set(delayMs: number, callback: () => void): void {
    this.clear();
    this.isSet = true;
    this.timer = setTimeout(() => {
      // Immediates run after reads.
      this.immediate = setImmediate(() => {
        this.isSet = false;
        callback();
      });
    }, delayMs);
  }

  /** Begins the delay anew, unless the timer was cleared or has run. */
  refresh(): void {
    if (!this.isSet) return;
    clearImmediate(this.immediate);
    this.timer?.refresh();
  }

  clear(): void {
    this.isSet = false;
    clearTimeout(this.timer);
    clearImmediate(this.immediate);
  }
}
