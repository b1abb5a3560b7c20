/** `turmericmill publish`: publishes a file set as a team's configuration. */

import {diffResources} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import type {CommandInput, CommandOutput, FlagSpecs} from '../command.js';
import {ADMIN_FLAGS, LOG_FLAGS} from '../connection-flags.js';
import {loadFileSet} from '../log/team-resources.js';
import {TeamCommand, type TeamSession} from './team-command.js';
import {PUBLISH_FLAGS} from './team-flags.js';

/** Publishes a file set as a whole. */
export class PublishCommand extends TeamCommand {
  override readonly name = 'publish';
  override readonly summary = 'publish a file set as a whole';
  override readonly args = ['DIR'];
  override readonly flags: FlagSpecs = {
    ...PUBLISH_FLAGS,
    base: {
      type: 'number',
      value: 'VERSION',
      summary: 'version that the files were made from; newest by default',
    },
    ...LOG_FLAGS,
    ...ADMIN_FLAGS,
  };
  override readonly examples = [
    'publish files --team nyota --author amina --profile nairobi.json',
    'publish files --profile nairobi.json --base 41 --wait --timeout 10',
  ];

  protected override async runForTeam(
    {context, session, team}: TeamSession,
    {args, flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const {log} = session;
    const base = flags.number('base') ?? log.state.version;
    const baseState = log.stateAt(base);
    if (!baseState) {
      const message = `There is no version ${base}; see \`history\`.`;
      return Err({exit: 'not-found', message});
    }
    const set = await loadFileSet(
      context,
      args[0] ?? '',
      team,
      log.state.resources,
    );
    if (set.isErr()) return set;
    const writes = diffResources(baseState.resources, team, set.value);
    if (writes.length === 0) {
      const text = `Nothing differs from version ${base}; nothing published.`;
      return Ok({value: {version: base, published: false}, text});
    }
    const message = flags.text('message');
    return session.publish({team, base, writes, message});
  }
}
