/** Events of a simulation, ordered by time. */

interface TimedEvent {
  atMs: number;
  /** Keeps events at the same time in the order in which they were added. */
  sequence: number;
  run: () => void;
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/** A binary heap of events, and the simulated time. */
export class EventQueue {
  nowMs = 0;
  private readonly heap: TimedEvent[] = [];
  private nextSequence = 0;

  /** Schedules `run` for `delayMs` after the current simulated time. */
  after(delayMs: number, run: () => void): void {
    const event = {
      atMs: this.nowMs + delayMs,
      sequence: this.nextSequence++,
      run,
    };
    this.heap.push(event);
    this.siftUp(this.heap.length - 1);
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

  private siftUp(start: number): void {
    const {heap} = this;
    const event = heap[start] as TimedEvent;
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = heap[parent] as TimedEvent;
      if (!isBefore(event, parentEvent)) break;
      heap[index] = parentEvent;
      index = parent;
    }
    heap[index] = event;
  }

  private removeFirst(): void {
    const {heap} = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const right = heap[child + 1];
      if (right && isBefore(right, heap[child] as TimedEvent)) child++;
      const childEvent = heap[child];
      if (!childEvent || !isBefore(childEvent, last)) break;
      heap[index] = childEvent;
      index = child;
    }
    heap[index] = last;
  }
}
