/** Appends a publication and learns what became of it. */

import {
  buildPublication,
  type Publication,
  type RejectedVerdict,
} from '@turmericmill/distribution';
import type {LogClient} from '@turmericmill/platform';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import {toCliError, type ConfigLog} from './config-log.js';

const MAX_TRIES = 5;
const RETRY_BASE_MS = 200;

/** A publication that came into force. */
export interface Published {
  id: string;
  version: number;
  digest: string;
}

/** What a publisher works with. */
export interface PublisherParts {
  client: LogClient;
  log: ConfigLog;
  sleep(ms: number): Promise<void>;
}

/** Publishes once, however often an answer of the log is lost. */
export class Publisher {
  constructor(private readonly parts: PublisherParts) {}

  async publish(
    publication: Publication,
  ): Promise<Result<Published, CliError>> {
    const bodies = buildPublication(publication);
    if (bodies.isErr()) {
      return Err({exit: 'refused', message: bodies.error.message});
    }
    for (const [part, body] of bodies.value.entries()) {
      const appended = await this.appendPart(publication.id, part, body);
      if (appended.isErr()) return appended;
    }
    return this.learnVerdict(publication.id);
  }

  /**
   * Appends one record. After a lost answer the record is looked up by its
   * publication and number; the fold ignores it if it comes twice after all.
   */
  private async appendPart(
    id: string,
    part: number,
    body: string,
  ): Promise<Result<void, CliError>> {
    const {client, log} = this.parts;
    let mayHaveEffect = part > 0;
    let reason = '';
    for (let tries = 1; tries <= MAX_TRIES; tries++) {
      const appended = await client.append('config', body);
      if (appended.isOk()) return Ok(undefined);
      const {code, message} = appended.error;
      reason = message;
      if (code === 'outcome-unknown') {
        mayHaveEffect = true;
        const read = await log.catchUp();
        if (read.isOk() && log.hasPart(id, part)) return Ok(undefined);
      } else if (code !== 'unavailable') {
        return Err(toCliError(appended.error));
      }
      if (tries < MAX_TRIES) await this.backOff(tries);
    }
    if (mayHaveEffect) return Err(outcomeUnknown(id, reason));
    const message = `Nothing was published: the log is unavailable: ${reason}`;
    return Err({exit: 'unreachable', message});
  }

  private async learnVerdict(id: string): Promise<Result<Published, CliError>> {
    const {log} = this.parts;
    let reason = 'it is not in the log yet';
    for (let tries = 1; tries <= MAX_TRIES; tries++) {
      const read = await log.catchUp();
      const entry = log.entryOf(id);
      if (entry) return toPublished(entry.verdict);
      if (read.isErr()) reason = read.error.message;
      if (tries < MAX_TRIES) await this.backOff(tries);
    }
    return Err(outcomeUnknown(id, reason));
  }

  private backOff(tries: number): Promise<void> {
    return this.parts.sleep(RETRY_BASE_MS * 2 ** (tries - 1));
  }
}

function toPublished(
  verdict:
    | RejectedVerdict
    | {status: 'accepted'; id: string; version: number; digest: string},
): Result<Published, CliError> {
  if (verdict.status === 'accepted') {
    const {id, version, digest} = verdict;
    return Ok({id, version, digest});
  }
  const {reason, keys} = verdict;
  const about = keys.length > 0 ? `: ${keys.join(', ')}` : '';
  if (reason !== 'conflict' && reason !== 'base-too-old') {
    return Err({exit: 'refused', message: `Rejected, ${reason}${about}.`});
  }
  const message =
    `Rejected, ${reason}${about}. Another publication came first; ` +
    'see `plan`, then publish again.';
  return Err({exit: 'conflict', message});
}

function outcomeUnknown(id: string, reason: string): CliError {
  const message =
    `Whether publication ${id} was taken is unknown (${reason}). ` +
    'Look for its id in `history` before publishing again.';
  return {exit: 'outcome-unknown', message};
}
