/** Least in flight: the server with the fewest of this node's calls. */

import type {RandomSource} from '@turmericmill/utils';

import {Balancer, candidateKey, readyCandidates} from './balancer.js';
import type {CallTraits, Candidate} from './balancer.js';

/** Counts this node's own calls; ties are broken at random. */
export class LeastInFlightBalancer extends Balancer {
  override readonly name = 'least-in-flight';
  private readonly inFlight = new Map<string, number>();

  override choose(
    candidates: readonly Candidate[],
    call: CallTraits,
    nowMs: number,
    random: RandomSource,
  ): Candidate | undefined {
    const ready = readyCandidates(candidates);
    let least = Infinity;
    let best: Candidate[] = [];
    for (const candidate of ready) {
      const count = this.count(candidate);
      if (count > least) continue;
      if (count < least) best = [];
      least = count;
      best.push(candidate);
    }
    return random.pick(best);
  }

  override started(candidate: Candidate): void {
    const count = this.count(candidate);
    this.inFlight.set(candidateKey(candidate), count + 1);
  }

  override finished(candidate: Candidate): void {
    const count = this.count(candidate);
    if (count > 1) this.inFlight.set(candidateKey(candidate), count - 1);
    else this.inFlight.delete(candidateKey(candidate));
  }

  private count(candidate: Candidate): number {
    return this.inFlight.get(candidateKey(candidate)) ?? 0;
  }
}
