/** What roll-outs mean for the server beside this node. */

import type {CurrentServer} from '@turmericmill/membership';
import {
  COLD_MS,
  EvidenceRecorder,
  mayHaveMissedClosing,
  mayTakeCalls,
  planRollout,
  sideOf,
  type EvidenceOutcome,
  type NodeEvidence,
} from '@turmericmill/routing';
import type {Clock} from '@turmericmill/utils';

import type {Rollout, RolloutView} from './rollout-view.js';

/** Decides whether the server takes calls, and learns how they end. */
export abstract class ServerRollout {
  /** True if the server may take a call now. */
  abstract mayTakeCalls(server: CurrentServer): boolean;
  /** Records that a call is passed on to the server. */
  abstract sent(server: CurrentServer, cls: string): void;
  /**
   * Records the end of a call; `latencyMs` is the time that the server took,
   * `readyMs` the time for which it has been known to this node.
   */
  abstract ended(
    server: CurrentServer,
    cls: string,
    outcome: EvidenceOutcome,
    latencyMs: number,
    readyMs: number,
  ): void;
}

export interface ServerRolloutParts {
  nodeId: string;
  /** Start of this node; counts begin at 0 with each. */
  incarnation: number;
  view: RolloutView;
  clock: Clock;
  /** Longest time in ms that calls of the service take. */
  longestCallMs(service: string): number;
}

/** Keeps to the newest order and state that this node knows. */
export class ViewedServerRollout extends ServerRollout {
  /** Counts on the newest order of each service that has an open one. */
  private readonly recorders = new Map<
    string,
    {offset: number; recorder: EvidenceRecorder}
  >();

  constructor(private readonly parts: ServerRolloutParts) {
    super();
  }

  override mayTakeCalls({service, version}: CurrentServer): boolean {
    const {view, clock} = this.parts;
    // A node that has just started may have missed an order.
    if (!view.isInformed) return false;
    const rollout = view.of(service);
    if (!rollout) return true;
    const side = sideOf(rollout, version);
    if (!mayTakeCalls(rollout, side, clock.now())) return false;
    return side !== 'old' || !this.isCutOff(rollout);
  }

  private isCutOff(rollout: Rollout): boolean {
    const {clock, longestCallMs} = this.parts;
    const {service, terms} = rollout;
    if (!terms) return false;
    const {limitMs, durationMs} = terms;
    const orderMs = limitMs - durationMs;
    const plan = planRollout({
      orderMs,
      limitMs,
      longestCallMs: longestCallMs(service),
    });
    return mayHaveMissedClosing(rollout, plan, clock.now());
  }

  override sent(server: CurrentServer, cls: string): void {
    const place = this.placeOf(server);
    place?.recorder.sent(place.side, cls);
  }

  override ended(
    server: CurrentServer,
    cls: string,
    outcome: EvidenceOutcome,
    latencyMs: number,
    readyMs: number,
  ): void {
    const place = this.placeOf(server);
    const isCold = readyMs < COLD_MS;
    place?.recorder.ended(place.side, cls, outcome, latencyMs, isCold);
  }

  /** The next report on an order; undefined if no call has shown anything. */
  report({service, offset}: Rollout): NodeEvidence | undefined {
    const entry = this.recorders.get(service);
    return entry?.offset === offset ? entry.recorder.report() : undefined;
  }

  private placeOf({service, version}: CurrentServer) {
    const rollout = this.parts.view.of(service);
    if (!rollout || rollout.state?.isSettled) return undefined;
    const side = sideOf(rollout, version);
    if (side === 'barred') return undefined;
    return {side, recorder: this.recorderOf(rollout)};
  }

  private recorderOf({service, offset}: Rollout): EvidenceRecorder {
    const entry = this.recorders.get(service);
    if (entry?.offset === offset) return entry.recorder;
    const {nodeId, incarnation} = this.parts;
    const order = {service, orderOffset: offset, nodeId, incarnation};
    const recorder = new EvidenceRecorder(order);
    this.recorders.set(service, {offset, recorder});
    return recorder;
  }
}
