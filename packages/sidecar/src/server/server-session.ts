/** Slots, queued calls and connections of one start of the server. */

import type {CurrentServer} from '@turmericmill/membership';
import type {
  CallEvents,
  CallFailure,
  CallHead,
  CallLeg,
  InitialBody,
} from '@turmericmill/node';
import {
  CrashDetector,
  SlotQueue,
  StartPace,
  type EvidenceOutcome,
  type SlotEffect,
} from '@turmericmill/routing';
import {DeadlineTimer} from '@turmericmill/utils';
import type {FailureReason, ServerLoad, ServerState} from '@turmericmill/wire';

import {checkAnswer} from './answer-check.js';
import type {ServerAnswer} from './answer-parser.js';
import {ExpectedTimes} from './expected-times.js';
import {REFUSAL_DETAILS} from './refusal-details.js';
import {ServerCall} from './server-call.js';
import type {ExchangeEnd} from './server-connection.js';
import {ServerPool} from './server-pool.js';
import {serializeRequest} from './server-request.js';
import type {ServerRunnerParts} from './server-runner.js';

/** Interval in ms between deadline checks while calls wait for a slot. */
const WAITING_SWEEP_MS = 20;
/** The same while no call waits: most running calls end before a deadline. */
const RUNNING_SWEEP_MS = 100;
/** Time in ms after a call's deadline in which the server may still answer. */
const DEADLINE_GRACE_MS = 40;
/** Interval in ms between probes of a server that accepted no connection. */
const PROBE_INTERVAL_MS = 300;
/** Time in ms within which all calls lost in a crash have been recorded. */
const CRASH_SETTLE_MS = 50;

export class ServerSession {
  private readonly queue: SlotQueue;
  private readonly pace: StartPace | undefined;
  private readonly pool: ServerPool;
  private readonly calls = new Map<number, ServerCall>();
  private readonly crashDetector = new CrashDetector();
  private readonly sweepTimer = new DeadlineTimer();
  private probeTimer: NodeJS.Timeout | undefined;
  private crashTimer: NodeJS.Timeout | undefined;
  private nextId = 1;
  private reachable = true;
  private retired = false;
  /** False while a roll-out lets no call pass to this server. */
  private isOpen: boolean;
  private readonly createdMs: number;

  constructor(
    private current: CurrentServer,
    private readonly parts: ServerRunnerParts,
    private readonly onStateChanged: () => void,
  ) {
    const {clock, answerBudget} = parts;
    const {address, port} = parts.address();
    this.pace = parts.hasStartPace ? new StartPace(current.slots) : undefined;
    this.queue = new SlotQueue(current.slots, {
      pace: this.pace,
      ...(this.pace && {
        expectedMs: new ExpectedTimes(parts).lookUp,
        onPaceChanged: onStateChanged,
      }),
    });
    this.pool = new ServerPool(address, port, clock, answerBudget);
    this.scheduleSweep();
    this.isOpen = parts.rollout?.mayTakeCalls(current) ?? true;
    this.createdMs = clock.now();
    if (current.state === 'leaving' || !this.isOpen) {
      this.queue.close('draining');
    }
  }

  get server(): CurrentServer {
    return this.current;
  }

  get inFlight(): number {
    return this.queue.inFlight;
  }

  /** Number of slots that is announced to other nodes. */
  get announcedSlots(): number {
    return this.pace?.announcedSlots ?? this.current.slots;
  }

  /** True if a roll-out lets no call pass, and none is at work. */
  get isClosed(): boolean {
    return !this.isOpen && this.queue.inFlight === 0;
  }

  /** Lets calls pass to the server, or refuses all but those at work. */
  setOpen(isOpen: boolean): void {
    if (isOpen === this.isOpen) return;
    this.isOpen = isOpen;
    if (!isOpen) this.apply(this.queue.close('draining'));
    else if (this.reachable && this.current.state === 'ready') {
      this.queue.reopen();
    }
  }

  /** State that is announced to other nodes. */
  get state(): ServerState {
    if (this.current.state === 'leaving') return 'draining';
    return this.reachable ? 'ready' : 'starting';
  }

  /** Applies a newer report of the same start. */
  update(server: CurrentServer): void {
    const wasReady = this.current.state === 'ready';
    this.current = server;
    const now = this.parts.clock.now();
    if (server.state === 'leaving') {
      if (wasReady) this.apply(this.queue.close('draining'));
      return;
    }
    if (!this.reachable) void this.probe();
    this.apply(this.queue.resize(server.slots, now));
  }

