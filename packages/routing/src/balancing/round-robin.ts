/** Round robin: each ready server in turn. */

import type {Candidate} from './balancer.js';
import {Balancer, readyCandidates} from './balancer.js';

/** Selects the ready servers of each group in turn, whatever their load. */
export class RoundRobinBalancer extends Balancer {
  override readonly name = 'round-robin';
  private readonly turns = new Map<string, number>();

  override choose(candidates: readonly Candidate[]): Candidate | undefined {
    const ready = readyCandidates(candidates);
    const group = ready[0]?.group;
    if (group === undefined) return undefined;
    const turn = this.turns.get(group) ?? 0;
    this.turns.set(group, turn + 1);
    return ready[turn % ready.length];
  }

  override started(): void {
    // The turn alone decides.
  }

  override finished(): void {
    // The turn alone decides.
  }
}
