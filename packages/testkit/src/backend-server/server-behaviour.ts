/** Adjustable behaviour of the backend server stand-in. */

/** What the health endpoint reports. */
export type HealthReport =
  /** The current state. */
  | 'true'
  /** The state `healthLagMs` ago. */
  | 'lagging'
  | 'always-healthy'
  | 'always-failing';

/** Behaviour that can be changed while the server runs. */
export interface ServerBehaviour {
  /** Run time of a call, in ms. */
  workMs: number;
  /** Time after a start, in ms, in which `coldFactor` multiplies run times. */
  coldStartMs: number;
  coldFactor: number;
  /** Calls in flight at which further calls are answered 503 and do not run. */
  shedAbove: number;
  health: HealthReport;
  healthLagMs: number;
  /** Header that makes the server crash while it runs the call. */
  poisonHeader: string;
  /** False stops the announcements, as when the process is paused. */
  announces: boolean;
}

/** Behaviour of a server that answers immediately and reports its state. */
export const GOOD_BEHAVIOUR: Readonly<ServerBehaviour> = {
  workMs: 0,
  coldStartMs: 0,
  coldFactor: 5,
  shedAbove: Number.MAX_SAFE_INTEGER,
  health: 'true',
  healthLagMs: 2000,
  poisonHeader: 'x-poison',
  announces: true,
};

/** Run time in ms of a call that begins `upMs` after the start. */
export function workTimeMs(behaviour: ServerBehaviour, upMs: number): number {
  const {workMs, coldStartMs, coldFactor} = behaviour;
  return upMs < coldStartMs ? workMs * coldFactor : workMs;
}
