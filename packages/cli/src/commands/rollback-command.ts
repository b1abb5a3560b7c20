/** `turmericmill rollback`: publishes an old configuration of a team again. */

import {diffResources} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import type {CommandInput, CommandOutput, FlagSpecs} from '../command.js';
import {ADMIN_FLAGS, LOG_FLAGS} from '../connection-flags.js';
import {resourcesOfTeam} from '../log/team-resources.js';
import {TeamCommand, type TeamSession} from './team-command.js';
import {PUBLISH_FLAGS} from './team-flags.js';

/** Publishes old content as a new version; version numbers never decrease. */
export class RollbackCommand extends TeamCommand {
  override readonly name = 'rollback';
  override readonly summary =
    'publish what a team had at an older version as a new version';
  override readonly args = ['VERSION'];
  override readonly flags: FlagSpecs = {
    ...PUBLISH_FLAGS,
    ...LOG_FLAGS,
    ...ADMIN_FLAGS,
  };
  override readonly examples = [
    'rollback 41 --profile nairobi.json --wait',
    'rollback 41 --team nyota --log http://10.0.0.9:7080',
  ];

  protected override async runForTeam(
    {session, team}: TeamSession,
    {args, flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const {log} = session;
    const requested = args[0] ?? '';
    const oldState = log.stateAt(Number(requested));
    if (!oldState) {
      const message = `There is no version ${requested}; see \`history\`.`;
      return Err({exit: 'not-found', message});
    }
    const {resources, version: base} = log.state;
    const desired = resourcesOfTeam(oldState.resources, team);
    const writes = diffResources(resources, team, desired);
    if (writes.length === 0) {
      const text = `Team ${team} has this content already.`;
      return Ok({value: {version: base, published: false}, text});
    }
    const message =
      flags.text('message') ?? `Roll back to version ${requested}`;
    return session.publish({team, base, writes, message});
  }
}
