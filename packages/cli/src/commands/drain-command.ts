/** `turmericmill drain`: stops new calls to a backend server. */

import {Err, Ok, type Result} from '@turmericmill/utils';

import type {DrainAnswer, DrainRequest} from '../admin/admin-answers.js';
import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {
  Command,
  type CommandInput,
  type CommandOutput,
  type FlagSpecs,
} from '../command.js';
import {ADMIN_FLAGS, ConnectionOptions} from '../connection-flags.js';
import {renderTable} from '../output/table.js';

/** Starts or ends the drain of one server, or of all servers of a node. */
export class DrainCommand extends Command {
  override readonly name = 'drain';
  override readonly summary =
    'stop new work for a server; calls in flight go on';
  override readonly args = ['NODE[/SERVER]'];
  override readonly flags: FlagSpecs = {
    ...ADMIN_FLAGS,
    undo: {type: 'boolean', summary: 'let the server take work again'},
  };
  override readonly examples = [
    'drain nairobi-a-1/lamp-3 --profile nairobi.json',
    'drain nairobi-a-1 --undo --profile nairobi.json',
  ];

  override async run(
    context: CliContext,
    {args, flags}: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const request = parseTarget(args[0] ?? '');
    if (request.isErr()) return request;
    const options = await ConnectionOptions.load(context, flags);
    const client = options.andThen(loaded => loaded.openAdmin());
    if (client.isErr()) return client;
    const draining = !flags.isSet('undo');
    const answer = await client.value.drain(request.value, draining);
    return answer.map(value => ({value, text: renderDrain(value)}));
  }
}

function parseTarget(text: string): Result<DrainRequest, CliError> {
  const [node, server, ...rest] = text.split('/');
  if (!node || server === '' || rest.length > 0) {
    const message = `"${text}" is not NODE or NODE/SERVER.`;
    return Err({exit: 'usage', message});
  }
  return Ok(server === undefined ? {node} : {node, server});
}

function renderDrain({node, servers}: DrainAnswer): string {
  const rows = servers.map(({server, state, inFlight}) => [
    `${node}/${server}`,
    state,
    inFlight,
  ]);
  return renderTable(['NODE/SERVER', 'STATE', 'IN FLIGHT'], rows);
}
