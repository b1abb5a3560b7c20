/** Metrics of requests by tenant, of a bounded number of tenants. */

import {Counter, Histogram, type Registry} from 'prom-client';

import type {RequestEnd} from '../ingress/routed-request.js';
import {TopTenants} from './top-tenants.js';

/** Upper bounds in seconds of latency buckets: around targets and timeouts. */
const LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3];
const MS_PER_S = 1000;

interface EndLabels {
  tenant: string;
  end: string;
  reason: string;
}

export class TenantMetrics {
  private readonly requests: Counter<keyof EndLabels>;
  private readonly latency: Histogram<'tenant'>;
  /** Ends that were counted, by tenant and text. */
  private readonly ends = new Map<string, Map<string, EndLabels>>();
  private readonly tenants = new TopTenants(tenant => this.drop(tenant));

  constructor(registry: Registry) {
    this.requests = new Counter({
      name: 'turmericmill_tenant_requests_total',
      help: 'Requests of tenants by how they ended; small tenants as "other".',
      labelNames: ['tenant', 'end', 'reason'],
      registers: [registry],
    });
    this.latency = new Histogram({
      name: 'turmericmill_tenant_request_duration_seconds',
      help: 'Time from the arrival of a request to the end of its answer.',
      labelNames: ['tenant'],
      buckets: LATENCY_BUCKETS_S,
      registers: [registry],
    });
  }

  /** `reason`: why there is no complete answer; empty if there is one. */
  recordEnd(
    name: string,
    {kind: end}: RequestEnd,
    reason: string,
    latencyMs: number,
  ): void {
    const tenant = this.tenants.labelOf(name, performance.now());
    const labels = {tenant, end, reason};
    this.requests.inc({...labels});
    if (end === 'answered') {
      this.latency.observe({tenant}, latencyMs / MS_PER_S);
    }
    const ends = this.ends.get(tenant) ?? new Map<string, EndLabels>();
    this.ends.set(tenant, ends.set(`${end} ${reason}`, labels));
  }

  /** Ends the series of a tenant; they start at 0 if it is named again. */
  private drop(tenant: string): void {
    for (const labels of this.ends.get(tenant)?.values() ?? []) {
      this.requests.remove({...labels});
    }
    this.ends.delete(tenant);
    this.latency.remove({tenant});
  }
}
