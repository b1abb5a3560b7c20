/** Admission control and connection pool of one local backend server. */

import {
  Admission,
  CrashDetector,
  type AdmissionBounds,
  type AdmissionEffect,
  type ServerOutcome,
  type QuarantineStatus,
} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type {FailureReason} from '@turmericmill/wire';
import {Pool} from 'undici';

import type {LocalServer} from '../bus.js';
import {AdmittedCall} from './admitted-call.js';
import {GatedClient} from './answer-gate.js';
import type {CallEvents, CallHead, CallLeg, InitialBody} from './call-leg.js';
import {ServerExchange} from './server-exchange.js';

/** Time in ms after which an idle connection to a server is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Timeout in ms for connecting to a server. */
const CONNECT_TIMEOUT_MS = 1000;
/**
 * Time in ms to wait after the first sign of a crash: the failures of the calls
 * that were running do not all arrive at once.
 */
const CRASH_REPORT_DELAY_MS = 50;

/** Identifies one incarnation of a server. */
export type ServerInstance = Pick<LocalServer, 'id' | 'incarnation'>;

/** Tracks requests that crash servers. */
export interface CrashTracker {
  statusOf(fingerprint: string): QuarantineStatus;
  /** Records that a server has answered the request. */
  answered(fingerprint: string): void;
  /** Records that the server crashed while these requests were running. */
  crashed(server: ServerInstance, fingerprints: string[]): void;
}

/** Admission settings of a server, from its announcement and configuration. */
export interface AdmissionTerms {
  bounds: AdmissionBounds;
  /** Returns the weight of the class with this key. */
  weightOf(cls: string): number;
}

const DETAILS: Partial<Record<FailureReason, string>> = {
  overload: 'The server has no slot in time.',
  deadline: 'The deadline is too near.',
  draining: 'The server is draining.',
  quarantined: 'The request has crashed servers.',
  'server-failed': 'The server is gone.',
};

/** Runs admitted calls on one incarnation of a server. */
export class AdmittedServer {
  private readonly admission: Admission;
  private readonly pool: Pool;
  private readonly calls = new Map<number, AdmittedCall>();
  private readonly crashDetector = new CrashDetector();
  private expiryTimer: NodeJS.Timeout | undefined;
  private crashTimer: NodeJS.Timeout | undefined;
  private nextId = 1;

  constructor(
    private current: LocalServer,
    private terms: AdmissionTerms,
    private readonly clock: Clock,
    private readonly crashes: CrashTracker,
  ) {
    this.admission = new Admission(terms.bounds);
    this.pool = new Pool(`http://${current.address}:${current.port}`, {
      connections: terms.bounds.connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      factory: (origin, options) => new GatedClient(origin, options),
    });
    if (current.state === 'draining') this.admission.drain();
  }

  get server(): LocalServer {
    return this.current;
  }

  /** Number of calls that occupy a slot. */
  get inFlight(): number {
    return this.admission.inFlight;
  }

  /** Applies a new announcement or configuration. */
  update(server: LocalServer, terms: AdmissionTerms): void {
    const wasDraining = this.current.state === 'draining';
    this.current = server;
    this.terms = terms;
    const isDraining = server.state === 'draining';
    if (isDraining && !wasDraining) this.applyEffects(this.admission.drain());
    if (!isDraining && wasDraining) this.admission.undrain();
    this.applyEffects(this.admission.resize(terms.bounds, this.clock.now()));
  }

  run(head: CallHead, body: InitialBody, events: CallEvents): CallLeg {
    const id = this.nextId;
    this.nextId += 1;
    const call = new AdmittedCall(head, body, events, () => this.cancel(id));
    this.calls.set(id, call);
    const status = this.crashes.statusOf(head.fingerprint);
    if (status === 'quarantined') {
      this.refuse(id, 'quarantined');
      return call;
    }
    const offer = {
      id,
      class: head.class,
      priority: head.priority,
      weight: this.terms.weightOf(head.class),
      deadlineMs: head.deadlineMs,
      fingerprint: head.fingerprint,
      suspect: status === 'suspect',
    };
    this.applyEffects(this.admission.offer(offer, this.clock.now()));
    return call;
  }

