/**
 * Seeds: endpoints through which a node finds its peers. While it has no peers,
 * it contacts a few seeds at jittered intervals. Later it contacts one
 * occasionally, which reconnects the sides of a long network partition. Only
 * nodes with the seed role append their endpoints to the log, so that the
 * number of appends does not grow with the fleet.
 */

import type {RandomSource} from '@turmericmill/utils';

import type {Endpoint} from './membership-types.js';

/** Cap and base in ms of the jittered backoff between attempts to join. */
const JOIN_RETRY_CAP_MS = 4_000;
const JOIN_RETRY_BASE_MS = 500;

/** Number of seeds contacted in one attempt. */
const JOIN_FAN_OUT = 3;

/**
 * Time in ms from a join to the contact with further seeds: nodes that start at
 * the same time may have joined in separate groups.
 */
const SECOND_JOIN_DELAY_MS = 1_500;

/** Mean time in ms between contacts with seeds that are not members. */
const CONTACT_PERIOD_MS = 30_000;

/** Mean time in ms between appends by one node with the seed role. */
const PERSIST_PERIOD_MS = 10 * 60 * 1000;

/** Time in ms over which the first appends of all nodes are distributed. */
const FIRST_PERSIST_SPREAD_MS = 20_000;

export class SeedContacts {
  private endpoints: Endpoint[] = [];
  /** Those that were not added as the source of a message. */
  private given: readonly Endpoint[] = [];
  private attempt = 0;
  private nextJoinAtMs: number;
  /** Infinity before the join and after the contact. */
  private secondJoinAtMs = Infinity;
  private nextContactAtMs: number;
  private nextPersistAtMs: number;

  constructor(nowMs: number, random: RandomSource) {
    this.nextJoinAtMs = nowMs + random.next() * JOIN_RETRY_BASE_MS;
    this.nextContactAtMs = nowMs + random.next() * CONTACT_PERIOD_MS;
    this.nextPersistAtMs = nowMs + random.next() * FIRST_PERSIST_SPREAD_MS;
  }

  setEndpoints(endpoints: readonly Endpoint[], own: Endpoint): void {
    this.given = endpoints.filter(
      ({address, port}) => address !== own.address || port !== own.port,
    );
    this.endpoints = [...this.given];
  }

  /**
   * Adds the source of a received message as a seed. A node that restarts while
   * no seeds can be read joins through the members that still probe its
   * address.
   */
  addEndpoint(endpoint: Endpoint): void {
    const isDuplicate = this.endpoints.some(
      ({address, port}) =>
        address === endpoint.address && port === endpoint.port,
    );
    if (!isDuplicate) this.endpoints.push(endpoint);
  }

  /** True when an attempt to join is due; schedules the next with backoff. */
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

  /** Resets the backoff after a successful join. */
  recordJoin(nowMs: number): void {
    if (this.attempt === 0) return;
    this.attempt = 0;
    this.secondJoinAtMs = nowMs + SECOND_JOIN_DELAY_MS;
  }

  /** Random seeds for one attempt to join. */
  joinTargets(random: RandomSource): Endpoint[] {
    return random.sample(this.endpoints, JOIN_FAN_OUT);
  }

  /** Random given seeds that are not members, once after each join. */
  secondJoinTargets(
    nowMs: number,
    random: RandomSource,
    isMember: (endpoint: Endpoint) => boolean,
  ): Endpoint[] {
    if (nowMs < this.secondJoinAtMs) return [];
    this.secondJoinAtMs = Infinity;
    const others = this.given.filter(endpoint => !isMember(endpoint));
    return random.sample(others, JOIN_FAN_OUT);
  }

  /** A seed to contact when a contact is due; schedules the next one. */
  contactTarget(
    nowMs: number,
    random: RandomSource,
    isMember: (endpoint: Endpoint) => boolean,
  ): Endpoint | undefined {
    if (nowMs < this.nextContactAtMs) return undefined;
    this.nextContactAtMs = nowMs + (0.5 + random.next()) * CONTACT_PERIOD_MS;
    return random.pick(this.endpoints.filter(endpoint => !isMember(endpoint)));
  }

  /** True when an append of the endpoint is due; schedules the next one. */
  isPersistDue(nowMs: number, random: RandomSource): boolean {
    if (nowMs < this.nextPersistAtMs) return false;
    this.nextPersistAtMs = nowMs + (0.5 + random.next()) * PERSIST_PERIOD_MS;
    return true;
  }
}
