/**
 * Chooses the nodes that read the configuration from the store. Load pattern:
 * store calls have a price, and the store serves a limited number of them for
 * the whole fleet. One node of each data centre waits for changes at the store
 * and forwards them to the others there, so that store calls and bytes between
 * data centres do not grow with the fleet. If no fresh notice arrives, the other
 * nodes take over one by one, in the order of their ranks: the first few with
 * time for a notice of the one before, all in time to read the store themselves.
 */

import {rendezvousTop} from '@turmericmill/utils';

/** Interval in ms at which a reader announces the version in force. */
export const BEACON_INTERVAL_MS = 300;

/**
 * Time in ms without a prompt notice after which a node asks others. Behind a
 * full link its questions are late, so that it can not wait until it is stale.
 */
export const NOTICE_GAP_MS = 2.5 * BEACON_INTERVAL_MS;

/** Share of the bound after which a configuration without a notice is stale. */
const STALE_SHARE = 0.55;
/** Share of the bound between the takeovers of ranks 1, 2 and 3. */
const TAKEOVER_STEP_SHARE = 0.075;
/** Highest rank with such a step to the rank before. */
const LAST_STEP_RANK = 3;
/**
 * Share of the bound after which no node waits for the others any more. The
 * ranks behind the steps get ever closer to it.
 */
const LAST_TAKEOVER_SHARE = 0.8;
/** Time in ms for the answer of a read and a notice to arrive. */
const MAX_TRANSIT_MS = 300;
/** Bytes that any link carries to all nodes of a data centre in a moment. */
const SMALL_BYTES = 2_048;
/** Ranks of the nodes that retry often while the store does not answer. */
const FREQUENT_RANKS = 3;
/** Longest retry delay in ms of these nodes, and of the others. */
const FREQUENT_RETRY_CAP_MS = 800;
const RARE_RETRY_CAP_MS = 4_000;

const READER_KEY = 'config-readers';

/** Times in ms, derived from the bound for a change to be in force. */
export interface SourceTimes {
  /** Age of a configuration from which the node of the next rank takes over. */
  staleAfterMs: number;
  /** Time between the takeovers of ranks 1, 2 and 3. */
  takeoverStepMs: number;
  /** Age of a configuration before which all nodes have taken over. */
  lastTakeoverMs: number;
  /**
   * Age of a beacon up to which its sender reads without delay. An acting node
   * goes on beside one whose beacons are at times just fresh enough.
   */
  promptAgeMs: number;
  /** Time for which a read waits at the store for a change; an integer. */
  readWaitMs: number;
  /** Time after that wait at which its answer, and the version, are stale. */
  readOverdueMs: number;
}

/** Returns times with which a change is in force within `configInForceMs`. */
export function sourceTimes(configInForceMs: number): SourceTimes {
  const staleAfterMs = configInForceMs * STALE_SHARE;
  const readWaitMs = Math.floor(
    staleAfterMs - BEACON_INTERVAL_MS - MAX_TRANSIT_MS,
  );
  return {
    staleAfterMs,
    takeoverStepMs: configInForceMs * TAKEOVER_STEP_SHARE,
    lastTakeoverMs: configInForceMs * LAST_TAKEOVER_SHARE,
    promptAgeMs: staleAfterMs / 2,
    readWaitMs,
    readOverdueMs: staleAfterMs - readWaitMs,
  };
}

/**
 * Returns the ids of a data centre's nodes in the order in which they read the
 * store. Rank 0 is the reader. All nodes with the same view get the same order.
 */
export function rankNodes(localNodeIds: readonly string[]): string[] {
  return rendezvousTop(READER_KEY, localNodeIds, localNodeIds.length);
}

/** View of one node of its source. */
export interface SourceState {
  /** Position of the node in the order; 0 if it is alone. */
  rank: number;
  /** True since the node took over, until a node of a lower rank reads again. */
  isActing: boolean;
  /** Time in ms of the last store read that succeeded, here or at a peer. */
  confirmedMs: number;
}

/** Returns the time in ms from which the node has to read the store itself. */
export function takeoverMs(
  {rank, isActing, confirmedMs}: SourceState,
  times: SourceTimes,
): number {
  if (rank === 0 || isActing) return -Infinity;
  return confirmedMs + takeoverAgeMs(rank, times);
}

/** Age in ms of a configuration from which a node reads the store itself. */
function takeoverAgeMs(
  rank: number,
  {staleAfterMs, takeoverStepMs, lastTakeoverMs}: SourceTimes,
): number {
  const steps = Math.min(rank, LAST_STEP_RANK) - 1;
  const steppedMs = staleAfterMs + steps * takeoverStepMs;
  const ranksBehind = Math.max(0, rank - LAST_STEP_RANK);
  return lastTakeoverMs - (lastTakeoverMs - steppedMs) / (1 + ranksBehind);
}

/** A read of the store that has succeeded. */
export interface StoreRead {
  sentMs: number;
  receivedMs: number;
  /** Time in ms for which the store waits for a change; 0 if it does not. */
  waitMs: number;
  /** True if the store has waited without a change. */
  isUnchanged: boolean;
}

/**
 * Returns the time in ms that the messages of a read take to and from the store,
 * given that of the reads before. The time of a document's transfer tells
 * nothing of the link, but a short one does.
 */
export function readTransitMs(
  {sentMs, receivedMs, waitMs, isUnchanged}: StoreRead,
  beforeMs: number,
): number {
  const elapsedMs = Math.max(0, receivedMs - sentMs - waitMs);
  if (waitMs === 0) return Math.min(beforeMs, elapsedMs);
  return isUnchanged ? elapsedMs : beforeMs;
}

/**
 * Returns the time in ms at which the store surely had what a read has brought.
 * Bytes may have waited at a full link since.
 */
export function confirmedByReadMs(
  {sentMs, receivedMs, waitMs}: StoreRead,
  transitMs: number,
): number {
  if (waitMs === 0) return sentMs;
  return Math.max(sentMs, receivedMs - transitMs);
}

/**
 * True if a node may send this many bytes to each node of its data centre.
 * Behind a full link they would be late, and keep back the messages of calls.
 */
export function maySendToAll(bytes: number, transitMs: number): boolean {
  return bytes <= SMALL_BYTES || transitMs <= MAX_TRANSIT_MS;
}

/** Longest retry delay in ms of a node whose read has failed. */
export function retryCapMs(rank: number): number {
  return rank < FREQUENT_RANKS ? FREQUENT_RETRY_CAP_MS : RARE_RETRY_CAP_MS;
}
