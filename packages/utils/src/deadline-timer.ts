/** Timers for deadlines on received data. */

/**
 * A timer that fires after pending socket reads, so that data that arrived in
 * time meets the deadline. After a pause, a process has both overdue timers and
 * unread bytes, and the event loop runs timers first.
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
      // Immediates run after socket reads.
      this.immediate = setImmediate(() => {
        this.isSet = false;
        callback();
      });
    }, delayMs);
  }

  /** Restarts the delay, unless the timer was cleared or has fired. */
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
