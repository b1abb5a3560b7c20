/** `turmericmill validate`: checks a file set without publishing it. */

import {Ok, type Result} from '@turmericmill/utils';
import type {ResourceMap} from '@turmericmill/config';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {
  Command,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from '../command.js';
import {ConnectionOptions, LOG_FLAGS} from '../connection-flags.js';
import {ConfigLog} from '../log/config-log.js';
import {loadFileSet} from '../log/team-resources.js';
import {TEAM_FLAGS} from './team-flags.js';

/** Reports all findings of a file set. */
export class ValidateCommand extends Command {
  override readonly name = 'validate';
  override readonly summary = 'check a file set and report all findings';
  override readonly args = ['DIR'];
  override readonly flags: FlagSpecs = {
    ...TEAM_FLAGS,
    ...LOG_FLAGS,
    offline: {
      type: 'boolean',
      summary: 'do not look up other teams, even if a log service is given',
    },
  };
  override readonly examples = [
    'validate examples/nyota/files --team nyota',
    'validate files --team nyota --log http://10.0.0.9:7080',
  ];

  override async run(
    context: CliContext,
    {args, flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const loaded = await ConnectionOptions.load(context, flags);
    if (loaded.isErr()) return loaded;
    const team = loaded.value.team();
    if (team.isErr()) return team;
    const isOffline = flags.isSet('offline') || !loaded.value.hasLog();
    const published = isOffline
      ? Ok<ResourceMap>(new Map())
      : await readResources(loaded.value);
    if (published.isErr()) return published;
    const directory = args[0] ?? '';
    const set = await loadFileSet(
      context,
      directory,
      team.value,
      published.value,
    );
    return set.map(resources => ({
      value: {valid: true, resources: resources.length},
      text: `${directory} is valid: ${resources.length} resources.`,
    }));
  }
}

async function readResources(
  options: ConnectionOptions,
): Promise<Result<ResourceMap, CliError>> {
  const client = options.openLog();
  if (client.isErr()) return client;
  const log = new ConfigLog(client.value);
  const read = await log.catchUp();
  return read.map(() => log.state.resources);
}
