/** Parses the arguments of one command and validates them. */

import meow from 'meow';

import {Err, Ok, type Result} from '@turmericmill/utils';

import type {CliError} from './cli-error.js';
import {
  FlagValues,
  type Command,
  type CommandInput,
  type FlagSpecs,
} from './command.js';

/** Flags that every command accepts. */
export const COMMON_FLAGS: FlagSpecs = {
  profile: {
    type: 'string',
    value: 'FILE',
    summary: 'JSON file with usual flags (TURMERICMILL_PROFILE)',
  },
  json: {type: 'boolean', summary: 'print the result as JSON'},
  help: {type: 'boolean', summary: 'show this text'},
};

/** Suffix of the name of an argument that may be repeated. */
const REPEATED_SUFFIX = '...';

/** Converts a name to the flag as written: `logToken` to `--log-token`. */
export function flagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Parses `argv`, which does not include the name of the command. */
export function parseCommandLine(
  command: Command,
  argv: readonly string[],
): Result<CommandInput, CliError> {
  const specs = {...COMMON_FLAGS, ...command.flags};
  const {input, flags} = parse(specs, argv);
  const values = new FlagValues(flags);
  if (values.isSet('help')) return Ok({args: input, flags: values});
  const errors = [
    ...findArgumentErrors(command, input),
    ...findFlagErrors(specs, flags),
  ];
  if (errors.length === 0) return Ok({args: input, flags: values});
  const hint = `See turmericmill ${command.name} --help.`;
  return Err({exit: 'usage', message: [...errors, hint].join('\n')});
}

function parse(
  specs: FlagSpecs,
  argv: readonly string[],
): {input: string[]; flags: Record<string, unknown>} {
  const flags = Object.entries(specs).map(
    ([name, {type, isMultiple}]) =>
      [name, isMultiple ? {type, isMultiple} : {type}] as const,
  );
  const {input, flags: values} = meow({
    importMeta: import.meta,
    argv: [...argv],
    flags: Object.fromEntries(flags) as Record<string, {type: 'string'}>,
    autoHelp: false,
    autoVersion: false,
  });
  return {input, flags: values};
}

function findArgumentErrors(
  command: Command,
  input: readonly string[],
): string[] {
  const required = command.args.filter(arg => !arg.startsWith('['));
  if (input.length < required.length) {
    return [`Missing argument ${required[input.length] ?? ''}.`];
  }
  if (command.args.at(-1)?.endsWith(REPEATED_SUFFIX)) return [];
  const surplus = input.slice(command.args.length);
  return surplus.map(arg => `Unexpected argument "${arg}".`);
}

function findFlagErrors(
  specs: FlagSpecs,
  flags: Record<string, unknown>,
): string[] {
  const unknownFlagErrors = Object.keys(flags)
    .filter(name => !(name in specs))
    .map(name => `Unknown flag ${flagName(name)}.`);
  const knownFlagErrors = Object.entries(specs).flatMap(([name, spec]) => {
    const value = flags[name];
    if (value === undefined) {
      return spec.isRequired ? [`Missing flag ${flagName(name)}.`] : [];
    }
    const isNumber = typeof value === 'number' && Number.isFinite(value);
    if (spec.type === 'number' && !isNumber) {
      return [`${flagName(name)} wants a number.`];
    }
    return value === '' ? [`${flagName(name)} wants a value.`] : [];
  });
  return [...unknownFlagErrors, ...knownFlagErrors];
}
