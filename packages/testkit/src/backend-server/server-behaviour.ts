/** How the backend server stand-in behaves, and how that can be changed. */

/** What the health and load endpoints tell. */
export type HealthReport =
  /** The truth. */
  | 'true'
  /** The truth of `healthLagMs` ago. */
  | 'lagging'
  | 'always-healthy'
  | 'always-failing';

/** Behaviour that can be changed while the server runs. */
export interface ServerBehaviour {
  /** Time in ms that a call takes. */
  workMs: number;
  /** Time in ms after a start in which calls take `coldFactor` as long. */
  coldStartMs: number;
  coldFactor: number;
  /** Calls in flight above which a call is shed with 503, not run. */
  shedAbove: number;
  health: HealthReport;
  healthLagMs: number;
  /** The server crashes while it runs a call with this header set. */
  poisonHeader: string;
  /** New announcements are held back, as by a paused process. */
  announces: boolean;
}

/** A server that answers at once and tells the truth. */
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

/** Time in ms that a call takes `upMs` after the start. */
export function workTimeMs(behaviour: ServerBehaviour, upMs: number): number {
  const {workMs, coldStartMs, coldFactor} = behaviour;
  return upMs < coldStartMs ? workMs * coldFactor : workMs;
}
