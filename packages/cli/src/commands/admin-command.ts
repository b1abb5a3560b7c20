/** A command that queries the administration API of a node. */

import type {Result} from '@turmericmill/utils';

import type {AdminClient} from '../admin/admin-client.js';
import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {Command, type CommandInput, type CommandOutput} from '../command.js';
import {ConnectionOptions} from '../connection-flags.js';

/** Opens the client; subclasses implement the query. */
export abstract class AdminCommand extends Command {
  override async run(
    context: CliContext,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const options = await ConnectionOptions.load(context, input.flags);
    const client = options.andThen(loaded => loaded.openAdmin());
    if (client.isErr()) return client;
    return await this.query(client.value, input);
  }

  protected abstract query(
    client: AdminClient,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>>;
}
