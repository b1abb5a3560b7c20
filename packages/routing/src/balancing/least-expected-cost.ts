/** Least expected cost among a few servers drawn by their capacity. */

import {boundedCache, type RandomSource} from '@turmericmill/utils';

import {Balancer, candidateKey, readyCandidates} from './balancer.js';
import type {CallResult, CallTraits, Candidate} from './balancer.js';
import {ServerEvidence} from './server-evidence.js';
import {weightedSample} from './weighted-sample.js';

/** Servers of a large group that one choice considers. */
const MAX_CONSIDERED = 32;
/** Servers drawn from the node's data centre, and from the others. */
const LOCAL_CHOICES = 3;
const REMOTE_CHOICES = 2;
/** Round trip in ms to another data centre of the region. */
const REMOTE_ROUND_TRIP_MS = 3;
const BYTES_PER_KIB = 1024;
/** Cost of a failed call and of a refused call, in ms of delay. */
const FAILURE_COST_MS = 1_000;
const REFUSAL_COST_MS = 300;
/** Random part of a cost, so that equal servers get equal shares. */
const COST_NOISE = 0.05;
/** Factor within which servers count as equally fast. */
const SPEED_TOLERANCE = 1.5;
/** Share of its slots that a server gets right after its start. */
const INITIAL_SHARE = 0.1;
/** Share of ejected servers above which ejections are ignored. */
const PANIC_SHARE = 0.5;
/** Assumed time in ms for a call before any server has answered. */
const DEFAULT_SERVICE_MS = 20;
/** Maximum number of servers whose evidence is kept. */
const MAX_SERVERS = 4_096;

interface Option {
  candidate: Candidate;
  evidence: ServerEvidence;
  /** Usable slots: those announced, limited by admission and slow start. */
  slots: number;
  serviceMs: number;
}

/** Share of its slots that a server gets at `nowMs` after a cold start. */
export function slowStartShare(
  {readySinceMs}: Candidate,
  {slowStartMs = 0}: CallTraits,
  nowMs: number,
): number {
  if (slowStartMs <= 0) return 1;
  const share = (nowMs - readySinceMs) / slowStartMs;
  return Math.min(1, Math.max(INITIAL_SHARE, share));
}

/** Factor by which utilization lengthens a call: small until slots run out. */
function delayFactor(utilization: number): number {
  return 1 + (utilization < 1 ? utilization ** 4 : utilization);
}

/** All servers of a small group, a random sample of a large one. */
function selectConsidered(
  ready: readonly Candidate[],
  random: RandomSource,
): readonly Candidate[] {
  if (ready.length <= MAX_CONSIDERED) return ready;
  const drawn = new Set<Candidate>();
  while (drawn.size < MAX_CONSIDERED) {
    const candidate = random.pick(ready);
    if (candidate) drawn.add(candidate);
  }
  return [...drawn];
}

function median(values: number[]): number | undefined {
  const sorted = values.sort((a, b) => a - b);
  return sorted[(sorted.length - 1) >> 1];
}

/** `serviceMs`, or `typicalMs` if the difference may be chance. */
function distinctServiceMs(serviceMs: number, typicalMs: number): number {
  const factor = serviceMs / typicalMs;
  const equal = factor < SPEED_TOLERANCE && factor > 1 / SPEED_TOLERANCE;
  return equal ? typicalMs : serviceMs;
}

/**
 * Draws a few servers weighted by slots and speed, and chooses the one with the
 * least expected cost: the delay under its load, the way to another data
 * centre, failures and refusals. All evidence comes from this node's real calls
 * and from the load that the servers' nodes send with answers.
 */
export class LeastExpectedCostBalancer extends Balancer {
  override readonly name = 'least-expected-cost';
  private readonly servers = boundedCache<string, ServerEvidence>(MAX_SERVERS);

