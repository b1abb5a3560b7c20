/** A command on the configuration of one team in the log. */

import type {Result} from '@turmericmill/utils';

import type {CliContext} from '../cli-context.js';
import type {CliError} from '../cli-error.js';
import {Command, type CommandInput, type CommandOutput} from '../command.js';
import {LogSession} from './log-session.js';

/** A team, and a session on the log, which was read to its end. */
export interface TeamSession {
  context: CliContext;
  session: LogSession;
  team: string;
}

/** Opens the log and resolves the team; subclasses implement the command. */
export abstract class TeamCommand extends Command {
  override async run(
    context: CliContext,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>> {
    const opened = await LogSession.open(context, input.flags);
    if (opened.isErr()) return opened;
    const session = opened.value;
    const team = session.options.team();
    if (team.isErr()) return team;
    return await this.runForTeam({context, session, team: team.value}, input);
  }

  protected abstract runForTeam(
    session: TeamSession,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>>;
}
