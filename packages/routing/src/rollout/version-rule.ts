/**
 * Which servers of a service may take calls while an order is in force.
 *
 * Load pattern: nodes learn of an order and its state at different times, and
 * some are cut off or restart in the middle. Without fresh news, a node sends to
 * old servers only, and a server node lets nothing pass that may be out of date.
 */

import type {RolloutState} from '@turmericmill/wire';

import {candidateKey, type Candidate} from '../balancing/balancer.js';

/** Time in ms after which a state of a trial is out of date. */
export const STATE_LIFETIME_MS = 2_000;

/** Time in ms without a state after which a node counts as cut off. */
const CUT_OFF_MS = 2_500;

/** An order with what a node knows of its state. */
export interface KnownRollout {
  targetVersion: string;
  /** Newest state of the order; undefined before the first. */
  state?: RolloutState;
  /** Time in ms at which the state was last received. */
  heardMs: number;
  /**
   * True if the node has never known the service without this order, so that
   * the order may be at any phase.
   */
  isFromStart: boolean;
  /** Versions of earlier orders that the node knows as not completed. */
  barred: readonly string[];
}

/** `barred`: of an earlier order that was not completed. */
export type ServerSide = 'old' | 'new' | 'barred';

/** `share`: the named new servers take a part of the requests. */
export type TrafficRule =
  | {kind: 'old'}
  | {kind: 'new'}
  | {kind: 'share'; share: number; servers: readonly string[]};

/** Side of a server; one without a known version counts as old. */
export function sideOf(
  {targetVersion, state, barred}: KnownRollout,
  version: string | undefined,
): ServerSide {
  if (version === targetVersion) return 'new';
  const excluded = state?.barred ?? barred;
  return version !== undefined && excluded.includes(version) ? 'barred' : 'old';
}

/** True while a trial's state is recent enough to act on. */
function isFresh({heardMs}: KnownRollout, nowMs: number): boolean {
  return nowMs - heardMs <= STATE_LIFETIME_MS;
}

/** The servers to which an ingress sends requests of the service. */
export function trafficRule(rollout: KnownRollout, nowMs: number): TrafficRule {
  const {state} = rollout;
  if (state?.phase === 'closing' || state?.phase === 'completed') {
    return {kind: 'new'};
  }
  if (state?.phase !== 'trial' || !isFresh(rollout, nowMs)) {
    return {kind: 'old'};
  }
  const {share, servers} = state;
  return share > 0 ? {kind: 'share', share, servers} : {kind: 'old'};
}

/** True if a server of this side may take calls, as its node decides. */
export function mayTakeCalls(
  rollout: KnownRollout,
  side: ServerSide,
  nowMs: number,
): boolean {
  if (side === 'barred') return false;
  const {state, isFromStart} = rollout;
  switch (state?.phase) {
    case undefined:
      return side === 'old' && !isFromStart;
    case 'trial':
      return side === 'old' || (state.share > 0 && isFresh(rollout, nowMs));
    case 'closing':
    case 'completed':
      return side === 'new';
    case 'rolled-back':
      return side === 'old';
  }
}

/**
 * True if an old server may have to be closed without its node's knowing: the
 * time of the decision has passed in a trial, and no state comes any more. The
 * coordinator may count such a node as gone, though its callers still reach it.
 * No roll-out is completed after the time limit.
 */
export function mayHaveMissedClosing(
  {state, heardMs}: KnownRollout,
  {decideMs, limitMs}: {decideMs: number; limitMs: number},
  nowMs: number,
): boolean {
  if (state?.phase !== 'trial' || nowMs - heardMs <= CUT_OFF_MS) return false;
  return nowMs >= decideMs && nowMs < limitMs;
}

/**
 * Groups of servers in the order in which a request is offered to them. `turn`
 * is the side that the rotation has chosen for the request; a request for an
 * old server never goes to a new one while a share is in force.
 */
export function serverGroups(
  rollout: KnownRollout,
  candidates: readonly Candidate[],
  turn: 'old' | 'new',
  nowMs: number,
): readonly (readonly Candidate[])[] {
  const rule = trafficRule(rollout, nowMs);
  const ofSide = (side: ServerSide) =>
    candidates.filter(({version}) => sideOf(rollout, version) === side);
  if (rule.kind !== 'share') return [ofSide(rule.kind)];
  if (turn === 'old') return [ofSide('old')];
  const named = ofSide('new').filter(candidate =>
    rule.servers.includes(candidateKey(candidate)),
  );
  return [named, ofSide('old')];
}

/**
 * Even rotation between the versions: after any number of requests, the new one
 * has had its share, to within one request. Nodes start at different points, as
 * otherwise many nodes with few requests each would never choose the new one.
 */
export class VersionRotation {
  /** `due`: the part of a request that is due at the start, from 0 to below 1. */
  constructor(private due: number) {}

  /** Chooses the side of the next request for a share from 0 to 1. */
  next(share: number): 'old' | 'new' {
    this.due += share;
    if (this.due < 1) return 'old';
    this.due -= 1;
    return 'new';
  }
}
