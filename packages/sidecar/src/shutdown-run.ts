/** Goes through the phases of a node's shutdown until its work is done. */

import {sleep, waitEventLoopTurns, type Clock} from '@turmericmill/utils';

import type {ShutdownLog} from './observe/shutdown-log.js';
import {
  nextPhase,
  type ShutdownPhase,
  type ShutdownTimes,
} from './shutdown-phase.js';

/** Interval in ms between checks of a shutdown's progress. */
const CHECK_INTERVAL_MS = 20;

export interface ShutdownRunParts {
  times: ShutdownTimes;
  clock: Clock;
  log: ShutdownLog;
  /** True while requests or calls of other nodes are at work. */
  isBusy(): boolean;
  /** Called at the start of each phase. */
  enterPhase(phase: ShutdownPhase): void;
}

/** Resolves in the phase `over`. */
export async function runShutdown(parts: ShutdownRunParts): Promise<void> {
  const {times, clock, log, isBusy, enterPhase} = parts;
  let phase: ShutdownPhase = 'serving';
  let lastBusyMs = clock.now();
  enterPhase(phase);
  while (phase !== 'over') {
    await sleep(CHECK_INTERVAL_MS);
    await waitEventLoopTurns(2);
    const busy = isBusy();
    if (busy) lastBusyMs = clock.now();
    const activity = {busy, lastBusyMs};
    const next = nextPhase(phase, times, activity, clock.now());
    if (next === 'refusing' && phase !== next) log.closing();
    if (next !== phase) enterPhase(next);
    phase = next;
  }
}
