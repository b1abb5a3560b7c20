/** Watches a version come into force across the fleet. */

import {Err, Ok, type Clock, type Result} from '@turmericmill/utils';

import type {AdminClient} from '../admin/admin-client.js';
import type {FleetStatus} from '../admin/admin-answers.js';
import type {CliError} from '../cli-error.js';

const POLL_INTERVAL_MS = 200;

/** Nodes of one data centre that enforce the wanted version or a later one. */
export interface DataCentreProgress {
  dataCentre: string;
  inForce: number;
  nodes: number;
}

/** A version that is in force on every reachable node. */
export interface InForce {
  version: number;
  waitedMs: number;
  dataCentres: DataCentreProgress[];
  /** Nodes that could not be asked. */
  unreachable: string[];
}

/** What the watch works with. */
export interface ForceWatchParts {
  admin: AdminClient;
  clock: Clock;
  sleep(ms: number): Promise<void>;
  /** Told of each change of progress. */
  onProgress(line: string): void;
}

/** Waits until every node enforces `version`, at most `timeoutMs`. */
export async function waitUntilInForce(
  parts: ForceWatchParts,
  version: number,
  timeoutMs: number,
): Promise<Result<InForce, CliError>> {
  const startMs = parts.clock.now();
  const deadlineMs = startMs + timeoutMs;
  let shown = '';
  let reason = 'no node has answered';
  while (parts.clock.now() < deadlineMs) {
    const answer = await parts.admin.status();
    if (answer.isOk()) {
      const status = answer.value;
      const dataCentres = progressOf(status, version);
      const line = renderProgress(dataCentres);
      if (line !== shown) parts.onProgress(line);
      shown = line;
      if (isEverywhere(dataCentres)) {
        const waitedMs = parts.clock.now() - startMs;
        const {unreachable} = status;
        return Ok({version, waitedMs, dataCentres, unreachable});
      }
      reason = renderLaggards(status);
    } else {
      reason = answer.error.message;
    }
    await parts.sleep(POLL_INTERVAL_MS);
  }
  const message =
    `Version ${version} is accepted, but not in force everywhere after ` +
    `${timeoutMs / 1000} s: ${reason}`;
  return Err({exit: 'wait-timed-out', message});
}

/** Counts the nodes at `version` or a later one in each data centre. */
export function progressOf(
  {dataCentres}: FleetStatus,
  version: number,
): DataCentreProgress[] {
  return dataCentres.map(({dataCentre, nodes, versions}) => {
    const inForce = Object.entries(versions)
      .filter(([at]) => Number(at) >= version)
      .reduce((sum, [, count]) => sum + count, 0);
    return {dataCentre, inForce, nodes};
  });
}

function isEverywhere(dataCentres: readonly DataCentreProgress[]): boolean {
  return (
    dataCentres.length > 0 &&
    dataCentres.every(({inForce, nodes}) => inForce >= nodes)
  );
}

function renderProgress(dataCentres: readonly DataCentreProgress[]): string {
  return dataCentres
    .map(({dataCentre, inForce, nodes}) => `${dataCentre} ${inForce}/${nodes}`)
    .join('  ');
}

function renderLaggards({laggards, unreachable}: FleetStatus): string {
  const parts = [
    laggards.length > 0 ? `behind: ${laggards.join(', ')}` : '',
    unreachable.length > 0 ? `unreachable: ${unreachable.join(', ')}` : '',
  ].filter(part => part !== '');
  return parts.join('; ') || 'the nodes behind are not named yet';
}
