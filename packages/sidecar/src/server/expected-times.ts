/** Expected service times of a server that has just started. */

import {boundedCache, type Clock} from '@turmericmill/utils';

/** Time in ms after which the times of other servers are looked up again. */
const REFRESH_INTERVAL_MS = 500;
/** Maximum number of classes with a time. */
const MAX_CLASSES = 1_024;

interface ExpectedTime {
  ms: number | undefined;
  refreshMs: number;
}

export interface ExpectedTimesParts {
  clock: Clock;
  /** As in `ServerRunnerParts`. */
  expectedServiceMs(cls: string): number | undefined;
}

/** Keeps the times of other servers, as each look-up compares all of them. */
export class ExpectedTimes {
  private readonly times = boundedCache<string, ExpectedTime>(MAX_CLASSES);

  constructor(private readonly parts: ExpectedTimesParts) {}

  readonly lookUp = (cls: string): number | undefined => {
    const now = this.parts.clock.now();
    const known = this.times.get(cls);
    if (known && now < known.refreshMs) return known.ms;
    const ms = this.parts.expectedServiceMs(cls);
    this.times.set(cls, {ms, refreshMs: now + REFRESH_INTERVAL_MS});
    return ms;
  };
}
