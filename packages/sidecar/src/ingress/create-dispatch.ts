/** Creates the dispatch of a node from its settings. */

import type {HostSettings} from '@turmericmill/platform-adapter';
import {
  LeastExpectedCostBalancer,
  type RetryAllowance,
} from '@turmericmill/routing';

import {AnswerSizes} from './answer-sizes.js';
import {
  RequestDispatch,
  type RequestDispatchParts,
} from './request-dispatch.js';

/**
 * Delay in ms that equals the cost of a KiB between data centres. Transfer is
 * expensive: even a short answer comes from another data centre only if no
 * server nearby can answer in time.
 */
const TRANSFER_COST_MS_PER_KIB = 50;
/**
 * Share of the fleet's retry budget that a node uses. The rest is reserved for
 * calls that retried requests make and for windows that do not align.
 */
const RETRY_SHARE_USED = 0.85;
/** Retries per window for services that receive few requests at this node. */
const EXTRA_RETRIES = 1;

type SharedParts = Omit<
  RequestDispatchParts,
  'nodeId' | 'dataCentre' | 'sizes' | 'retries'
>;

/** Creates the balancer of a node in the data centre. */
export function createBalancer(dataCentre: string): LeastExpectedCostBalancer {
  return new LeastExpectedCostBalancer(dataCentre, TRANSFER_COST_MS_PER_KIB);
}

export function createDispatch(
  {nodeId, dataCentre, retries}: HostSettings,
  parts: SharedParts,
): RequestDispatch {
  return new RequestDispatch({
    ...parts,
    nodeId,
    dataCentre,
    sizes: new AnswerSizes(),
    retries: ownAllowance(retries),
  });
}

/** Returns how many of a service's requests this node may retry. */
function ownAllowance({
  share,
  extra,
  windowMs,
}: HostSettings['retries']): RetryAllowance {
  return {
    share: share * RETRY_SHARE_USED,
    extra: Math.min(EXTRA_RETRIES, extra),
    windowMs,
  };
}
