/** One backend server beside this node, with its admission and connections. */

import {
  Admission,
  CrashDetector,
  type AdmissionBounds,
  type AdmissionEffect,
  type ServerOutcome,
  type RequestStanding,
} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';
import type {FailureReason} from '@turmericmill/wire';
import {Pool} from 'undici';

import type {LocalServer} from '../bus.js';
import {AdmittedCall} from './admitted-call.js';
import type {CallEvents, CallHead, CallLeg, InitialBody} from './call-leg.js';
import {ServerExchange} from './server-exchange.js';

/** Time in ms after which an idle connection to a server is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Time in ms within which a connection to a server has to be open. */
const CONNECT_TIMEOUT_MS = 1000;
/** Time in ms in which the losses of a crash become known. */
const CRASH_SETTLE_MS = 50;

/** One start of a server. */
export type ServerInstance = Pick<LocalServer, 'id' | 'incarnation'>;

/** What is known of requests that crash servers. */
export interface CrashTracker {
  standing(fingerprint: string): RequestStanding;
  /** A server has answered the request. */
  answered(fingerprint: string): void;
  /** A server has crashed while these requests ran. */
  crashed(server: ServerInstance, fingerprints: string[]): void;
}

/** Where a call goes and what it weighs, apart from the call itself. */
export interface AdmissionTerms {
  bounds: AdmissionBounds;
  /** Weight of a class by its key. */
  weightOf(cls: string): number;
}

const DETAILS: Partial<Record<FailureReason, string>> = {
  overload: 'The server has no slot in time.',
  deadline: 'The deadline is too near.',
  draining: 'The server is draining.',
  quarantined: 'The request has crashed servers.',
  'server-failed': 'The server is gone.',
};

/** Runs what admission lets through; one instance for each incarnation. */
export class AdmittedServer {
  private readonly admission: Admission;
  private readonly pool: Pool;
  private readonly calls = new Map<number, AdmittedCall>();
  private readonly watch = new CrashDetector();
  private timer: NodeJS.Timeout | undefined;
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
    });
    if (current.state === 'draining') this.admission.drain();
  }

  get server(): LocalServer {
    return this.current;
  }

  /** Calls that hold a slot. */
  get inFlight(): number {
    return this.admission.inFlight;
  }

  /** Takes over a new announcement or configuration. */
  update(server: LocalServer, terms: AdmissionTerms): void {
    const wasDraining = this.current.state === 'draining';
    this.current = server;
    this.terms = terms;
    const isDraining = server.state === 'draining';
    if (isDraining && !wasDraining) this.apply(this.admission.drain());
    if (!isDraining && wasDraining) this.admission.undrain();
    this.apply(this.admission.resize(terms.bounds, this.clock.now()));
  }

  run(head: CallHead, body: InitialBody, events: CallEvents): CallLeg {
    const id = this.nextId;
    this.nextId += 1;
    const call = new AdmittedCall(head, body, events, () => this.cancel(id));
    this.calls.set(id, call);
    const standing = this.crashes.standing(head.fingerprint);
    if (standing === 'quarantined') {
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
      suspect: standing === 'suspect',
    };
    this.apply(this.admission.offer(offer, this.clock.now()));
    return call;
  }

  /** The server is no longer announced; calls that run end by themselves. */
  retire(): void {
    this.suspectCrash();
    this.apply(this.admission.crashed().effects);
    clearTimeout(this.timer);
    void this.pool.close();
  }

  /** Ends all at once. */
  async destroy(): Promise<void> {
    clearTimeout(this.timer);
    clearTimeout(this.crashTimer);
    await this.pool.destroy();
  }

  private apply(effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'run') this.begin(effect.id);
      else if (effect.type === 'abort') this.calls.get(effect.id)?.abort();
      else this.refuse(effect.id, effect.reason);
    }
    this.schedule();
  }

  private begin(id: number): void {
    const call = this.calls.get(id);
    if (!call) return;
    const {head, body, events} = call;
    const exchange = new ServerExchange(
      this.pool,
      head,
      body,
      this.watched(head, events),
      {
        now: () => this.clock.now(),
        load: () => this.admission.load(head),
        ended: outcome => this.ended(id, outcome),
      },
    );
    call.begin(exchange);
  }

  /** Notes failures that may be signs of a crash. */
  private watched(head: CallHead, events: CallEvents): CallEvents {
    return {
      credit: bytes => events.credit(bytes),
      answerStart: (...args) => events.answerStart(...args),
      answerData: chunk => events.answerData(chunk),
      answerEnd: trailers => events.answerEnd(trailers),
      failed: failure => {
        if (failure.reason === 'server-failed') {
          this.watch.recordLoss(head.fingerprint, this.clock.now());
        }
        if (failure.reason === 'server-unreachable') this.suspectCrash();
        events.failed(failure);
      },
    };
  }

  private ended(id: number, outcome: ServerOutcome): void {
    const call = this.calls.get(id);
    this.calls.delete(id);
    if (call && outcome === 'answered') {
      this.crashes.answered(call.head.fingerprint);
    }
    this.apply(this.admission.finished(id, outcome, this.clock.now()));
  }

  /** Calls of a retired server are no longer known to its admission. */
  private cancel(id: number): void {
    const effects = this.admission.cancel(id);
    if (effects.length === 0) this.calls.get(id)?.abort();
    this.apply(effects);
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

  /** Waits a little: the losses of a crash do not arrive all at once. */
  private suspectCrash(): void {
    this.crashTimer ??= setTimeout(() => this.reportCrash(), CRASH_SETTLE_MS);
  }

  private reportCrash(): void {
    this.crashTimer = undefined;
    const fingerprints = this.watch.takeRecentLosses(this.clock.now());
    if (fingerprints.length === 0) return;
    this.crashes.crashed(this.current, fingerprints);
  }

  /** Wakes up when a waiting call can no longer be answered in time. */
  private schedule(): void {
    clearTimeout(this.timer);
    const atMs = this.admission.nextExpiryMs();
    if (atMs === undefined) return;
    const delayMs = Math.max(1, atMs - this.clock.now());
    this.timer = setTimeout(() => {
      this.apply(this.admission.expire(this.clock.now()));
    }, delayMs);
  }
}
