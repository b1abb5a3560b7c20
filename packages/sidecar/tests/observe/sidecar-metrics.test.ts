import type {PrefixRoute} from '@turmericmill/config';
import {NO_LOAD} from '@turmericmill/node';
import {expect} from 'chai';

import type {RoutedRequest} from '../../src/ingress/routed-request.js';
import {SidecarMetrics} from '../../src/observe/sidecar-metrics.js';

const REQUEST = {
  route: {name: 'r-1', kind: 'download'} as PrefixRoute,
  service: 'desk',
} as RoutedRequest;
const LABELS = 'kind="download",service="desk"';

function createMetrics(closed: Record<string, number> = {}): SidecarMetrics {
  return new SidecarMetrics({
    configVersion: () => 1,
    configAgeS: () => 0.5,
    storeEra: () => 6,
    serverInFlight: () => 2,
    logLinesLeftOut: () => 3,
    logLinesDropped: () => 4,
    residentBytes: () => 5,
    rollouts: () => [
      {service: 'desk', state: {phase: 'trial', share: 0.25}},
      {service: 'till'},
    ],
    connectionsClosed: () => closed,
    peerBytesSent: () => ({callBytesOut: 900, controlBytesOut: 100}),
    held: {bytesOf: () => 7, callersClosed: 8},
  });
}

describe('SidecarMetrics', () => {
  it('counts cut answers and disconnected callers by reason', async () => {
    const metrics = createMetrics();
    const failure = {
      outcome: 'unknown' as const,
      reason: 'connection-lost' as const,
      detail: '',
      load: {...NO_LOAD},
    };
    const asked = {nodeId: 'n-2', serverId: 's-2'};
    const cut = {kind: 'cut' as const, failure, tries: 1, bytes: 9, asked};
    const left = {kind: 'left' as const, tries: 1, bytes: 9};
    metrics.recordEnd(REQUEST, cut, 10);
    metrics.recordEnd(REQUEST, {...left, closedBy: 'peer'}, 10);
    const page = await metrics.page();
    const name = 'turmericmill_requests_total';
    expect(page)
      .to.include(`${name}{${LABELS},end="cut",reason="connection-lost"} 1`)
      .and.include(`${name}{${LABELS},end="left",reason="closed-by-peer"} 1`);
  });

  it('counts faults other than the end of a request', async () => {
    const metrics = createMetrics();
    const closed = {closedBy: 'node' as const, code: undefined};
    metrics.recordUndelivered({bytes: 9, sinceEndMs: 1, ...closed});
    metrics.recordBrokenOff();
    metrics.recordLoopDelay(300);
    const page = await metrics.page();
    expect(page)
      .to.include(
        'turmericmill_answers_not_delivered_total{closed_by="node"} 1',
      )
      .and.include('turmericmill_requests_broken_off_total 1')
      .and.include('turmericmill_event_loop_delay_seconds_bucket{le="0.5"} 1')
      .and.include('turmericmill_resident_memory_bytes 5')
      .and.include('turmericmill_store_era 6')
      .and.include('turmericmill_rollout_phase{service="desk",phase="trial"} 1')
      .and.include(
        'turmericmill_rollout_phase{service="till",phase="unknown"} 1',
      )
      .and.include('turmericmill_rollout_share{service="desk"} 0.25');
  });

  it('counts each closed connection once, by cause', async () => {
    const closed = {silent: 2, goodbye: 0};
    const metrics = createMetrics(closed);
    await metrics.page();
    closed.goodbye += 1;
    const name = 'turmericmill_peer_connections_closed_total';
    const page = await metrics.page();
    const lines = page.split('\n').filter(line => line.startsWith(`${name}{`));
    expect(lines).to.deep.equal([
      `${name}{cause="silent"} 2`,
      `${name}{cause="goodbye"} 1`,
    ]);
  });
});

describe('metrics of tenants', () => {
  const answered = {kind: 'answered' as const, status: 200, tries: 1};
  const name = 'turmericmill_tenant_requests_total';

  it('count the requests of each tenant and name no other', async () => {
    const metrics = createMetrics();
    metrics.recordEnd({...REQUEST, tenant: 'north'}, answered, 10);
    metrics.recordEnd(REQUEST, answered, 10);
    const page = await metrics.page();
    const labels = 'tenant="north",end="answered",reason=""';
    expect(page).to.include(`${name}{${labels}} 1`);
    expect(page.match(new RegExp(`^${name}{`, 'gm'))).to.have.length(1);
    expect(page).to.include(
      'turmericmill_tenant_request_duration_seconds_count{tenant="north"} 1',
    );
  });

  // Guards against a number of series that grows with the tenants.
  it('count the tenants beyond 100 as other', async () => {
    const metrics = createMetrics();
    for (let i = 0; i < 3_000; i++) {
      metrics.recordEnd({...REQUEST, tenant: `t-${i}`}, answered, 10);
    }
    const page = await metrics.page();
    expect(page.match(new RegExp(`^${name}{`, 'gm'))).to.have.length(101);
    expect(page).to.match(new RegExp(`^${name}{tenant="other".* 2900$`, 'm'));
  });
});
