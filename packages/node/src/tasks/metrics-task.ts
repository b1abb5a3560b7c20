/** Sends the node's metrics as StatsD datagrams. */

import {StatsD} from 'hot-shots';

import type {CallStatisticsRecorder} from '../calls/call-statistics.js';
import type {MetricsSettings} from '../settings/index.js';
import {Task} from '../task.js';
import type {TrafficCounts} from '../transport/peer-connection.js';

const SEND_INTERVAL_MS = 10_000;

/** Sources of the metrics. */
export interface MetricsSources {
  statistics: CallStatisticsRecorder;
  traffic: Readonly<TrafficCounts>;
  version(): number;
  callsInFlight(): number;
}

/** Reports totals as gauges, so that no count is lost with a datagram. */
export class MetricsTask extends Task {
  private readonly client: StatsD;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    {address, port, prefix}: MetricsSettings,
    nodeId: string,
    dataCentre: string,
    private readonly sources: MetricsSources,
  ) {
    super();
    this.client = new StatsD({
      host: address,
      port,
      prefix,
      globalTags: {node: nodeId, dataCentre},
      // An unavailable metrics service must not affect the node.
      errorHandler: () => undefined,
    });
  }

  override start(): void {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS);
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    this.send();
    await new Promise<void>(resolve => this.client.close(() => resolve()));
  }

  /** Sends all metrics once. */
  send(): void {
    const {statistics, traffic, version, callsInFlight} = this.sources;
    this.client.gauge('config.version', version());
    this.client.gauge('calls.in_flight', callsInFlight());
    this.client.gauge('control.bytes_out', traffic.controlBytesOut);
    this.client.gauge('calls.bytes_out', traffic.callBytesOut);
    for (const dimension of ['customer', 'class'] as const) {
      const summaries = Object.entries(statistics.summaries(dimension));
      for (const [name, {answered, notRun, unknown, latency}] of summaries) {
        const tags = {[dimension]: name};
        this.client.gauge('calls.answered', answered, tags);
        this.client.gauge('calls.not_run', notRun, tags);
        this.client.gauge('calls.unknown', unknown, tags);
        this.client.gauge('calls.p50_ms', latency.p50Ms, tags);
        this.client.gauge('calls.p99_ms', latency.p99Ms, tags);
      }
    }
  }
}
