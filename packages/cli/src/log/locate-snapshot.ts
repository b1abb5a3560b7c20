/** Finds the newest snapshot of the configuration in the log. */

import {SnapshotLocator, type ConfigState} from '@turmericmill/distribution';
import type {LogClient} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import {toCliError} from './log-errors.js';

/** Maximum number of log calls in one search. */
const MAX_LOG_CALLS = 10_000;

/** Returns the state of the newest complete snapshot. */
export async function locateSnapshot(
  client: LogClient,
): Promise<Result<ConfigState, CliError>> {
  const locator = new SnapshotLocator();
  for (let calls = 0; calls < MAX_LOG_CALLS; calls++) {
    const call = locator.nextCall();
    const reply =
      call.call === 'read'
        ? await client.read(call.stream, call.from, call)
        : await client.bounds('snapshots');
    const located = locator.onReply(reply);
    if (!located) continue;
    switch (located.outcome) {
      case 'found':
        return Ok(located.snapshot.state);
      case 'failed':
        return Err(toCliError(located.error));
      case 'none':
        return Err(NO_SNAPSHOT);
    }
  }
  return Err(NO_SNAPSHOT);
}

const NO_SNAPSHOT: CliError = {
  exit: 'unreachable',
  message:
    'The beginning of the log has expired, and the log contains no complete ' +
    'snapshot yet. Retry after a node has written one.',
};