  /**
   * Handles a server that is no longer announced. Waiting calls are refused;
   * running calls may finish.
   */
  retire(): void {
    this.scheduleCrashReport();
    this.applyEffects(this.admission.crashed().effects);
    clearTimeout(this.expiryTimer);
    void this.pool.close();
  }

  /** Closes all connections at once; running calls fail. */
  async destroy(): Promise<void> {
    clearTimeout(this.expiryTimer);
    clearTimeout(this.crashTimer);
    await this.pool.destroy();
  }

  private applyEffects(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'run') this.startExchange(effect.id);
      else if (effect.type === 'abort') this.calls.get(effect.id)?.abort();
      else this.refuse(effect.id, effect.reason);
    }
    this.scheduleExpiry();
  }

  private startExchange(id: number): void {
    const call = this.calls.get(id);
    if (!call) return;
    const {head, body, events} = call;
    const exchange = new ServerExchange(
      this.pool,
      head,
      body,
      this.observeFailures(head, events),
      {
        now: () => this.clock.now(),
        load: () => this.admission.load(head),
        onEnd: outcome => this.handleEnd(id, outcome),
      },
    );
    call.start(exchange);
  }

  /** Forwards the events of a call; detects failures that suggest a crash. */
  private observeFailures(head: CallHead, events: CallEvents): CallEvents {
    return {
      credit: bytes => events.credit(bytes),
      answerStart: (...args) => events.answerStart(...args),
      answerData: chunk => events.answerData(chunk),
      answerEnd: trailers => events.answerEnd(trailers),
      failed: failure => {
        if (failure.reason === 'server-failed') {
          this.crashDetector.recordLoss(head.fingerprint, this.clock.now());
        }
        if (failure.reason === 'server-unreachable') this.scheduleCrashReport();
        events.failed(failure);
      },
    };
  }

  private handleEnd(id: number, outcome: ServerOutcome): void {
    const call = this.calls.get(id);
    this.calls.delete(id);
    if (call && outcome === 'answered') {
      this.crashes.answered(call.head.fingerprint);
    }
    this.applyEffects(this.admission.finished(id, outcome, this.clock.now()));
  }

  /**
   * Cancels a call. After `retire`, admission has no running calls and returns
   * no effect, so the call is aborted directly.
   */
  private cancel(id: number): void {
    const effects = this.admission.cancel(id);
    if (effects.length === 0) this.calls.get(id)?.abort();
    this.applyEffects(effects);
  }

  private refuse(id: number, reason: FailureReason): void {
    const call = this.calls.get(id);
    this.calls.delete(id);
    if (!call || reason === 'cancelled') return;
    call.events.failed({
      outcome: 'not-run',
      reason,
      detail: DETAILS[reason] ?? 'The server took no call.',
      load: this.admission.load(call.head),
    });
  }

  /** Schedules a crash report unless one is scheduled already. */
  private scheduleCrashReport(): void {
    this.crashTimer ??= setTimeout(
      () => this.reportCrash(),
      CRASH_REPORT_DELAY_MS,
    );
  }

  private reportCrash(): void {
    this.crashTimer = undefined;
    const fingerprints = this.crashDetector.takeRecentLosses(this.clock.now());
    if (fingerprints.length === 0) return;
    this.crashes.crashed(this.current, fingerprints);
  }

  /** Sets the timer for when a waiting call can no longer end in time. */
  private scheduleExpiry(): void {
    clearTimeout(this.expiryTimer);
    const expiryAtMs = this.admission.nextExpiryMs();
    if (expiryAtMs === undefined) return;
    const delayMs = Math.max(1, expiryAtMs - this.clock.now());
    this.expiryTimer = setTimeout(() => {
      this.applyEffects(this.admission.expire(this.clock.now()));
    }, delayMs);
  }
}
