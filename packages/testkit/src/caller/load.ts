/** Sends calls to nodes at a constant rate. */

import type {Caller, CallOrder} from './caller.js';

const TICK_MS = 10;

/** Sends `callsPerSecond` calls each second until it is stopped. */
export class Load {
  private timer: NodeJS.Timeout | undefined;
  private readonly pending = new Set<Promise<unknown>>();
  private sent = 0;
  private startedMs = 0;

  /**
   * `urls` is called before each call, so that the set of nodes may change; the
   * calls are spread round-robin. `order` receives the number of the call.
   */
  constructor(
    private readonly caller: Caller,
    private readonly urls: () => readonly string[],
    private readonly order: (call: number) => CallOrder,
    private readonly callsPerSecond: number,
  ) {}

  start(): void {
    this.startedMs = performance.now();
    this.timer = setInterval(() => this.sendDue(), TICK_MS);
  }

  /** Stops sending; resolves when every call in flight has ended. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.pending);
  }

  private sendDue(): void {
    const elapsedMs = performance.now() - this.startedMs;
    const due = Math.floor((elapsedMs * this.callsPerSecond) / 1000);
    while (this.sent < due) this.sendNext();
  }

  private sendNext(): void {
    const urls = this.urls();
    const url = urls[this.sent % urls.length];
    const order = this.order(this.sent);
    this.sent += 1;
    if (url === undefined) return;
    const call = this.caller.call(url, order).finally(() => {
      this.pending.delete(call);
    });
    this.pending.add(call);
  }
}
