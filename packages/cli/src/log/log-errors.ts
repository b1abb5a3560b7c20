/** Converts errors of the log service to errors of a command. */

import type {LogError} from '@turmericmill/platform';

import type {CliError} from '../cli-error.js';

/** Returns the command error for a failed call to the log service. */
export function toCliError({code, message, bounds}: LogError): CliError {
  switch (code) {
    case 'trimmed': {
      const earliest = bounds?.earliest ?? 'unknown';
      return {
        exit: 'unreachable',
        message: `The log holds no records before offset ${earliest}.`,
      };
    }
    case 'too-large':
    case 'refused':
      return {
        exit: 'refused',
        message: `The log service refused the request: ${message}`,
      };
    case 'unavailable':
    case 'outcome-unknown':
      return {
        exit: 'unreachable',
        message: `The log service was not reached: ${message}`,
      };
  }
}
