/** Discrete-event simulation of entry nodes and servers of one group. */

import type {ClassPriority} from '@turmericmill/config';
import {
  decideRetry,
  RetryBudget,
  type Balancer,
  type CallOutcome,
  type CallTraits,
  type Candidate,
  type FailedAttempt,
} from '@turmericmill/routing';
import {hash32, SeededRandom} from '@turmericmill/utils';

import {ClassFigures, type ClassSummary} from './class-figures.js';
import {EventQueue} from './event-queue.js';
import {
  SLOW_START_MS,
  SimServer,
  type AttemptEnd,
  type FailedEnd,
} from './sim-server.js';
import {
  capacityPerMs,
  drawClass,
  exponentialMs,
  faultOf,
  type ClassLoad,
  type Deployment,
  type Fault,
} from './workload.js';

const DATA_CENTRES = ['a', 'b', 'c'];
const ENTRY_NODES = 12;
/** One-way latency in ms within and between data centres. */
const LOCAL_LATENCY_MS = 0.15;
const REMOTE_LATENCY_MS = 1.5;
/** Retries allowed as a percentage of calls. */
const RETRY_PERCENT = 10;

/** Parameters of a simulation. */
export interface PolicyRun {
  deployment: Deployment;
  fault: Fault;
  /** Offered load as a share of the capacity of healthy servers. */
  load: number;
  warmUpMs: number;
  measuredMs: number;
  seed: number;
  makeBalancer(dataCentre: string): Balancer;
}

/** Figures by class, and runs started by servers per offered call. */
export interface PolicyFigures {
  interactive: ClassSummary;
  bulk: ClassSummary;
  runsPerCall: number;
}

interface EntryNode {
  dataCentre: string;
  balancer: Balancer;
  budget: RetryBudget;
}

interface Call {
  entry: EntryNode;
  cls: ClassLoad;
  workMs: number;
  startedMs: number;
  deadlineMs: number;
  attempts: number;
  tried: Set<SimServer>;
  isMeasured: boolean;
}

function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
}

/** Creates a random stream that is independent of those of other purposes. */
function randomFor(seed: number, purpose: string): SeededRandom {
  return new SeededRandom(hash32(`${seed}/${purpose}`));
}

/** One run of one policy. All policies get the same calls for the same seed. */
export class PolicySim {
  private readonly events = new EventQueue();
  private readonly arrivals: SeededRandom;
  private readonly choices: SeededRandom;
  private readonly servers: SimServer[];
  private readonly entryNodes: EntryNode[];
  private readonly figures: Record<ClassPriority, ClassFigures> = {
    interactive: new ClassFigures(),
    bulk: new ClassFigures(),
  };
  private nextId = 1;
  private callCount = 0;

  constructor(private readonly cfg: PolicyRun) {
    const {deployment, fault, seed} = cfg;
    this.arrivals = randomFor(seed, 'arrivals');
    this.choices = randomFor(seed, 'choices');
    this.servers = Array.from({length: deployment.servers}, (unused, index) => {
      const serverFault = faultOf(fault, index, deployment.servers);
      const random = randomFor(seed, `server-${index}`);
      const dataCentre = dataCentreOf(index);
      const {events} = this;
      return new SimServer(
        index,
        dataCentre,
        deployment,
        serverFault,
        events,
        random,
      );
    });
    this.entryNodes = Array.from({length: ENTRY_NODES}, (unused, index) => ({
      dataCentre: dataCentreOf(index),
      balancer: cfg.makeBalancer(dataCentreOf(index)),
      budget: new RetryBudget(0),
    }));
  }

  run(): PolicyFigures {
    const {warmUpMs, measuredMs, deployment} = this.cfg;
    const maxTimeoutMs = Math.max(...deployment.classes.map(c => c.timeoutMs));
    this.scheduleArrival();
    this.events.runUntil(warmUpMs + measuredMs + maxTimeoutMs);
    const runs = this.servers.reduce((sum, server) => sum + server.runs, 0);
    return {
      interactive: this.figures.interactive.summary(measuredMs),
      bulk: this.figures.bulk.summary(measuredMs),
      runsPerCall: Number((runs / this.callCount).toFixed(3)),
    };
  }

  private scheduleArrival(): void {
    const {load, deployment, warmUpMs, measuredMs} = this.cfg;
    const meanIntervalMs = 1 / (capacityPerMs(deployment) * load);
    this.events.after(exponentialMs(meanIntervalMs, this.arrivals), () => {
      if (this.events.nowMs > warmUpMs + measuredMs) return;
      this.startCall();
      this.scheduleArrival();
    });
  }

