/** Metrics of one node in the Prometheus format. */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import {HELD_KINDS, type HeldKind} from '../memory/memory-account.js';
import type {UndeliveredAnswer} from '../ingress/caller-request.js';
import type {RequestEnd, RoutedRequest} from '../ingress/routed-request.js';
import {TenantMetrics} from './tenant-metrics.js';

/** Upper bounds in seconds of latency buckets: around targets and timeouts. */
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1, 1.5, 3,
];
/** Upper bounds in seconds of delay buckets: around heartbeats and timeouts. */
const DELAY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2];
const MS_PER_S = 1000;

/** An order with its state, if that is known. */
export interface RolloutFigures {
  service: string;
  state?: {phase: string; share: number};
}

/** Values that are read whenever the page is requested. */
export interface MetricSources {
  configVersion(): number;
  /** Age in s of the confirmation of the version in force. */
  configAgeS(): number;
  /** Era of the store that is known; 0 while there is none. */
  storeEra(): number;
  serverInFlight(): number;
  /** Orders of roll-outs; none in deployments without them. */
  rollouts(): readonly RolloutFigures[];
  logLinesLeftOut(): number;
  logLinesDropped(): number;
  /** Number of closed connections to other nodes, by cause. */
  connectionsClosed(): Readonly<Record<string, number>>;
  residentBytes(): number;
  /** Bytes of messages to other nodes, of calls and of all else. */
  peerBytesSent(): {callBytesOut: number; controlBytesOut: number};
  /** What the process holds for others. */
  held: {
    bytesOf(kind: HeldKind): number;
    /** Callers' connections that were closed to make room. */
    callersClosed: number;
  };
}