  /** Ends the session: refuses queued calls and closes all connections. */
  retire(): void {
    if (this.retired) return;
    this.retired = true;
    this.sweepTimer.clear();
    clearTimeout(this.probeTimer);
    this.apply(this.queue.close('server-failed'));
    this.pool.destroy('The server has restarted.');
    this.scheduleCrashReport();
  }

  run(head: CallHead, first: InitialBody, events: CallEvents): CallLeg {
    const id = this.nextId;
    this.nextId += 1;
    const call = new ServerCall(head, first, events, {
      onBodyEnd: () => this.offer(id),
      onCancel: () => this.cancel(id),
    });
    this.calls.set(id, call);
    if (first.end) this.offer(id);
    return call;
  }

  private offer(id: number): void {
    const call = this.calls.get(id);
    if (!call) return;
    const {head} = call;
    const {clock, quarantine} = this.parts;
    const status = quarantine.statusOf(head.fingerprint);
    if (status === 'quarantined') {
      this.refuse(id, 'quarantined');
      return;
    }
    const now = clock.now();
    const {urgency} = head;
    const offer = {
      id,
      class: head.class,
      rank: urgency?.rank ?? 0,
      targetMs: now + (urgency?.targetRemainingMs ?? Infinity),
      deadlineMs: head.deadlineMs,
      returnMs: this.returnMs(head),
      acceptsLate: urgency?.acceptsLate ?? true,
      suspect: status === 'suspect',
      tenant: head.tenant,
    };
    this.apply(this.queue.offer(offer, now));
  }

  /** Expected time in ms of the answer's way over the link of this host. */
  private returnMs({class: cls, crossesLink}: CallHead): number {
    if (!crossesLink) return 0;
    const serviceMs = this.queue.serviceTimes.meanMs(cls);
    const running = [...this.calls.values()]
      .filter(({exchange}) => exchange)
      .map(({head}) => head.class);
    return this.parts.returnForecast.returnMs(cls, running, serviceMs);
  }

