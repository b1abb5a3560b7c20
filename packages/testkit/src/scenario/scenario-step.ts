/** The steps of a scenario. */

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

/** What a step waits for. */
export type Condition =
  | {kind: 'version'; version: number}
  | {kind: 'servers'; count: number}
  | {kind: 'nodes'; count: number};

/** An order; `keyed` calls get an idempotency key each. */
export interface ScenarioOrder {
  call: CallOrder;
  keyed: boolean;
  /** Sent once more with the same key through another node. */
  retried: boolean;
}

/** What a step does, told apart by `kind`. Times are in ms. */
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

/** Value of a property that is set. */
export type StepValue = number | boolean | string;

/** A step with its line in the scenario's file, counted from 1. */
export interface ScenarioStep {
  line: number;
  action: StepAction;
}
