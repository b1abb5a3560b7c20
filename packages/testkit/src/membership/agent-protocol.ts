/** Messages between the benchmark and the membership agents that it starts. */

import type {MembershipCounters} from '@turmericmill/membership';
import type {ServerState} from '@turmericmill/wire';

/** Start options of an agent. */
export interface AgentOptions {
  id: string;
  dataCentre: string;
  /** Mesh addresses as `ip:port`. */
  seeds: string[];
}

export type AgentRequest =
  | {type: 'report'}
  /** Asks when the agent first observed the member `id` in `condition`. */
  | {type: 'when'; id: string; condition: SeenCondition}
  | {type: 'set-state'; state: ServerState};

/**
 * `gone`: no longer an alive or suspected member; `drained`: its server is
 * draining and accepts no new calls.
 */
export type SeenCondition = 'gone' | 'drained';

/** State of an agent and its counters since its start. */
export interface AgentReport {
  type: 'report';
  members: number;
  bytesOut: number;
  messagesOut: number;
  cpuMs: number;
  residentBytes: number;
  counters: MembershipCounters;
}

export type AgentReply =
  | {type: 'ready'; port: number}
  | AgentReport
  /** Time in ms since the epoch, or null if not observed. */
  | {type: 'when'; atMs: number | null};
