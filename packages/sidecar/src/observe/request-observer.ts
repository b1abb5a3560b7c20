/** Passes the ends of requests on to the log and the metrics. */

import type {IngressServerParts} from '../ingress/ingress-server.js';
import type {RequestLog} from './request-log.js';
import type {SidecarMetrics} from './sidecar-metrics.js';

type RequestObserver = Pick<
  IngressServerParts,
  'onEnded' | 'onRejected' | 'onBrokenOff' | 'onUndelivered'
>;

export function createRequestObserver(
  log: RequestLog,
  metrics: SidecarMetrics,
): RequestObserver {
  return {
    onEnded: (request, end, context, status) => {
      log.recordEnd(request, end, context, status);
      metrics.recordEnd(request, end, context.latencyMs);
    },
    onRejected: (caller, answer, version) => {
      log.recordRejection(caller, answer, version);
      metrics.recordRejection(answer.reason);
    },
    onBrokenOff: (caller, err) => {
      log.recordBrokenOff(caller, err);
      metrics.recordBrokenOff();
    },
    onUndelivered: (caller, answer) => {
      log.recordUndelivered(caller, answer);
      metrics.recordUndelivered(answer);
    },
  };
}
