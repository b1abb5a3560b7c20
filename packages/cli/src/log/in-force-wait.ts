/** Waits until a version is in force on all nodes that report. */

import {Err, Ok, type Clock, type Result} from '@turmericmill/utils';

import type {AdminClient} from '../admin/admin-client.js';
import type {FleetStatus} from '../admin/admin-answers.js';
import type {CliError} from '../cli-error.js';

const POLL_INTERVAL_MS = 200;

/** Progress of a version in one data centre. */
export interface DataCentreProgress {
  dataCentre: string;
  /** Number of nodes that enforce the version or a later one. */
  inForce: number;
  /** Number of nodes that report which version they enforce. */
  nodes: number;
}

/** Result for a version that is in force on every node that reports. */
export interface InForceResult {
  version: number;
  waitedMs: number;
  dataCentres: DataCentreProgress[];
  /** Some of the nodes that the answering node cannot reach. */
  unreachable: string[];
}

/** Dependencies of the wait. */
export interface InForceWaitContext {
  admin: AdminClient;
  clock: Clock;
  sleep(ms: number): Promise<void>;
  /** Called with a line of text after each change of progress. */
  onProgress(line: string): void;
}

/**
 * Waits at most `timeoutMs` until every node that reports enforces `version` or
 * a later one.
 */
export async function waitUntilInForce(
  context: InForceWaitContext,
  version: number,
  timeoutMs: number,
): Promise<Result<InForceResult, CliError>> {
  const startMs = context.clock.now();
  const deadlineMs = startMs + timeoutMs;
  let shownLine = '';
  let reason = 'no node has answered';
  while (context.clock.now() < deadlineMs) {
    const answer = await context.admin.status();
    if (answer.isOk()) {
      const status = answer.value;
      const dataCentres = countProgress(status, version);
      const line = renderProgress(dataCentres);
      if (line !== shownLine) context.onProgress(line);
      shownLine = line;
      if (isInForceEverywhere(dataCentres)) {
        const waitedMs = context.clock.now() - startMs;
        const {unreachable} = status;
        return Ok({version, waitedMs, dataCentres, unreachable});
      }
      reason = renderLaggards(status);
    } else {
      reason = answer.error.message;
    }
    await context.sleep(POLL_INTERVAL_MS);
  }
  const message =
    `Version ${version} is accepted, but not in force everywhere after ` +
    `${timeoutMs / 1000} s: ${reason}`;
  return Err({exit: 'wait-timed-out', message});
}

/** Counts the nodes of each data centre at `version` or a later one. */
export function countProgress(
  {dataCentres}: FleetStatus,
  version: number,
): DataCentreProgress[] {
  return dataCentres.map(({dataCentre, nodes, versions}) => {
    const inForce = Object.entries(versions)
      .filter(([nodeVersion]) => Number(nodeVersion) >= version)
      .reduce((sum, [, count]) => sum + count, 0);
    return {dataCentre, inForce, nodes};
  });
}

function isInForceEverywhere(
  dataCentres: readonly DataCentreProgress[],
): boolean {
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
  return parts.join('; ') || 'the status names no node that is behind';
}
