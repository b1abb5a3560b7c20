/** Base class of commands, and the types of their flags and results. */

import type {Result} from '@turmericmill/utils';

import type {CliContext} from './cli-context.js';
import type {CliError} from './cli-error.js';

/** A flag of a command. */
export interface FlagSpec {
  type: 'string' | 'boolean' | 'number';
  summary: string;
  /** Name of the value in the help text. */
  value?: string;
  /** Whether the flag may be repeated. */
  isMultiple?: boolean;
  /** Whether the command line is refused without the flag. */
  isRequired?: boolean;
}

/** Flags by name in camel case. */
export type FlagSpecs = Readonly<Record<string, FlagSpec>>;

/** Values of flags that were validated against their specs. */
export class FlagValues {
  constructor(private readonly values: Readonly<Record<string, unknown>>) {}

  text(name: string): string | undefined {
    const value = this.values[name];
    return typeof value === 'string' ? value : undefined;
  }

  texts(name: string): string[] {
    const value = this.values[name];
    return Array.isArray(value) ? value.map(String) : [];
  }

  number(name: string): number | undefined {
    const value = this.values[name];
    return typeof value === 'number' ? value : undefined;
  }

  isSet(name: string): boolean {
    return this.values[name] === true;
  }
}

/** Result of a command: `value` is printed with `--json`, else `text`. */
export interface CommandOutput {
  value: unknown;
  text: string;
}

/** Parsed arguments and flags of a command. */
export interface CommandInput {
  args: readonly string[];
  flags: FlagValues;
}

/** Base class of all commands, each of which has its own file. */
export abstract class Command {
  abstract readonly name: string;
  abstract readonly summary: string;
  /**
   * Names of the positional arguments. Optional ones are in brackets. An
   * ellipsis marks a last argument that may be repeated.
   */
  readonly args: readonly string[] = [];
  readonly flags: FlagSpecs = {};
  /** Command lines for the help text, without the program's name. */
  abstract readonly examples: readonly string[];

  abstract run(
    context: CliContext,
    input: CommandInput,
  ): Promise<Result<CommandOutput, CliError>>;
}
