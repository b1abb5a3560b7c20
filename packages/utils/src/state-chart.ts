/** State charts that are defined in JSON files and interpreted by XState. */

import {createRequire} from 'node:module';

import {
  createMachine,
  getInitialSnapshot,
  getNextSnapshot,
  type AnyMachineSnapshot,
  type AnyStateMachine,
} from 'xstate';

/** An event of a chart. */
export interface ChartEvent {
  type: string;
}

/** A guard named in a chart. `T` is the type of the input of `next`. */
export type ChartGuard<T> = (input: T) => boolean;

/**
 * A chart with named guards. It has no current state: `next` maps a state name,
 * an event and an input to the next state name, so that decision logic can
 * store the state name as plain data.
 */
export class StateChart<S extends string, E extends ChartEvent, T = undefined> {
  private readonly machine: AnyStateMachine;
  private readonly snapshots = new Map<S, AnyMachineSnapshot>();
  /** Cache of transitions; absent with guards, as these depend on the input. */
  private readonly transitions: Map<string, S> | undefined;
  readonly initial: S;

  constructor(chart: object, guards: Record<string, ChartGuard<T>> = {}) {
    this.transitions = Object.keys(guards).length === 0 ? new Map() : undefined;
    const wrappedGuards = Object.entries(guards).map(
      ([name, guard]) =>
        [name, ({event}: {event: {input: T}}) => guard(event.input)] as const,
    );
    this.machine = createMachine(chart as never).provide({
      guards: Object.fromEntries(wrappedGuards) as never,
    });
    this.initial = String(getInitialSnapshot(this.machine).value) as S;
  }

  /** Returns the next state; the same state if the event has no transition. */
  next(state: S, event: E, input?: T): S {
    const key = `${state} ${event.type}`;
    let nextState = this.transitions?.get(key);
    if (nextState === undefined) {
      nextState = this.interpret(state, event, input);
      this.transitions?.set(key, nextState);
    }
    return nextState;
  }

  private interpret(state: S, event: E, input?: T): S {
    const snapshot = this.snapshotOf(state);
    const nextSnapshot = getNextSnapshot(this.machine, snapshot, {
      ...event,
      input,
    });
    return String(nextSnapshot.value) as S;
  }

  private snapshotOf(state: S): AnyMachineSnapshot {
    let snapshot = this.snapshots.get(state);
    if (!snapshot) {
      snapshot = this.machine.resolveState({
        value: state,
        context: {},
      });
      this.snapshots.set(state, snapshot);
    }
    return snapshot;
  }
}

/** Reads the JSON chart `file`, a path relative to the module `moduleUrl`. */
export function readChart(moduleUrl: string, file: string): object {
  return createRequire(moduleUrl)(file) as object;
}
