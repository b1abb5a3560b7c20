/** `turmericmill rollback`: publishes a team's old configuration again. */

import {diffResources} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {
  Command,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from '../command.js';
import {ADMIN_FLAGS, LOG_FLAGS} from '../connection-flags.js';
import {resourcesOfTeam} from '../log/team-set.js';
import {LogSession} from './log-session.js';
import {PUBLISH_FLAGS} from './team-flag.js';

/** A new version with old content; versions themselves never go back. */
export class RollbackCommand extends Command {
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

  override async run(
    context: CliContext,
    {args, flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const opened = await LogSession.open(context, flags);
    if (opened.isErr()) return opened;
    const {log, options} = opened.value;
    const team = options.team();
    if (team.isErr()) return team;
    const wanted = args[0] ?? '';
    const old = log.stateAt(Number(wanted));
    if (!old) {
      const message = `There is no version ${wanted}; see \`history\`.`;
      return Err({exit: 'not-found', message});
    }
    const {resources, version: base} = log.state;
    const desired = resourcesOfTeam(old.resources, team.value);
    const writes = diffResources(resources, team.value, desired);
    if (writes.length === 0) {
      const text = `Team ${team.value} has this content already.`;
      return Ok({value: {version: base, published: false}, text});
    }
    const message = flags.text('message') ?? `Roll back to version ${wanted}`;
    return opened.value.publish({team: team.value, base, writes, message});
  }
}
