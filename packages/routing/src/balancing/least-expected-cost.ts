/** Least expected cost among a few servers drawn by their capacity. */

import type {RandomSource} from '@turmericmill/utils';
import {LRUCache} from 'lru-cache';

import {Balancer, candidateKey, readyCandidates} from './balancer.js';
import type {CallResult, Candidate} from './balancer.js';
import {ServerEvidence} from './server-evidence.js';
import {weightedSample} from './weighted-sample.js';

/** Servers drawn from the own data centre, and from the others. */
const LOCAL_CHOICES = 3;
const REMOTE_CHOICES = 2;
/** Round trip in ms to another data centre of the region. */
const CROSSING_MS = 3;
/** What a failed call and a refused call are worth, in ms of delay. */
const FAILURE_COST_MS = 1_000;
const REFUSAL_COST_MS = 50;
/** Random part of a cost: equal servers get equal shares. */
const COST_NOISE = 0.05;
/** Share of its slots that a server gets right after its start. */
const FIRST_SHARE = 0.1;
/** Share of ejected servers above which ejections are ignored. */
const PANIC_SHARE = 0.5;
/** Assumed time in ms for a call while no server has answered. */
const UNKNOWN_SERVICE_MS = 20;
/** Servers whose evidence is kept. */
const MAX_SERVERS = 4_096;

interface Option {
  candidate: Candidate;
  evidence: ServerEvidence;
  /** Slots in use by now: announced, limited by admission and slow start. */
  slots: number;
  serviceMs: number;
}

/** Share of its slots that a server gets at `nowMs` after a cold start. */
export function slowStartShare(candidate: Candidate, nowMs: number): number {
  const {readySinceMs, slowStartMs = 0} = candidate;
  if (slowStartMs <= 0) return 1;
  const share = (nowMs - readySinceMs) / slowStartMs;
  return Math.min(1, Math.max(FIRST_SHARE, share));
}

/** Factor by which use lengthens a call: little until slots run out. */
function delayFactor(use: number): number {
  return 1 + (use < 1 ? use ** 4 : use);
}

/**
 * Draws a few servers weighted by slots and speed and takes the one with the
 * least expected cost: delay under its load, a crossing of data centres,
 * failures and refusals. All evidence comes from this node's real calls and
 * from the load that the servers' nodes send with answers.
 */
export class LeastExpectedCostBalancer extends Balancer {
  override readonly name = 'least-expected-cost';
  private readonly servers = new LRUCache<string, ServerEvidence>({
    max: MAX_SERVERS,
  });

  constructor(private readonly dataCentre: string) {
    super();
  }

  override choose(
    candidates: readonly Candidate[],
    nowMs: number,
    random: RandomSource,
  ): Candidate | undefined {
    const ready = readyCandidates(candidates);
    const options = this.options(this.withoutEjected(ready, nowMs), nowMs);
    let best: Candidate | undefined;
    let bestCostMs = Infinity;
    for (const option of this.draw(options, random)) {
      const noise = 1 + COST_NOISE * random.next();
      const costMs = this.costMs(option, nowMs) * noise;
      if (costMs >= bestCostMs) continue;
      best = option.candidate;
      bestCostMs = costMs;
    }
    return best;
  }

  override started(candidate: Candidate): void {
    this.evidenceOf(candidate).inFlight++;
  }

  override finished(
    candidate: Candidate,
    result: CallResult,
    nowMs: number,
  ): void {
    const evidence = this.servers.get(candidateKey(candidate));
    if (evidence?.incarnation !== candidate.incarnation) return;
    evidence.inFlight = Math.max(0, evidence.inFlight - 1);
    evidence.record(result, nowMs);
  }

  private evidenceOf(candidate: Candidate): ServerEvidence {
    const key = candidateKey(candidate);
    let evidence = this.servers.get(key);
    if (evidence?.incarnation !== candidate.incarnation) {
      evidence = new ServerEvidence(candidate.incarnation);
      this.servers.set(key, evidence);
    }
    return evidence;
  }

  private withoutEjected(
    ready: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    const rest = ready.filter(
      candidate => !this.evidenceOf(candidate).isEjected(nowMs),
    );
    const panic = rest.length < ready.length * (1 - PANIC_SHARE);
    return panic ? ready : rest;
  }

  private options(candidates: readonly Candidate[], nowMs: number): Option[] {
    const fallback = this.typicalServiceMs(candidates);
    return candidates.map(candidate => {
      const evidence = this.evidenceOf(candidate);
      const share = slowStartShare(candidate, nowMs);
      return {
        candidate,
        evidence,
        slots: evidence.limit(candidate) * share,
        serviceMs: evidence.expectedServiceMs(fallback, nowMs),
      };
    });
  }

  /** The least time known of any server: unknown ones are worth a try. */
  private typicalServiceMs(candidates: readonly Candidate[]): number {
    let least = Infinity;
    for (const candidate of candidates) {
      const known = this.evidenceOf(candidate).lastServiceMs;
      if (known !== undefined && known < least) least = known;
    }
    return least === Infinity ? UNKNOWN_SERVICE_MS : least;
  }

  private draw(options: readonly Option[], random: RandomSource): Option[] {
    const local: Option[] = [];
    const remote: Option[] = [];
    for (const option of options) {
      (this.isLocal(option) ? local : remote).push(option);
    }
    const weight = (option: Option) => option.slots / option.serviceMs;
    return [
      ...weightedSample(local, weight, LOCAL_CHOICES, random),
      ...weightedSample(remote, weight, REMOTE_CHOICES, random),
    ];
  }

  private isLocal({candidate}: Option): boolean {
    return candidate.dataCentre === this.dataCentre;
  }

  private costMs(option: Option, nowMs: number): number {
    const {evidence, slots, serviceMs} = option;
    const use = evidence.occupied(nowMs) / slots;
    const delayMs = serviceMs * delayFactor(use);
    const crossingMs = this.isLocal(option) ? 0 : CROSSING_MS;
    const failureMs = FAILURE_COST_MS * evidence.failureRate(nowMs);
    const refusalMs = REFUSAL_COST_MS * evidence.refusalRate(nowMs);
    return delayMs + crossingMs + failureMs + refusalMs;
  }
}
