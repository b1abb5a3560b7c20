/** `turmericmill show`: shows all resources, one resource, or one version. */

import type {ResourceKey} from '@turmericmill/config';
import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {
  Command,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from '../command.js';
import {LOG_FLAGS} from '../connection-flags.js';
import type {ConfigLog, HistoryEntry} from '../log/config-log.js';
import {describeChanges, renderChanges} from '../output/changes.js';
import {renderTable} from '../output/table.js';
import {LogSession} from './log-session.js';

/** Shows the content of the configuration log. */
export class ShowCommand extends Command {
  override readonly name = 'show';
  override readonly summary =
    'show the resources, one resource, or the changes of one version';
  override readonly args = ['[VERSION|TEAM/KIND/NAME]'];
  override readonly flags: FlagSpecs = LOG_FLAGS;
  override readonly examples = [
    'show --log http://10.0.0.9:7080',
    'show 41 --profile nairobi.json',
    'show nyota/route/lamp-status --profile nairobi.json --json',
  ];

  override async run(
    context: CliContext,
    {args, flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const opened = await LogSession.open(context, flags);
    if (opened.isErr()) return opened;
    const {log} = opened.value;
    const subject = args[0];
    if (subject === undefined) return Ok(showResources(log));
    if (/^\d+$/.test(subject)) return showVersion(log, Number(subject));
    return showResource(log, subject);
  }
}

function showResources({state}: ConfigLog): CommandOutput {
  const resources = [...state.resources.values()].sort((a, b) =>
    a.key < b.key ? -1 : 1,
  );
  const rows = resources.map(({team, kind, name}) => [team, kind, name]);
  const {version, digest} = state;
  const text = [
    `Version ${version}, digest ${digest}`,
    '',
    renderTable(['TEAM', 'KIND', 'NAME'], rows),
  ].join('\n');
  return {value: {version, digest, resources}, text};
}

function showVersion(
  log: ConfigLog,
  version: number,
): Result<CommandOutput, CliError> {
  const entry = log.entries.find(({offset}) => offset === version);
  if (!entry) {
    const message = `There is no publication at offset ${version}; see \`history\`.`;
    return Err({exit: 'not-found', message});
  }
  const {verdict, ...publication} = entry;
  if (verdict.status === 'rejected') {
    const {reason, keys} = verdict;
    const text =
      `${renderHeading(entry, reason)}\n\n${keys.join('\n')}`.trimEnd();
    return Ok({value: {...publication, result: reason, keys}, text});
  }
  const base = log.stateAt(verdict.from)?.resources ?? new Map();
  const changes = describeChanges(base, verdict.writes);
  const heading = renderHeading(entry, 'accepted');
  return Ok({
    value: {...publication, result: 'accepted', changes},
    text: `${heading}\n\n${renderChanges(changes)}`,
  });
}

function renderHeading(entry: HistoryEntry, result: string): string {
  const {offset, team, author, message} = entry;
  const note = message === '' ? '' : `: ${message}`;
  return `Publication ${offset} of ${team} by ${author}, ${result}${note}`;
}

function showResource(
  log: ConfigLog,
  key: string,
): Result<CommandOutput, CliError> {
  const resource = log.state.resources.get(key as ResourceKey);
  if (!resource) {
    const message = `There is no resource "${key}" at version ${log.state.version}.`;
    return Err({exit: 'not-found', message});
  }
  return Ok({value: resource, text: JSON.stringify(resource.spec, null, 2)});
}
