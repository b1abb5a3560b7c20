/** Renders help texts. */

import type {Command, FlagSpec} from '../command.js';
import {EXITS} from '../exit-code.js';
import {COMMON_FLAGS, flagName} from '../parse-command-line.js';

const PROGRAM = 'turmericmill';

/** Returns the help text of the program. */
export function renderProgramHelp(commands: readonly Command[]): string {
  return [
    `Usage: ${PROGRAM} COMMAND [ARGUMENTS] [FLAGS]`,
    '',
    'Publishes configuration to the mesh and watches it take effect.',
    '',
    'Commands:',
    ...renderColumns(commands.map(({name, summary}) => [name, summary])),
    '',
    `See ${PROGRAM} COMMAND --help for flags and examples.`,
    '',
    ...renderExitCodes(),
  ].join('\n');
}

/** Returns the help text of one command. */
export function renderCommandHelp(command: Command): string {
  const flags = Object.entries({...command.flags, ...COMMON_FLAGS});
  const words = [PROGRAM, command.name, ...command.args, '[FLAGS]'];
  return [
    `Usage: ${words.join(' ')}`,
    '',
    `${command.summary.charAt(0).toUpperCase()}${command.summary.slice(1)}.`,
    '',
    'Flags:',
    ...renderColumns(flags.map(([name, spec]) => renderFlag(name, spec))),
    '',
    'Examples:',
    ...command.examples.map(example => `  ${PROGRAM} ${example}`),
    '',
    ...renderExitCodes(),
  ].join('\n');
}

function renderFlag(name: string, spec: FlagSpec): [string, string] {
  const value = spec.value === undefined ? '' : ` ${spec.value}`;
  const notes = [
    spec.isRequired ? 'required' : '',
    spec.isMultiple ? 'may be repeated' : '',
  ].filter(note => note !== '');
  const suffix = notes.length > 0 ? ` [${notes.join(', ')}]` : '';
  return [`${flagName(name)}${value}`, `${spec.summary}${suffix}`];
}

function renderExitCodes(): string[] {
  const rows = Object.values(EXITS).map(({code, meaning}): [string, string] => [
    String(code),
    meaning,
  ]);
  return ['Exit codes:', ...renderColumns(rows)];
}

function renderColumns(rows: readonly (readonly [string, string])[]) {
  const width = Math.max(...rows.map(([left]) => left.length)) + 2;
  return rows.map(([left, right]) => `  ${left.padEnd(width)}${right}`);
}