  /**
   * `transferCostMsPerKib`: cost of each KiB that crosses between data centres,
   * in ms of delay.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly transferCostMsPerKib = 0,
  ) {
    super();
  }

  override choose(
    candidates: readonly Candidate[],
    call: CallTraits,
    nowMs: number,
    random: RandomSource,
  ): Candidate | undefined {
    const ready = selectConsidered(readyCandidates(candidates), random);
    const eligible = this.withoutEjected(ready, nowMs);
    const options = this.options(eligible, call, nowMs);
    let best: Candidate | undefined;
    let bestCostMs = Infinity;
    for (const option of this.draw(options, random)) {
      const noise = 1 + COST_NOISE * random.next();
      const costMs = this.costMs(option, call, nowMs) * noise;
      if (costMs >= bestCostMs) continue;
      best = option.candidate;
      bestCostMs = costMs;
    }
    return best;
  }

  override started(candidate: Candidate, call: CallTraits): void {
    this.evidenceOf(candidate).start(call);
  }

  override finished(
    candidate: Candidate,
    call: CallTraits,
    result: CallResult,
    nowMs: number,
  ): void {
    const evidence = this.servers.get(candidateKey(candidate));
    if (evidence?.incarnation !== candidate.incarnation) return;
    evidence.finish(call, result, nowMs);
  }

  /** Cost of a call to another data centre, in ms of delay. */
  transferCostMs({transferBytes = 0}: CallTraits): number {
    return (
      REMOTE_ROUND_TRIP_MS +
      (transferBytes / BYTES_PER_KIB) * this.transferCostMsPerKib
    );
  }

  /**
   * Median time in ms that the servers take for a class of calls; undefined if
   * none has answered such a call yet.
   */
  expectedServiceMs(cls: string): number | undefined {
    const timesMs: number[] = [];
    for (const evidence of this.servers.values()) {
      const ms = evidence.lastServiceMs(cls);
      if (ms !== undefined) timesMs.push(ms);
    }
    return median(timesMs);
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
    const notEjected = ready.filter(candidate => {
      const {ejection, inFlight} = this.evidenceOf(candidate);
      return !ejection.isActive(inFlight, nowMs);
    });
    const isPanic = notEjected.length < ready.length * (1 - PANIC_SHARE);
    return isPanic ? ready : notEjected;
  }

  private options(
    candidates: readonly Candidate[],
    call: CallTraits,
    nowMs: number,
  ): Option[] {
    const typicalMs = this.typicalServiceMs(candidates, call);
    return candidates.map(candidate => {
      const evidence = this.evidenceOf(candidate);
      const share = slowStartShare(candidate, call, nowMs);
      const ownMs = evidence.serviceMs(call.class, typicalMs, nowMs);
      return {
        candidate,
        evidence,
        slots: evidence.slots(candidate) * share,
        serviceMs: distinctServiceMs(ownMs, typicalMs),
      };
    });
  }

  private typicalServiceMs(
    candidates: readonly Candidate[],
    call: CallTraits,
  ): number {
    const serviceTimesMs: number[] = [];
    for (const candidate of candidates) {
      const serviceMs = this.evidenceOf(candidate).lastServiceMs(call.class);
      if (serviceMs !== undefined) serviceTimesMs.push(serviceMs);
    }
    return median(serviceTimesMs) ?? DEFAULT_SERVICE_MS;
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

  private costMs(option: Option, call: CallTraits, nowMs: number): number {
    const {evidence, slots, serviceMs} = option;
    const utilization = evidence.callsAhead(call.priority, nowMs) / slots;
    const delayMs = serviceMs * delayFactor(utilization);
    const transferCostMs = this.isLocal(option) ? 0 : this.transferCostMs(call);
    const failures = evidence.ejection.failureRate(nowMs);
    const refusals = evidence.refusalRate(call.priority, nowMs);
    return (
      delayMs +
      transferCostMs +
      FAILURE_COST_MS * failures +
      REFUSAL_COST_MS * refusals
    );
  }
}
