/** How large the answers on each route are expected to be. */

import type {PrefixRoute, RequestKind} from '@turmericmill/config';
import {boundedCache} from '@turmericmill/utils';

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Assumed size in bytes before the first answer, by kind of request. */
const FIRST_GUESS_BYTES: Readonly<Record<RequestKind, number>> = {
  safe: 4 * 1024,
  unsafe: 1024,
  download: 64 * 1024,
};
/** Routes that are remembered. */
const MAX_ROUTES = 4_096;

export class AnswerSizes {
  private readonly means = boundedCache<string, number>(MAX_ROUTES);

  /** Takes in the size of a successful answer. */
  record({name, kind}: PrefixRoute, bytes: number): void {
    const known = this.means.get(name) ?? FIRST_GUESS_BYTES[kind];
    this.means.set(name, known + SAMPLE_WEIGHT * (bytes - known));
  }

  expectedBytes({name, kind}: PrefixRoute): number {
    return this.means.get(name) ?? FIRST_GUESS_BYTES[kind];
  }
}
