/** Creates the monitor of a node's process from its settings. */

import type {TransportTask} from '@turmericmill/node';
import type {HostSettings} from '@turmericmill/platform-adapter';
import type {Clock} from '@turmericmill/utils';
import type Logger from 'bunyan';

import {linkBytesPerMs} from '../host-link.js';
import {ProcessMonitor} from './process-monitor.js';
import type {SidecarMetrics} from './sidecar-metrics.js';

export interface MonitoredParts {
  clock: Clock;
  logger: Logger;
  transport: Pick<TransportTask, 'sentBytes' | 'unsentBytes'>;
  metrics: Pick<SidecarMetrics, 'recordLoopDelay'>;
}

export function createProcessMonitor(
  settings: Pick<HostSettings, 'linkMbps'>,
  {clock, logger, transport, metrics}: MonitoredParts,
): ProcessMonitor {
  return new ProcessMonitor({
    clock,
    logger,
    residentBytes: () => process.memoryUsage.rss(),
    onDelay: delayMs => metrics.recordLoopDelay(delayMs),
    link: {
      bytesPerMs: linkBytesPerMs(settings),
      sentBytes: () => transport.sentBytes,
      unsentBytes: () => transport.unsentBytes(),
    },
  });
}
