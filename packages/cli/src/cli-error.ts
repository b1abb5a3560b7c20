/** Why a command failed. */

import type {Finding} from '@turmericmill/utils';

import type {ExitName} from './exit-code.js';

/** A failed command: its exit and what to tell the operator. */
export interface CliError {
  exit: Exclude<ExitName, 'ok'>;
  message: string;
  /** Problems of the input, with their places. */
  findings?: Finding[];
}
