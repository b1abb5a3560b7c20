/** Types of parsed scenario steps. */

import type {CallOrder} from '../caller/caller.js';

export type NodeAction = 'kill' | 'stop' | 'pause' | 'resume' | 'restart';

export type ServerAction = 'crash' | 'restart' | 'silence' | 'drain';

export type ExpectSubject =
  | 'answered'
  | 'not-run'
  | 'unknown'
  | 'mismatched'
  | 'repeated'
  | 'falsely-not-run'
  | 'answered-without-run'
  | 'steps-back'
  | 'config-records'
  | 'cancelled-runs'
  | 'p99-ms';

export type Comparison = 'is' | 'at least' | 'at most';

/** A condition that every running node has to meet. */
export type Condition =
  | {kind: 'version'; version: number}
  | {kind: 'servers'; count: number}
  | {kind: 'nodes'; count: number};

/** A kind of call that a `send` or `start load` step sends. */
export interface ScenarioOrder {
  call: CallOrder;
  /** True when each call gets its own idempotency key. */
  keyed: boolean;
  /** True when `send` retries the call, with the same key, at the next node. */
  retried: boolean;
}

/** The action of a step, discriminated by `kind`. */
export type StepAction =
  | {kind: 'start-node'; nodeId: string; dataCentre: string}
  | {
      kind: 'start-server';
      name: string;
      group: string;
      nodeId: string;
      slots: number;
      workMs: number;
    }
  | {kind: 'start-load'; callsPerSecond: number; orders: ScenarioOrder[]}
  | {kind: 'stop-load'}
  | {kind: 'send'; calls: number; orders: ScenarioOrder[]}
  | {kind: 'node-action'; action: NodeAction; nodeId: string}
  | {kind: 'server-action'; action: ServerAction; name: string}
  | {kind: 'set-server'; name: string; property: string; value: StepValue}
  | {kind: 'set-log'; property: string; value: StepValue}
  | {kind: 'trim-log'; stream: string; before: number}
  | {kind: 'run'; commandLine: string; exit: number}
  | {kind: 'sleep'; ms: number}
  | {kind: 'wait'; condition: Condition; timeoutMs: number}
  | {
      kind: 'expect';
      subject: ExpectSubject;
      comparison: Comparison;
      bound: number;
    };

/** A value that a `set` step assigns to a property. */
export type StepValue = number | boolean | string;

/** A step and its 1-based line in the scenario file. */
export interface ScenarioStep {
  line: number;
  action: StepAction;
}
