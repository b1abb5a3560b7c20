/** Runs one command line and returns its exit code. */

import {formatFinding} from '@turmericmill/utils';

import type {CliContext} from './cli-context.js';
import type {CliError} from './cli-error.js';
import type {Command} from './command.js';
import {COMMANDS} from './commands/index.js';
import {EXITS, type ExitName} from './exit-code.js';
import {renderCommandHelp, renderProgramHelp} from './output/help.js';
import {parseCommandLine} from './parse-command-line.js';
import {VERSION} from './version.js';

/** Runs `argv`, which does not include the name of the program. */
export async function runCli(
  argv: readonly string[],
  context: CliContext,
): Promise<number> {
  const exit = await runCommandLine(argv, context);
  return EXITS[exit].code;
}

async function runCommandLine(
  argv: readonly string[],
  context: CliContext,
): Promise<ExitName> {
  const [name, ...rest] = argv;
  if (name === undefined || name === '--help' || name === 'help') {
    context.writer.out(renderProgramHelp(COMMANDS));
    return name === undefined ? 'usage' : 'ok';
  }
  if (name === '--version') {
    context.writer.out(VERSION);
    return 'ok';
  }
  const command = COMMANDS.find(candidate => candidate.name === name);
  if (command) return runCommand(command, rest, context);
  const names = COMMANDS.map(candidate => candidate.name).join(', ');
  const message = `Unknown command "${name}". Commands: ${names}.`;
  return reportError(context, {exit: 'usage', message});
}

async function runCommand(
  command: Command,
  argv: readonly string[],
  context: CliContext,
): Promise<ExitName> {
  const parsed = parseCommandLine(command, argv);
  if (parsed.isErr()) return reportError(context, parsed.error);
  const input = parsed.value;
  if (input.flags.isSet('help')) {
    context.writer.out(renderCommandHelp(command));
    return 'ok';
  }
  const result = await command.run(context, input);
  const isJson = input.flags.isSet('json');
  if (result.isErr()) return reportError(context, result.error, isJson);
  const {value, text} = result.value;
  context.writer.out(isJson ? JSON.stringify(value, null, 2) : text);
  return 'ok';
}

/** Writes an error to the error stream and, with `--json`, to the output. */
function reportError(
  context: CliContext,
  err: CliError,
  isJson = false,
): ExitName {
  for (const finding of err.findings ?? []) {
    context.writer.err(formatFinding(finding));
  }
  context.writer.err(err.message);
  if (isJson) context.writer.out(JSON.stringify({error: err}, null, 2));
  return err.exit;
}
