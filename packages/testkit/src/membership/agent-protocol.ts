/** Messages between the benchmark and the membership agents that it starts. */

import type {MembershipCounters} from '@turmericmill/membership';
import type {ServerState} from '@turmericmill/wire';

/** How an agent is started. */
export interface AgentOptions {
  id: string;
  dataCentre: string;
  /** Mesh addresses as `ip:port`. */
  seeds: string[];
}

export type AgentRequest =
  | {type: 'report'}
  /** Asks when this agent first saw the subject in that condition. */
  | {type: 'when'; id: string; condition: SeenCondition}
  | {type: 'set-state'; state: ServerState};

/** `gone`: no longer a member; `drained`: its server takes no new calls. */
export type SeenCondition = 'gone' | 'drained';

/** Counts since the start of the agent. */
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
  /** Time in ms since the epoch, or null. */
  | {type: 'when'; atMs: number | null};
