/** The error of a command that failed. */

import type {Finding} from '@turmericmill/utils';

import type {ExitName} from './exit-code.js';

/** The exit of a failed command and the message for the operator. */
export interface CliError {
  exit: Exclude<ExitName, 'ok'>;
  message: string;
  /** Problems in the input, with their places. */
  findings?: Finding[];
}
