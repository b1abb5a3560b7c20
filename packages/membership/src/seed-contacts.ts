/**
 * Seeds: endpoints through which a node finds its peers. While it knows nobody
 * it asks a few with full jitter; later it asks one now and then, which joins
 * again what a long split has parted. Holders of the seed role keep their
 * endpoints in the log, so that appends do not grow with the fleet.
 */

import type {RandomSource} from '@turmericmill/utils';

import type {Endpoint} from './membership-types.js';

/** Cap in ms of the jittered time between tries to join. */
const JOIN_RETRY_CAP_MS = 4_000;
const JOIN_RETRY_BASE_MS = 500;

/** Seeds asked in one try. */
const JOIN_FAN_OUT = 3;

/** Time in ms between contacts with a seed that is not a known member. */
const CONTACT_PERIOD_MS = 30_000;

/** Time in ms between appends to the seed stream by one holder of the role. */
const PERSIST_PERIOD_MS = 10 * 60 * 1000;

/** Time in ms over which first appends spread. */
const FIRST_PERSIST_SPREAD_MS = 20_000;

export class SeedContacts {
  private endpoints: Endpoint[] = [];
  private attempt = 0;
  private nextJoinAtMs: number;
  private nextContactAtMs: number;
  private nextPersistAtMs: number;

  constructor(nowMs: number, random: RandomSource) {
    this.nextJoinAtMs = nowMs + random.next() * JOIN_RETRY_BASE_MS;
    this.nextContactAtMs = nowMs + random.next() * CONTACT_PERIOD_MS;
    this.nextPersistAtMs = nowMs + random.next() * FIRST_PERSIST_SPREAD_MS;
  }

  setEndpoints(endpoints: readonly Endpoint[], own: Endpoint): void {
    this.endpoints = endpoints.filter(
      ({address, port}) => address !== own.address || port !== own.port,
    );
  }

  /**
   * A node that has restarted while no seeds can be read hears from those who
   * still probe its address: they know the others.
   */
  learn(endpoint: Endpoint): void {
    const known = this.endpoints.some(
      ({address, port}) =>
        address === endpoint.address && port === endpoint.port,
    );
    if (!known) this.endpoints.push(endpoint);
  }

  /** True when another try to join is due; each waits longer at most. */
  isJoinDue(nowMs: number, random: RandomSource): boolean {
    if (nowMs < this.nextJoinAtMs) return false;
    const delayMs = random.jitter(
      JOIN_RETRY_BASE_MS,
      this.attempt,
      JOIN_RETRY_CAP_MS,
    );
    this.attempt += 1;
    this.nextJoinAtMs = nowMs + Math.max(delayMs, JOIN_RETRY_BASE_MS / 2);
    return true;
  }

  /** The join has succeeded. */
  joined(): void {
    this.attempt = 0;
  }

  /** Seeds for one try to join. */
  joinTargets(random: RandomSource): Endpoint[] {
    return random.sample(this.endpoints, JOIN_FAN_OUT);
  }

  /** A seed to contact now, if one is due. */
  contactTarget(
    nowMs: number,
    random: RandomSource,
    isMember: (endpoint: Endpoint) => boolean,
  ): Endpoint | undefined {
    if (nowMs < this.nextContactAtMs) return undefined;
    this.nextContactAtMs = nowMs + (0.5 + random.next()) * CONTACT_PERIOD_MS;
    return random.pick(this.endpoints.filter(one => !isMember(one)));
  }

  /** True when a holder of the seed role should append its endpoint. */
  isPersistDue(nowMs: number, random: RandomSource): boolean {
    if (nowMs < this.nextPersistAtMs) return false;
    this.nextPersistAtMs = nowMs + (0.5 + random.next()) * PERSIST_PERIOD_MS;
    return true;
  }
}
