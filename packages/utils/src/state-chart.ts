/** State charts kept in JSON files and interpreted at run time by XState. */

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

/** A predicate named in a chart. `T` is what the caller passes to `next`. */
export type ChartGuard<T> = (input: T) => boolean;

/**
 * A chart with named guards. It holds no state of its own: `next` maps a state
 * name, an event and an input to the following state name, so that pure
 * decisions can keep the state name as plain data.
 */
export class StateChart<S extends string, E extends ChartEvent, T = undefined> {
  private readonly machine: AnyStateMachine;
  private readonly snapshots = new Map<S, AnyMachineSnapshot>();
  /** Following states of a chart without guards, which depend on names alone. */
  private readonly known: Map<string, S> | undefined;
  readonly initial: S;

  constructor(chart: object, guards: Record<string, ChartGuard<T>> = {}) {
    this.known = Object.keys(guards).length === 0 ? new Map() : undefined;
    const wrapped = Object.entries(guards).map(
      ([name, guard]) =>
        [name, ({event}: {event: {input: T}}) => guard(event.input)] as const,
    );
    this.machine = createMachine(chart as never).provide({
      guards: Object.fromEntries(wrapped) as never,
    });
    this.initial = String(getInitialSnapshot(this.machine).value) as S;
  }

  /** The state that follows `state` on `event`; the same state if none does. */
  next(state: S, event: E, input?: T): S {
    const key = `${state} ${event.type}`;
    let following = this.known?.get(key);
    if (following === undefined) {
      following = this.interpret(state, event, input);
      this.known?.set(key, following);
    }
    return following;
  }

  private interpret(state: S, event: E, input?: T): S {
    const snapshot = this.snapshotOf(state);
    const following = getNextSnapshot(this.machine, snapshot, {
      ...event,
      input,
    });
    return String(following.value) as S;
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

/** Reads the JSON chart `file` that stands beside the module `moduleUrl`. */
export function readChart(moduleUrl: string, file: string): object {
  return createRequire(moduleUrl)(file) as object;
}
