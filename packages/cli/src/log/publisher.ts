/** Appends a publication to the log and waits for its outcome. */

import {
  buildPublication,
  publish,
  PublishDecision,
  type Publication,
  type PublishOutcome,
  type RejectedVerdict,
} from '@turmericmill/distribution';
import type {LogClient} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {AppendTracker} from './append-tracker.js';
import type {ConfigLog} from './config-log.js';
import {toCliError} from './log-errors.js';

/** Time in ms after which the outcome is reported as unknown. */
const PUBLISH_TIMEOUT_MS = 15_000;

/** A publication that was accepted. */
export interface PublishedVersion {
  id: string;
  version: number;
  digest: string;
}

/** Publishes with at most one effect, even if answers of the log are lost. */
export class Publisher {
  constructor(
    private readonly context: CliContext,
    private readonly client: LogClient,
    private readonly log: ConfigLog,
  ) {}

  async publish(
    publication: Publication,
  ): Promise<Result<PublishedVersion, CliError>> {
    const bodies = buildPublication(publication);
    if (bodies.isErr()) {
      return Err({exit: 'refused', message: bodies.error.message});
    }
    const {clock, random, sleep} = this.context;
    const request = {
      id: publication.id,
      bodies: bodies.value,
      state: this.log.state,
      deadlineMs: clock.now() + PUBLISH_TIMEOUT_MS,
    };
    const decision = new PublishDecision(request, random);
    const tracker = new AppendTracker(this.client);
    const outcome = await publish(decision, {log: tracker, clock, wait: sleep});
    return toResult(outcome, tracker.mayHaveEffect);
  }
}

function toResult(
  outcome: PublishOutcome,
  mayHaveEffect: boolean,
): Result<PublishedVersion, CliError> {
  switch (outcome.status) {
    case 'accepted': {
      const {id, version, digest} = outcome;
      return Ok({id, version, digest});
    }
    case 'rejected':
      return Err(rejection(outcome));
    case 'refused':
      return Err(toCliError(outcome.error));
    case 'expired': {
      const message = 'Not all records reached the log in time; publish again.';
      return Err({exit: 'refused', message});
    }
    case 'unknown':
    case 'unreadable':
      return Err(mayHaveEffect ? outcomeUnknown(outcome.id) : UNREACHABLE);
  }
}

const UNREACHABLE: CliError = {
  exit: 'unreachable',
  message: 'Nothing was published: the log service is not available.',
};

function rejection({reason, keys}: RejectedVerdict): CliError {
  const keyList = keys.length > 0 ? `: ${keys.join(', ')}` : '';
  if (reason !== 'conflict' && reason !== 'base-too-old') {
    return {exit: 'refused', message: `Rejected, ${reason}${keyList}.`};
  }
  const message =
    `Rejected, ${reason}${keyList}. Another publication came first; ` +
    'see `plan`, then publish again.';
  return {exit: 'conflict', message};
}

function outcomeUnknown(id: string): CliError {
  const message =
    `The outcome of publication ${id} is unknown. ` +
    'Look for its id in `history` before publishing again.';
  return {exit: 'outcome-unknown', message};
}