  private startCall(): void {
    const {deployment, warmUpMs} = this.cfg;
    const cls = drawClass(deployment.classes, this.arrivals);
    const entry = this.arrivals.pick(this.entryNodes) as EntryNode;
    const startedMs = this.events.nowMs;
    const call: Call = {
      entry,
      cls,
      workMs: exponentialMs(cls.serviceMs, this.arrivals),
      startedMs,
      deadlineMs: startedMs + cls.timeoutMs,
      attempts: 0,
      tried: new Set(),
      isMeasured: startedMs >= warmUpMs,
    };
    this.callCount++;
    if (call.isMeasured) this.figures[cls.priority].recordOffered();
    entry.budget.deposit(RETRY_PERCENT, startedMs);
    this.attempt(call);
  }

  private attempt(call: Call): void {
    const {entry} = call;
    const untried = this.servers.filter(server => !call.tried.has(server));
    const candidates = untried.map(({candidate}) => candidate);
    const {nowMs} = this.events;
    const chosen = entry.balancer.choose(
      candidates,
      traitsOf(call),
      nowMs,
      this.choices,
    );
    const server = untried.find(({candidate}) => candidate === chosen);
    if (!server || !chosen) {
      this.endCall(call, 'refused');
      return;
    }
    call.attempts++;
    call.tried.add(server);
    entry.balancer.started(chosen, traitsOf(call), nowMs);
    this.send(call, server, chosen);
  }

  private send(call: Call, server: SimServer, candidate: Candidate): void {
    const {events} = this;
    const id = this.nextId++;
    const sentMs = events.nowMs;
    const isLocal = candidate.dataCentre === call.entry.dataCentre;
    const oneWayMs = isLocal ? LOCAL_LATENCY_MS : REMOTE_LATENCY_MS;
    let ended = false;
    const settle = (outcome: CallOutcome, end?: AttemptEnd) => {
      if (ended) return;
      ended = true;
      const result = {outcome, latencyMs: events.nowMs - sentMs};
      const withLoad = end ? {...result, load: end.load} : result;
      call.entry.balancer.finished(
        candidate,
        traitsOf(call),
        withLoad,
        events.nowMs,
      );
      if (end) this.handleEnd(call, end);
    };
    const onEnd = (result: AttemptEnd) => {
      events.after(oneWayMs, () => settle(outcomeOf(result), result));
    };
    const admissionCall = {
      id,
      class: call.cls.priority,
      priority: call.cls.priority,
      weight: 1,
      deadlineMs: call.deadlineMs,
      fingerprint: '',
      suspect: false,
    };
    const attempt = {call: admissionCall, workMs: call.workMs, onEnd};
    events.after(oneWayMs, () => server.offer(attempt));
    events.after(call.deadlineMs - sentMs, () => {
      if (ended) return;
      settle('timed-out');
      this.endCall(call, 'failed');
      events.after(oneWayMs, () => server.cancel(id));
    });
  }

  private handleEnd(call: Call, end: AttemptEnd): void {
    const {nowMs} = this.events;
    switch (end.kind) {
      case 'answered':
        this.endCall(call, 'good');
        break;
      case 'server-error':
        this.endCall(call, 'failed');
        break;
      default: {
        const decision = decideRetry(
          this.failedAttempt(call, end),
          call.entry.budget,
          nowMs,
        );
        if (decision === 'retry') this.attempt(call);
        else this.endCall(call, end.kind === 'not-run' ? 'refused' : 'failed');
      }
    }
  }

  private failedAttempt(call: Call, end: FailedEnd): FailedAttempt {
    return {
      outcome: end.kind,
      reason: end.reason,
      attempts: call.attempts,
      repetition: 'at-most-once',
      deadlineMs: call.deadlineMs,
      hops: 0,
      repeated: false,
      replayable: true,
      untried: this.servers.length - call.tried.size,
    };
  }

  private endCall(call: Call, end: 'good' | 'failed' | 'refused'): void {
    if (!call.isMeasured) return;
    const {nowMs} = this.events;
    const isLate = nowMs > call.deadlineMs;
    const figures = this.figures[call.cls.priority];
    figures.recordEnd(isLate ? 'failed' : end, nowMs - call.startedMs);
  }
}

function traitsOf({cls}: Call): CallTraits {
  const {priority} = cls;
  return {class: priority, priority, slowStartMs: SLOW_START_MS};
}

function outcomeOf(end: AttemptEnd): CallOutcome {
  switch (end.kind) {
    case 'answered':
      return 'answered';
    case 'server-error':
      return 'server-error';
    case 'not-run':
      return end.reason === 'server-unreachable' ? 'failed' : 'refused';
    case 'unknown':
      return 'failed';
  }
}