export class SidecarMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'turmericmill_requests_total',
    help: 'Requests of callers by kind of route, service and how they ended.',
    labelNames: ['kind', 'service', 'end', 'reason'],
    registers: [this.registry],
  });
  private readonly latency = new Histogram({
    name: 'turmericmill_request_duration_seconds',
    help: 'Time from the arrival of a request to the end of its answer.',
    labelNames: ['kind', 'service'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });
  private readonly tries = new Counter({
    name: 'turmericmill_request_tries_total',
    help: 'Nodes that were asked to run requests.',
    labelNames: ['service'],
    registers: [this.registry],
  });

  private readonly rejections = new Counter({
    name: 'turmericmill_requests_rejected_total',
    help: 'Requests without a route or a valid key, or beyond limits, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  private readonly quotaOutcomes = new Counter({
    name: 'turmericmill_quota_requests_total',
    help: 'Requests of tenants with a cap: granted, refused by cap or no-reply.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });
  private readonly quotaMessages = new Counter({
    name: 'turmericmill_quota_messages_total',
    help: 'Messages about usage caps that this node has sent.',
    registers: [this.registry],
  });
  private readonly tenants = new TenantMetrics(this.registry);
  private readonly brokenOffRequests = new Counter({
    name: 'turmericmill_requests_broken_off_total',
    help: 'Requests that ended with an exception.',
    registers: [this.registry],
  });
  private readonly notDelivered = new Counter({
    name: 'turmericmill_answers_not_delivered_total',
    help: 'Answers that ended and were not written as a whole, by who closed.',
    labelNames: ['closed_by'],
    registers: [this.registry],
  });
  private readonly eventLoopDelay = new Histogram({
    name: 'turmericmill_event_loop_delay_seconds',
    help: 'Lateness of the event loop at each look.',
    buckets: DELAY_BUCKETS_S,
    registers: [this.registry],
  });

  constructor(sources: MetricSources) {
    new Counter({
      name: 'turmericmill_peer_connections_closed_total',
      help: 'Connections to other nodes that have ended, by cause.',
      labelNames: ['cause'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [cause, count] of Object.entries(
          sources.connectionsClosed(),
        )) {
          this.inc({cause}, count);
        }
      },
    });
    this.addRolloutGauges(sources);
    this.registerHeld(sources);
    this.registerPeerBytes(sources);
    this.gauge('config_version', 'Version in force.', sources.configVersion);
    this.gauge(
      'config_age_seconds',
      'Time since the version in force was last proven to be the newest.',
      sources.configAgeS,
    );
    this.gauge(
      'store_era',
      'Era of the store that this node knows; rises when it returns from a copy.',
      sources.storeEra,
    );
    this.gauge(
      'server_calls_in_flight',
      'Calls that hold a slot of the server beside this node.',
      sources.serverInFlight,
    );
    this.gauge(
      'log_lines_left_out',
      'Lines that their budget did not allow.',
      sources.logLinesLeftOut,
    );
    this.gauge(
      'log_lines_dropped',
      'Lines that the reader of the output held up.',
      sources.logLinesDropped,
    );
    this.gauge(
      'resident_memory_bytes',
      'Resident memory of the process.',
      sources.residentBytes,
    );
  }

  private registerHeld(sources: MetricSources): void {
    new Gauge({
      name: 'turmericmill_held_bytes',
      help: 'Bytes held for others, by what they are held for.',
      labelNames: ['kind'],
      registers: [this.registry],
      collect() {
        for (const kind of HELD_KINDS) {
          this.set({kind}, sources.held.bytesOf(kind));
        }
      },
    });
    new Counter({
      name: 'turmericmill_callers_closed_total',
      help: 'Connections of slow callers that were closed to make room.',
      registers: [this.registry],
      collect() {
        this.reset();
        this.inc(sources.held.callersClosed);
      },
    });
  }

  private registerPeerBytes(sources: MetricSources): void {
    new Counter({
      name: 'turmericmill_peer_bytes_sent_total',
      help: 'Bytes of messages to other nodes: of calls, and control.',
      labelNames: ['kind'],
      registers: [this.registry],
      collect() {
        const {callBytesOut, controlBytesOut} = sources.peerBytesSent();
        this.reset();
        this.inc({kind: 'call'}, callBytesOut);
        this.inc({kind: 'control'}, controlBytesOut);
      },
    });
  }

  recordEnd(request: RoutedRequest, end: RequestEnd, latencyMs: number): void {
    const {route, service, tenant} = request;
    const {kind} = route;
    const reason = reasonOf(end);
    this.requests.inc({kind, service, end: end.kind, reason});
    if (tenant !== undefined) {
      this.tenants.recordEnd(tenant, end, reason, latencyMs);
    }
    this.tries.inc({service}, end.tries);
    if (end.kind !== 'answered') return;
    this.latency.observe({kind, service}, latencyMs / MS_PER_S);
  }

  recordRejection(reason: string): void {
    this.rejections.inc({reason});
  }

  recordQuotaOutcome(outcome: string): void {
    this.quotaOutcomes.inc({outcome});
  }

  recordQuotaMessage(): void {
    this.quotaMessages.inc();
  }

  recordLoopDelay(delayMs: number): void {
    this.eventLoopDelay.observe(delayMs / MS_PER_S);
  }

  recordBrokenOff(): void {
    this.brokenOffRequests.inc();
  }

  recordUndelivered({closedBy}: UndeliveredAnswer): void {
    this.notDelivered.inc({closed_by: closedBy});
  }

  /** Returns the metrics page. */
  page(): Promise<string> {
    return this.registry.metrics();
  }

  get contentType(): string {
    return this.registry.contentType;
  }

  private addRolloutGauges({rollouts}: MetricSources): void {
    new Gauge({
      name: 'turmericmill_rollout_phase',
      help: 'Phase of the newest roll-out by service: 1 for the one in force.',
      labelNames: ['service', 'phase'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {service, state} of rollouts()) {
          this.set({service, phase: state?.phase ?? 'unknown'}, 1);
        }
      },
    });
    new Gauge({
      name: 'turmericmill_rollout_share',
      help: 'Share of the requests that goes to the new version, by service.',
      labelNames: ['service'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {service, state} of rollouts()) {
          this.set({service}, state?.share ?? 0);
        }
      },
    });
  }

  private gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `turmericmill_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}

/** Why a request ended without a complete answer; empty if it has one. */
function reasonOf(end: RequestEnd): string {
  switch (end.kind) {
    case 'answered':
      return '';
    case 'left':
      return `closed-by-${end.closedBy}`;
    case 'cut':
    case 'failed':
      return end.failure.reason;
  }
}
