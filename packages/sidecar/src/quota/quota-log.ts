/** Log lines about usage caps, with a bounded rate. */

import type Logger from 'bunyan';

import {LogBudget} from '../observe/log-budget.js';

/** Time in ms without a refusal after which a tenant is no longer over its cap. */
const OVER_CAP_MS = 2_000;
const LINE_RATE = {perSecond: 1, burst: 20};

export class QuotaLog {
  private readonly budget = new LogBudget();
  /** Time in ms of the last refusal of each tenant that is over its cap. */
  private readonly refusedMs = new Map<string, number>();
  private isOwner = false;

  constructor(private readonly logger: Logger) {}

  recordRefusal(tenant: string, nowMs: number): void {
    const isNew = !this.refusedMs.has(tenant);
    this.refusedMs.set(tenant, nowMs);
    if (isNew) this.write({tenant}, 'quota: tenant is over its cap', nowMs);
  }

  /** Writes what has changed; `boundHosts`: hosts that this node grants to. */
  update(boundHosts: number, nowMs: number): void {
    const isOwner = boundHosts > 0;
    if (isOwner !== this.isOwner) {
      this.isOwner = isOwner;
      const text = isOwner ? 'owns the caps' : 'no longer owns the caps';
      this.write({boundHosts}, `quota: this node ${text}`, nowMs);
    }
    for (const [tenant, refusedMs] of this.refusedMs) {
      if (nowMs - refusedMs < OVER_CAP_MS) continue;
      this.refusedMs.delete(tenant);
      this.write({tenant}, 'quota: tenant is below its cap again', nowMs);
    }
  }

  private write(fields: object, text: string, nowMs: number): void {
    const {write, leftOut} = this.budget.decideLine(text, LINE_RATE, nowMs);
    if (write) this.logger.info({...fields, leftOut}, text);
  }
}
