/** Estimates the size of the answers on each route. */

import type {PrefixRoute, RequestKind} from '@turmericmill/config';
import {boundedCache} from '@turmericmill/utils';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Estimate in bytes before a route's first answer, by kind of request. */
const INITIAL_ESTIMATE_BYTES: Readonly<Record<RequestKind, number>> = {
  safe: 4 * 1024,
  unsafe: 1024,
  download: 64 * 1024,
  upload: 4 * 1024,
};
/** Maximum number of routes with an average. */
const MAX_ROUTES = 4_096;

export class AnswerSizes {
  private readonly means = boundedCache<string, number>(MAX_ROUTES);

  /** Adds the size in bytes of a successful answer to its route's average. */
  record({name, kind}: PrefixRoute, bytes: number): void {
    const mean = this.means.get(name) ?? INITIAL_ESTIMATE_BYTES[kind];
    this.means.set(name, mean + SAMPLE_WEIGHT * (bytes - mean));
  }

  expectedBytes({name, kind}: PrefixRoute): number {
    return this.means.get(name) ?? INITIAL_ESTIMATE_BYTES[kind];
  }
}
