/** `turmericmill plan`: shows what a publication would change. */

import {diffResources} from '@turmericmill/config';
import {Ok, type Result} from '@turmericmill/utils';

import type {CliError} from '../cli-error.js';
import type {CommandInput, CommandOutput, FlagSpecs} from '../command.js';
import {LOG_FLAGS} from '../connection-flags.js';
import {loadFileSet} from '../log/team-resources.js';
import {
  summarizeChanges,
  describeChanges,
  renderChanges,
} from '../output/changes.js';
import {TeamCommand, type TeamSession} from './team-command.js';
import {TEAM_FLAGS} from './team-flags.js';

/** Compares a file set with the newest version in the log. */
export class PlanCommand extends TeamCommand {
  override readonly name = 'plan';
  override readonly summary = 'show what publishing a file set would change';
  override readonly args = ['DIR'];
  override readonly flags: FlagSpecs = {...TEAM_FLAGS, ...LOG_FLAGS};
  override readonly examples = [
    'plan files --team nyota --log http://10.0.0.9:7080',
    'plan files --profile nairobi.json --json',
  ];

  protected override async runForTeam(
    {context, session, team}: TeamSession,
    {args}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const {log} = session;
    const {resources, version} = log.state;
    const set = await loadFileSet(context, args[0] ?? '', team, resources);
    if (set.isErr()) return set;
    const writes = diffResources(resources, team, set.value);
    const changes = describeChanges(resources, writes);
    const summary = `Against version ${version}: ${summarizeChanges(changes)}.`;
    const text =
      changes.length === 0
        ? `Nothing differs from version ${version}.`
        : `${renderChanges(changes)}\n\n${summary}`;
    return Ok({value: {base: version, changes}, text});
  }
}
