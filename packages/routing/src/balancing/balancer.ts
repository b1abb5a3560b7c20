/** Choice of a backend server for a call. */

import type {ClassPriority} from '@turmericmill/config';
import type {RandomSource} from '@turmericmill/utils';
import type {ServerLoad, ServerState} from '@turmericmill/wire';

/** A backend server that may take a call, as membership announces it. */
export interface Candidate {
  /** Node of the server. */
  nodeId: string;
  /** The server's own name; unique together with the node. */
  serverId: string;
  /** Grows with each start of the server. */
  incarnation: number;
  /** Backend server group as `team/name`. */
  group: string;
  dataCentre: string;
  state: ServerState;
  slots: number;
  /** Time in ms since the epoch at which the server became ready. */
  readySinceMs: number;
  /** Version of the server's program; absent if it is not announced. */
  version?: string;
}

/** Identifies a server over its restarts. */
export function candidateKey(candidate: Candidate): string {
  return `${candidate.nodeId}/${candidate.serverId}`;
}

/**
 * How a call to a server ended. `refused`: not run, as the server's node did
 * not admit it. `failed`: connection or server failed. `cancelled`: the caller
 * left. `timed-out`: the deadline passed without an answer.
 */
export type CallOutcome =
  | 'answered'
  | 'server-error'
  | 'refused'
  | 'failed'
  | 'timed-out'
  | 'cancelled';

/** The attributes of a call that a policy may consider. */
export interface CallTraits {
  class: string;
  priority: ClassPriority;
  /**
   * Time in ms over which servers of the call's group reach their full share
   * after a start. Absent: at once.
   */
  slowStartMs?: number;
  /** Expected bytes of the request's body and the answer; absent: few. */
  transferBytes?: number;
}

/** The result of a call, as its entry node saw it. */
export interface CallResult {
  outcome: CallOutcome;
  /** Time in ms from sending the call to the first byte of the answer. */
  latencyMs: number;
  /** The load that the server's node sent with its answer. */
  load?: ServerLoad;
}

/** A balancing policy with its measurements; one for each entry node. */
export abstract class Balancer {
  /** Name of the policy, for benchmarks and metrics. */
  abstract readonly name: string;

  /**
   * Chooses among the candidates. Returns undefined when no candidate is
   * ready. `candidates` excludes servers that the call has already tried.
   */
  abstract choose(
    candidates: readonly Candidate[],
    call: CallTraits,
    nowMs: number,
    random: RandomSource,
  ): Candidate | undefined;

  /** Records that a call was sent to the candidate. */
  abstract started(candidate: Candidate, call: CallTraits, nowMs: number): void;

  /** Records the end of a call; called once for each `started`. */
  abstract finished(
    candidate: Candidate,
    call: CallTraits,
    result: CallResult,
    nowMs: number,
  ): void;
}

/** Candidates that accept new calls. */
export function readyCandidates(
  candidates: readonly Candidate[],
): readonly Candidate[] {
  if (candidates.every(({state}) => state === 'ready')) return candidates;
  return candidates.filter(({state}) => state === 'ready');
}
