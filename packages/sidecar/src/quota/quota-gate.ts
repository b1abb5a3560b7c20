/** Admits requests of tenants with a usage cap, between key check and dispatch. */

import type {Bus} from '@turmericmill/node';
import type {HostSettings} from '@turmericmill/platform-adapter';
import type {QuotaOutcome, RightLot} from '@turmericmill/routing';
import {ProgressClock, SystemClock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import type {LocalAnswer} from '../ingress/caller-request.js';
import type {RequestEnd, RoutedRequest} from '../ingress/routed-request.js';
import type {SidecarMetrics} from '../observe/sidecar-metrics.js';
import {QuotaTask} from './quota-task.js';

/** An admitted request may hold a right; a refused one has an answer. */
export interface QuotaAdmission {
  lot?: RightLot;
  answer?: LocalAnswer;
}

const ADMITTED: QuotaAdmission = {};

export class QuotaGate {
  constructor(private readonly task: QuotaTask) {}

  /** Admits at once if a right is in hand or none is needed. */
  admit({
    tenant,
    deadlineMs,
  }: Pick<RoutedRequest, 'tenant' | 'deadlineMs'>):
    QuotaAdmission | Promise<QuotaAdmission> {
    const {task} = this;
    if (tenant === undefined || !task.hasCap(tenant)) return ADMITTED;
    const outcome = task.acquire(tenant, deadlineMs);
    return outcome instanceof Promise
      ? outcome.then(toAdmission)
      : toAdmission(outcome);
  }

  /** Gives the right back if the request has certainly not run. */
  onEnded({lot}: QuotaAdmission, end: RequestEnd | 'not-sent'): void {
    if (!lot) return;
    const hasNotRun =
      end === 'not-sent' || (end.kind === 'failed' && !end.mayHaveRun);
    if (hasNotRun) this.task.release(lot);
  }

  /** Leaves the role of an owner to other nodes, as this one shuts down. */
  leaveOwnership(): void {
    this.task.leaveOwnership();
  }

  stop(): void {
    this.task.stop();
  }
}

function toAdmission(outcome: QuotaOutcome): QuotaAdmission {
  if (outcome.kind === 'granted') return {lot: outcome.lot};
  const {reason, retryAfterMs} = outcome;
  const text = reason === 'cap' ? 'over usage cap' : 'no right in time';
  return {answer: {status: 429, reason: text, retryAfterMs}};
}

/** Creates the gate of a node; undefined without `quota` in the settings. */
export function createQuotaGate(
  {nodeId, quota: bounds}: HostSettings,
  incarnation: number,
  parts: {bus: Bus; logger: Logger; metrics: SidecarMetrics},
): QuotaGate | undefined {
  if (!bounds) return undefined;
  const {bus, logger, metrics} = parts;
  const steady = new SystemClock();
  const task = new QuotaTask({
    nodeId,
    incarnation,
    bounds,
    bus,
    logger,
    steady,
    progress: new ProgressClock(steady),
    onOutcome: outcome => metrics.recordQuotaOutcome(outcome),
    onMessage: () => metrics.recordQuotaMessage(),
  });
  return new QuotaGate(task);
}
