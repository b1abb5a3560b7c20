/** Calls of one class that wait for a slot, ordered by deadline. */

import type {ClassPriority} from '@turmericmill/config';
import TinyQueue from 'tinyqueue';

/** A call that needs a slot of the backend server. */
export interface AdmissionCall {
  /** Unique within the node. */
  id: number;
  class: string;
  priority: ClassPriority;
  /** Share of slots among classes of the same priority; at least 1. */
  weight: number;
  /** Time in ms since the epoch by which the answer is due. */
  deadlineMs: number;
  /** Identifies the request for quarantine. */
  fingerprint: string;
  /** True if it was running at a crash: only one suspect runs at a time. */
  suspect: boolean;
}

/** A queue ordered by deadline; waiting calls may be withdrawn. */
export class CallLane {
  private readonly queue = new TinyQueue<AdmissionCall>(
    [],
    (a, b) => a.deadlineMs - b.deadlineMs,
  );
  private readonly waiting = new Map<number, AdmissionCall>();
  /** Calls of this lane that occupy a slot. */
  running = 0;

  constructor(
    readonly priority: ClassPriority,
    readonly weight: number,
    readonly holdsSuspects: boolean,
  ) {}

  get length(): number {
    return this.waiting.size;
  }

  push(call: AdmissionCall): void {
    this.waiting.set(call.id, call);
    this.queue.push(call);
  }

  /** Removes a waiting call; false if it does not wait here. */
  withdraw(id: number): boolean {
    return this.waiting.delete(id);
  }

  /** The waiting call with the earliest deadline. */
  peek(): AdmissionCall | undefined {
    let call = this.queue.peek();
    while (call && !this.waiting.has(call.id)) {
      this.queue.pop();
      call = this.queue.peek();
    }
    return call;
  }

  /** Removes and returns the call with the earliest deadline. */
  shift(): AdmissionCall | undefined {
    const call = this.peek();
    if (!call) return undefined;
    this.queue.pop();
    this.waiting.delete(call.id);
    return call;
  }

  /** Removes and returns all waiting calls. */
  clear(): AdmissionCall[] {
    const calls = [...this.waiting.values()];
    this.waiting.clear();
    while (this.queue.length > 0) this.queue.pop();
    return calls;
  }
}