  private apply(effects: readonly SlotEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'run') this.startExchange(effect.id);
      else this.refuse(effect.id, effect.reason);
    }
  }

  private startExchange(id: number): void {
    const call = this.calls.get(id);
    if (!call) {
      this.releaseSlot(id, false);
      return;
    }
    const head = this.parts.tenants.admitCall(call.head);
    if (!head) {
      this.refuse(id, 'stale-config');
      this.releaseSlot(id, false);
      return;
    }
    const now = this.parts.clock.now();
    const {serverId} = this.current;
    const req = serializeRequest(head, call.body, serverId, now);
    const repeatable = call.head.urgency?.repeatable ?? false;
    call.startedMs = now;
    this.parts.rollout?.sent(this.current, call.head.class);
    call.exchange = this.pool.run(req, repeatable, end => {
      this.handleEnd(id, call, end);
    });
  }

  private handleEnd(id: number, call: ServerCall, end: ExchangeEnd): void {
    this.calls.delete(id);
    const answer = end.kind === 'answered' ? end.answer : undefined;
    const verdict = answer && checkAnswer(answer);
    this.releaseSlot(id, verdict === 'complete');
    if (answer && verdict === 'complete') {
      this.parts.quarantine.answered(call.head.fingerprint);
      this.recordOutcome(call, answer.status < 500 ? 'answered' : 'failed');
      this.deliver(call, answer);
    } else if (verdict === 'not-run' || verdict === 'wrong-server') {
      this.recordOutcome(call, 'refused');
      const failure = this.failure(call, 'not-run', 'overload', verdict);
      call.events.failed({...failure, reachedServer: true});
    } else if (end.kind === 'not-sent') {
      this.recordOutcome(call, 'refused');
      this.handleServerLoss(end.detail);
      const {detail} = end;
      const reason = 'server-unreachable';
      call.events.failed(this.failure(call, 'not-run', reason, detail));
    } else {
      this.recordOutcome(call, 'unproven');
      this.recordLostCall(call);
      const detail =
        end.kind === 'lost'
          ? end.detail
          : 'unproven answer: no proof header, or an encoded body';
      const reason = 'server-failed';
      call.events.failed(this.failure(call, 'unknown', reason, detail));
    }
  }

  private deliver({events, head}: ServerCall, answer: ServerAnswer): void {
    events.answerStart(answer.status, answer.headers, this.load(head));
    for (const block of answer.body) events.answerData(block);
    const bytes = answer.body.reduce((sum, {length}) => sum + length, 0);
    this.parts.returnForecast.recordAnswer(head.class, bytes);
    events.answerEnd([]);
  }

  private cancel(id: number): void {
    const call = this.calls.get(id);
    if (!call) return;
    this.calls.delete(id);
    if (this.queue.withdraw(id)) return;
    call.exchange?.cancel();
    this.releaseSlot(id, false);
  }

  private releaseSlot(id: number, answered: boolean): void {
    const now = this.parts.clock.now();
    this.apply(this.queue.finished(id, answered, now));
  }

  private refuse(id: number, reason: FailureReason): void {
    const call = this.calls.get(id);
    this.calls.delete(id);
    if (!call) return;
    const detail = REFUSAL_DETAILS[reason] ?? 'The server took no call.';
    call.events.failed(this.failure(call, 'not-run', reason, detail));
  }

  private failure(
    {head}: ServerCall,
    outcome: CallFailure['outcome'],
    reason: FailureReason,
    detail: string,
  ): CallFailure {
    return {outcome, reason, detail, load: this.load(head)};
  }

  private load(head: CallHead): ServerLoad {
    const {queue, parts} = this;
    const rank = head.urgency?.rank ?? 0;
    const load: ServerLoad = {
      inFlight: queue.inFlight,
      queued: queue.queued,
      limit: queue.limit,
      waitMs: Math.round(queue.waitMs(rank, parts.clock.now(), head.tenant)),
    };
    const serviceMs = queue.serviceTimes.measuredMs(head.class);
    return serviceMs === undefined ? load : {...load, serviceMs};
  }

  /** Refuses calls that waited too long; cancels those past their deadline. */
  private expire(): void {
    const now = this.parts.clock.now();
    this.apply(this.queue.expire(now));
    for (const [id, call] of this.calls) {
      if (!call.exchange) continue;
      if (now < call.head.deadlineMs + DEADLINE_GRACE_MS) continue;
      this.calls.delete(id);
      call.exchange.cancel();
      this.recordOutcome(call, 'unproven');
      this.releaseSlot(id, false);
      const detail = 'The server has not answered by the deadline.';
      call.events.failed(this.failure(call, 'unknown', 'deadline', detail));
    }
  }

  private scheduleSweep(): void {
    const hasQueued = this.queue.queued > 0;
    const delayMs = hasQueued ? WAITING_SWEEP_MS : RUNNING_SWEEP_MS;
    this.sweepTimer.set(delayMs, () => {
      this.expire();
      if (!this.retired) this.scheduleSweep();
    });
  }

  private recordOutcome(
    {head, startedMs}: ServerCall,
    outcome: EvidenceOutcome,
  ): void {
    const now = this.parts.clock.now();
    const readyMs = now - this.createdMs;
    this.parts.rollout?.ended(
      this.current,
      head.class,
      outcome,
      now - startedMs,
      readyMs,
    );
  }

  private recordLostCall({head}: ServerCall): void {
    this.crashDetector.recordLoss(head.fingerprint, this.parts.clock.now());
  }

  /**
   * Refuses calls until a probe succeeds: a server of this host that accepts no
   * connection has ended or hangs.
   */
  private handleServerLoss(detail: string): void {
    if (!this.reachable || this.retired) return;
    this.reachable = false;
    const {serverId} = this.current;
    this.parts.logger.warn({serverId, detail}, 'server lost');
    this.apply(this.queue.close('server-failed'));
    this.scheduleCrashReport();
    this.onStateChanged();
    this.scheduleProbe();
  }

  private scheduleProbe(): void {
    clearTimeout(this.probeTimer);
    this.probeTimer = setTimeout(() => void this.probe(), PROBE_INTERVAL_MS);
  }

  private async probe(): Promise<void> {
    const isReachable = await this.pool.probe();
    if (this.retired || this.reachable) return;
    if (!isReachable) {
      this.scheduleProbe();
      return;
    }
    this.reachable = true;
    this.pace?.restart();
    const {serverId, state} = this.current;
    this.parts.logger.info({serverId}, 'server regained');
    if (state === 'ready' && this.isOpen) this.queue.reopen();
    else this.queue.close('draining');
    this.onStateChanged();
  }

  /** Reports with a delay, as the losses of a crash arrive one by one. */
  private scheduleCrashReport(): void {
    this.crashTimer ??= setTimeout(() => this.reportCrash(), CRASH_SETTLE_MS);
  }

  private reportCrash(): void {
    this.crashTimer = undefined;
    const fingerprints = this.crashDetector.takeRecentLosses(
      this.parts.clock.now(),
    );
    if (fingerprints.length === 0) return;
    const {serverId, bornMs} = this.current;
    const server = {id: serverId, incarnation: bornMs};
    this.parts.quarantine.crashed(server, fingerprints);
  }
}
