/** Events of a simulation in the order of their times. */

interface TimedEvent {
  atMs: number;
  /** Keeps events of the same time in the order of their arrival. */
  order: number;
  run: () => void;
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** A binary heap of events, and the simulated time. */
export class EventQueue {
  nowMs = 0;
  private readonly heap: TimedEvent[] = [];
  private nextOrder = 0;

  /** Has `run` called `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    const event = {atMs: this.nowMs + delayMs, order: this.nextOrder++, run};
    this.heap.push(event);
    this.rise(this.heap.length - 1);
  }

  /** Runs all events up to and including `untilMs`. */
  runUntil(untilMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (!first || first.atMs > untilMs) break;
      this.removeFirst();
      this.nowMs = first.atMs;
      first.run();
    }
    this.nowMs = untilMs;
  }

  private rise(start: number): void {
    const {heap} = this;
    const event = heap[start] as TimedEvent;
    let index = start;
    while (index > 0) {
      const above = (index - 1) >> 1;
      const parent = heap[above] as TimedEvent;
      if (!isBefore(event, parent)) break;
      heap[index] = parent;
      index = above;
    }
    heap[index] = event;
  }

  private removeFirst(): void {
    const {heap} = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let below = 2 * index + 1;
      const right = heap[below + 1];
      if (right && isBefore(right, heap[below] as TimedEvent)) below++;
      const child = heap[below];
      if (!child || !isBefore(child, last)) break;
      heap[index] = child;
      index = below;
    }
    heap[index] = last;
  }
}
