/** Stand-in for the metrics service: keeps the newest value of each gauge. */

import {createSocket} from 'node:dgram';

import {parseGauge} from './gauge-line.js';

/** Receives statsd datagrams on loopback. */
export class MetricsService {
  private readonly socket = createSocket('udp4');
  /** Newest values by gauge name, then by node. */
  private readonly gauges = new Map<string, Map<string, number>>();

  /** Listens and returns the port. */
  async start(): Promise<number> {
    this.socket.on('message', data => {
      for (const line of data.toString().split('\n')) this.handleLine(line);
    });
    await new Promise<void>(resolve => {
      this.socket.bind(0, '127.0.0.1', resolve);
    });
    return this.socket.address().port;
  }

  async stop(): Promise<void> {
    await new Promise<void>(resolve => this.socket.close(resolve));
  }

  /** Newest value of a gauge by node. */
  valuesOf(name: string): ReadonlyMap<string, number> {
    return this.gauges.get(name) ?? new Map<string, number>();
  }

  private handleLine(line: string): void {
    const gauge = parseGauge(line);
    const node = gauge?.tags['node'];
    if (!gauge || node === undefined) return;
    const values = this.gauges.get(gauge.name) ?? new Map<string, number>();
    values.set(node, gauge.value);
    this.gauges.set(gauge.name, values);
  }
}
