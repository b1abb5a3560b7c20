/** Answers of the health and load endpoints, truthful or not. */

import type {ServerBehaviour} from './server-behaviour.js';

/** The state of a server at a time. */
export interface ServerSample {
  /** Time in ms at which it was taken. */
  atMs: number;
  healthy: boolean;
  inFlight: number;
}

const MAX_SAMPLES = 1000;

/** Remembers samples, so that answers can lag. */
export class HealthHistory {
  private readonly samples: ServerSample[] = [];

  note(sample: ServerSample): void {
    this.samples.push(sample);
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
  }

  /** What the endpoints tell at `nowMs`. */
  report(behaviour: ServerBehaviour, nowMs: number): ServerSample {
    const newest = this.samples.at(-1) ?? idle(nowMs);
    switch (behaviour.health) {
      case 'true':
        return newest;
      case 'lagging': {
        const untilMs = nowMs - behaviour.healthLagMs;
        const old = this.samples.findLast(({atMs}) => atMs <= untilMs);
        return old ?? idle(nowMs);
      }
      case 'always-healthy':
        return {...idle(nowMs)};
      case 'always-failing':
        return {...newest, healthy: false};
    }
  }
}

function idle(atMs: number): ServerSample {
  return {atMs, healthy: true, inFlight: 0};
}
