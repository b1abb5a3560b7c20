/** Failures of the log service as ends of a command. */

import type {LogError} from '@turmericmill/platform';

import type {CliError} from '../cli-error.js';

/** The error that ends a command when the log failed. */
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
      return {exit: 'refused', message: `The log refused: ${message}`};
    case 'unavailable':
    case 'outcome-unknown':
      return {
        exit: 'unreachable',
        message: `The log service was not reached: ${message}`,
      };
  }
}
