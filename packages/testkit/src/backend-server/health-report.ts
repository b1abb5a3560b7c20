/** Builds the reports of the health endpoint, which may be inaccurate. */

import type {ServerBehaviour} from './server-behaviour.js';

/** State of a server at a point in time. */
export interface ServerSample {
  /** Time of the sample, in ms since the epoch. */
  atMs: number;
  healthy: boolean;
  inFlight: number;
}

const MAX_SAMPLES = 1000;

/** Keeps past samples, so that reports can lag. */
export class HealthHistory {
  private readonly samples: ServerSample[] = [];

  record(sample: ServerSample): void {
    this.samples.push(sample);
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
  }

  /** Returns what the health endpoint reports at `nowMs`. */
  report(behaviour: ServerBehaviour, nowMs: number): ServerSample {
    const newest = this.samples.at(-1) ?? idleSample(nowMs);
    switch (behaviour.health) {
      case 'true':
        return newest;
      case 'lagging': {
        const untilMs = nowMs - behaviour.healthLagMs;
        const old = this.samples.findLast(({atMs}) => atMs <= untilMs);
        return old ?? idleSample(nowMs);
      }
      case 'always-healthy':
        return {...idleSample(nowMs)};
      case 'always-failing':
        return {...newest, healthy: false};
    }
  }
}

function idleSample(atMs: number): ServerSample {
  return {atMs, healthy: true, inFlight: 0};
}
