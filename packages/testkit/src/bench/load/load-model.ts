/**
 * Plays a pattern of load through the decisions of the nodes: choice of a
 * server, its queue, refusal, repetition and the moment of return. Servers,
 * clients and time are modelled; one run takes well under a second.
 */

import {
  candidateKey,
  LeastExpectedCostBalancer,
  buildOffer,
  offerStages,
  selectEligibleCandidates,
  RecentRefusals,
  RetryWindow,
  retryAfterMs,
  type CallTraits,
  type Candidate,
  type OfferStage,
  type OfferState,
  type QueuedCall,
} from '@turmericmill/routing';
import {SeededRandom} from '@turmericmill/utils';

import {EventQueue} from '../policy/event-queue.js';
import {LoadCounts, type LoadFigures} from './load-figures.js';
import {
  DATA_CENTRES,
  type Conditions,
  type LoadClass,
  type LoadPattern,
} from './load-pattern.js';
import {ModelledServer, type OfferEnd} from './load-server.js';

/** Nodes in each data centre at which calls arrive. */
const ENTRIES_PER_DATA_CENTRE = 4;
/** One-way time in ms between two nodes. */
const WAY_MS = 1;
/** What a KiB that crosses is worth, in ms of delay; as in the node. */
const CROSSING_MS_PER_KIB = 50;
/** Nodes that are asked for a slot before the caller is told to return. */
const MAX_OFFERS = 4;
/** Servers that one attempt may be sent to. */
const MAX_ATTEMPTS = 2;
/** Repetitions that an entry node allows, as the node takes them. */
const RETRIES = {share: 0.17, extra: 1, windowMs: 10_000};
/** Part of its target that a caller gets at least; as in the node. */
const LEAST_TARGET_SHARE = 0.25;
/** Times that a client tries. */
const CLIENT_ATTEMPTS = 2;
/** Part of the time left for which a client stays away. */
const PATIENCE_SHARE = 1 / 3;
/** Time in ms after which nothing is in flight any more. */
const TAIL_MS = 3_000;

const USUAL: Conditions = {
  load: 1,
  slowness: 1,
  slowServers: 0,
  shedShare: 0,
};

interface Entry {
  dataCentre: string;
  balancer: LeastExpectedCostBalancer;
  refusals: RecentRefusals;
  budget: RetryWindow;
}

/** A caller's request over all its attempts. */
interface Request {
  cls: LoadClass;
  entry: Entry;
  workMs: number;
  firstMs: number;
  attempts: number;
}

/** One attempt of a caller, as its entry node sees it. */
interface Attempt {
  request: Request;
  startedMs: number;
  deadlineMs: number;
  targetMs: number;
  tried: Set<string>;
  reached: number;
  offers: number;
  stage: OfferStage;
  laterStages: readonly OfferStage[];
  leastWaitMs: number;
}

export class LoadModel {
  private readonly events = new EventQueue();
  private readonly random: SeededRandom;
  private readonly servers: ModelledServer[];
  private readonly entries: Entry[];
  private readonly counts = new LoadCounts();
  private nextId = 1;

  constructor(
    private readonly pattern: LoadPattern,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.servers = pattern.servers.map(
      (plan, index) =>
        new ModelledServer(
          index,
          plan,
          pattern.slots,
          this.events,
          this.random,
          () => this.faultOf(index),
        ),
    );
    this.entries = DATA_CENTRES.flatMap(dataCentre =>
      Array.from({length: ENTRIES_PER_DATA_CENTRE}, () => ({
        dataCentre,
        balancer: new LeastExpectedCostBalancer(
          dataCentre,
          CROSSING_MS_PER_KIB,
        ),
        refusals: new RecentRefusals(),
        budget: new RetryWindow(RETRIES),
      })),
    );
  }

  run(): LoadFigures {
    for (const cls of this.pattern.classes) this.scheduleArrival(cls);
    this.events.runUntil(this.pattern.lengthMs + TAIL_MS);
    for (const server of this.servers) this.counts.runs += server.runs;
    return this.counts.figures();
  }

  private get conditions(): Conditions {
    return {...USUAL, ...this.pattern.conditionsAt(this.events.nowMs)};
  }

  private faultOf(index: number): {slowness: number; shedShare: number} {
    const {slowness, slowServers, shedShare} = this.conditions;
    return {slowness: index < slowServers ? slowness : 1, shedShare};
  }

  private scheduleArrival(cls: LoadClass): void {
    const perMs =
      (cls.perSecond * DATA_CENTRES.length * this.conditions.load) / 1000;
    const gapMs = -Math.log(1 - this.random.next()) / perMs;
    this.events.after(gapMs, () => {
      if (this.events.nowMs > this.pattern.lengthMs) return;
      this.counts.asked(cls);
      this.attempt({
        cls,
        entry: this.random.pick(this.entries) as Entry,
        workMs: this.drawWorkMs(cls),
        firstMs: this.events.nowMs,
        attempts: 0,
      });
      this.scheduleArrival(cls);
    });
  }

