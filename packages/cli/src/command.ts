/** What a command of the command line is. */

import type {Result} from '@turmericmill/utils';

import type {CliContext} from './cli-context.js';
import type {CliError} from './cli-error.js';

/** A flag of a command. */
export interface FlagSpec {
  type: 'string' | 'boolean' | 'number';
  summary: string;
  /** Name of the value in the help text. */
  value?: string;
  /** May be given several times. */
  isMultiple?: boolean;
  /** The command is refused without it. */
  isRequired?: boolean;
}

/** Flags by their name in camel case. */
export type FlagSpecs = Readonly<Record<string, FlagSpec>>;

/** Values of flags after the check against their specs. */
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

/** What a command prints: JSON with `--json`, the text otherwise. */
export interface CommandOutput {
  value: unknown;
  text: string;
}

/** What the command line gives to a command. */
export interface CommandInput {
  args: readonly string[];
  flags: FlagValues;
}

/** A command. One file each. */
export abstract class Command {
  abstract readonly name: string;
  abstract readonly summary: string;
  /**
   * Names of the positional arguments; optional ones in brackets, and with an
   * ellipsis a last one that may be given several times.
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
