/** A command that asks the administration API of one node. */

import type {Result} from '@turmericmill/utils';

import type {AdminClient} from '../admin/admin-client.js';
import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {Command, type CommandInput, type CommandOutput} from '../command.js';
import {ConnectionOptions} from '../connection-flags.js';

/** Opens the client; what to ask is the command's own. */
export abstract class AdminCommand extends Command {
  override async run(
    context: CliContext,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const options = await ConnectionOptions.load(context, input.flags);
    const client = options.andThen(loaded => loaded.openAdmin());
    if (client.isErr()) return client;
    return await this.ask(client.value, input);
  }

  protected abstract ask(
    client: AdminClient,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>>;
}