  /** Log-normal around the mean. */
  private drawWorkMs({workMs, spread}: LoadClass): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.random.next());
    return workMs * Math.exp(spread * normal - spread ** 2 / 2);
  }

  private attempt(request: Request): void {
    const {cls, entry, firstMs} = request;
    const {nowMs} = this.events;
    request.attempts += 1;
    const leftMs = firstMs + cls.patienceMs - nowMs;
    const waitMs = Math.min(cls.timeoutMs, leftMs);
    entry.budget.recordRequest(nowMs);
    const leastMs = cls.targetMs * LEAST_TARGET_SHARE;
    const countedMs = Math.max(firstMs + cls.targetMs, nowMs + leastMs);
    const targetMs = Math.min(countedMs, nowMs + waitMs);
    const [stage, ...laterStages] = offerStages({
      crossingMs: entry.balancer.crossingMs(traitsOf(cls)),
      maxLatenessMs: cls.timeoutMs - cls.targetMs,
    });
    this.offer({
      request,
      startedMs: nowMs,
      deadlineMs: nowMs + waitMs,
      targetMs,
      tried: new Set(),
      reached: 0,
      offers: 0,
      stage,
      laterStages,
      leastWaitMs: Infinity,
    });
  }

  private offer(attempt: Attempt): void {
    const {request} = attempt;
    const {entry, cls} = request;
    const candidate = this.choose(attempt);
    if (!candidate) {
      this.refuse(attempt);
      return;
    }
    const key = candidateKey(candidate);
    attempt.tried.add(key);
    attempt.offers += 1;
    const traits = traitsOf(cls);
    const sentMs = this.events.nowMs;
    entry.balancer.started(candidate, traits);
    const server = this.serverOf(candidate);
    this.events.after(WAY_MS, () => {
      server.offer(this.queued(attempt), request.workMs, end => {
        const load = server.load(cls.rank, cls.name);
        this.events.after(WAY_MS, () => {
          const latencyMs = this.events.nowMs - sentMs;
          const outcome = end === 'answered' ? 'answered' : 'refused';
          const result = {outcome, latencyMs, load} as const;
          entry.balancer.finished(candidate, traits, result, this.events.nowMs);
          this.ended(attempt, candidate, end, load.waitMs ?? 0);
        });
      });
    });
  }

  private serverOf(candidate: Candidate): ModelledServer {
    const found = this.servers.find(one => one.candidate === candidate);
    if (!found) throw new Error(`No server ${candidate.serverId}.`);
    return found;
  }

  private queued({request, targetMs, deadlineMs, stage}: Attempt): QueuedCall {
    this.nextId += 1;
    const {acceptsLate, mayWait} = stage;
    return {
      id: this.nextId,
      class: request.cls.name,
      rank: request.cls.rank,
      targetMs: mayWait ? targetMs : this.events.nowMs,
      deadlineMs,
      acceptsLate: acceptsLate && mayWait,
      suspect: false,
    };
  }

  private choose(attempt: Attempt): Candidate | undefined {
    for (;;) {
      const found = this.pick(attempt);
      const [next, ...laterStages] = attempt.laterStages;
      if (found || !next) return found;
      attempt.stage = next;
      attempt.laterStages = laterStages;
    }
  }

  private pick(attempt: Attempt): Candidate | undefined {
    const {entry, cls} = attempt.request;
    const {nowMs} = this.events;
    const open = selectEligibleCandidates(
      this.servers.map(({candidate}) => candidate),
      offerState(attempt),
      entry.refusals,
      entry.dataCentre,
      nowMs,
    );
    return entry.balancer.choose(open, traitsOf(cls), nowMs, this.random);
  }

  private ended(
    attempt: Attempt,
    candidate: Candidate,
    end: OfferEnd,
    waitMs: number,
  ): void {
    const {request, stage} = attempt;
    const {entry, cls} = request;
    const {mayWait} = stage;
    const {nowMs} = this.events;
    const server = candidateKey(candidate);
    if (end === 'answered') {
      entry.refusals.clear(server);
      if (candidate.dataCentre !== entry.dataCentre) {
        this.counts.crossingBytes += cls.answerBytes;
      }
      this.answered(attempt);
      return;
    }
    if (end === 'overload') {
      const offer = buildOffer(candidate, offerState(attempt), nowMs);
      if (mayWait) entry.refusals.record(offer, nowMs);
      attempt.leastWaitMs = Math.min(attempt.leastWaitMs, waitMs);
    }
    if (end === 'shed') attempt.reached += 1;
    const again =
      end === 'shed'
        ? attempt.reached < MAX_ATTEMPTS && entry.budget.acquire(nowMs)
        : attempt.offers < MAX_OFFERS;
    if (again && nowMs < attempt.deadlineMs) this.offer(attempt);
    else this.refuse(attempt);
  }

  private answered({request}: Attempt): void {
    const {cls, firstMs, attempts} = request;
    const latencyMs = this.events.nowMs - firstMs;
    const end = latencyMs <= cls.targetMs ? 'on-time' : 'late';
    const isTooLate = latencyMs > cls.patienceMs;
    this.counts.ended(cls, isTooLate ? 'failed' : end, attempts);
  }

  private refuse(attempt: Attempt): void {
    const {request, startedMs, deadlineMs, leastWaitMs} = attempt;
    const {cls, firstMs} = request;
    const {nowMs} = this.events;
    this.counts.refusedAfter(cls, nowMs - startedMs);
    const leftMs = firstMs + cls.patienceMs - nowMs;
    if (request.attempts >= CLIENT_ATTEMPTS || leftMs <= 0) {
      this.counts.ended(cls, 'refused', request.attempts);
      return;
    }
    const waitMs = Number.isFinite(leastWaitMs) ? leastWaitMs : 0;
    const awayMs = retryAfterMs(waitMs, deadlineMs - nowMs, this.random);
    const heededMs = Math.min(awayMs, leftMs * PATIENCE_SHARE);
    this.events.after(heededMs, () => this.attempt(request));
  }
}

function offerState(attempt: Attempt): OfferState {
  const {request, stage, tried, reached, targetMs, deadlineMs} = attempt;
  const {rank} = request.cls;
  return {stage, tried, reached, rank, targetMs, deadlineMs};
}

function traitsOf({name, answerBytes}: LoadClass): CallTraits {
  return {class: name, priority: 'interactive', answerBytes};
}
