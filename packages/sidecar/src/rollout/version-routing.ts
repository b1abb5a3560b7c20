/** Chooses between the versions of a service at the ingress. */

import {
  serverGroups,
  trafficRule,
  VersionRotation,
  type Candidate,
} from '@turmericmill/routing';
import {hash32, type Clock} from '@turmericmill/utils';

import type {RolloutView} from './rollout-view.js';

const HASHES = 2 ** 32;

/** Side whose turn a request is; undefined for a service without an order. */
export type VersionTurn = 'old' | 'new' | undefined;

/** Keeps a rotation for each order. */
export class VersionRouting {
  private readonly rotations = new Map<string, VersionRotation>();

  constructor(
    private readonly nodeId: string,
    private readonly view: RolloutView,
    private readonly clock: Clock,
  ) {}

  /** Chooses the side of a new request by the share in force. */
  nextTurn(service: string): VersionTurn {
    const rollout = this.view.of(service);
    if (!rollout) return undefined;
    const rule = trafficRule(rollout, this.clock.now());
    if (rule.kind !== 'share') return rule.kind;
    return this.rotationOf(service, rollout.offset).next(rule.share);
  }

  /** Servers of the service, in groups in the order of the offers. */
  groups(
    service: string,
    candidates: readonly Candidate[],
    turn: VersionTurn,
  ): readonly (readonly Candidate[])[] {
    const rollout = this.view.of(service);
    if (!rollout) return [candidates];
    // A request from before the order is one for the old version.
    const side = turn ?? 'old';
    return serverGroups(rollout, candidates, side, this.clock.now());
  }

  private rotationOf(service: string, offset: number): VersionRotation {
    const key = `${service}@${offset}`;
    let rotation = this.rotations.get(key);
    if (!rotation) {
      const start = hash32(`${this.nodeId} ${key}`) / HASHES;
      rotation = new VersionRotation(start);
      this.rotations.set(key, rotation);
    }
    return rotation;
  }
}
