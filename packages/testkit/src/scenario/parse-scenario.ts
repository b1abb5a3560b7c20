/** Parses scenario files. */

import {Err, Ok, type Finding, type Result} from '@turmericmill/utils';

import {GRAMMAR, SEMANTICS} from './scenario-semantics.js';
import type {ScenarioStep} from './scenario-step.js';
import {findPosition} from './text-position.js';

/** Parses the text of a scenario; a syntax error becomes one finding. */
export function parseScenario(
  file: string,
  text: string,
): Result<ScenarioStep[], Finding[]> {
  const match = GRAMMAR.match(text);
  if (match.failed()) {
    const place = {
      file,
      ...findPosition(text, match.getRightmostFailurePosition()),
    };
    const message = match.shortMessage;
    return Err([{code: 'malformed-scenario', message, place}]);
  }
  return Ok(SEMANTICS(match)['steps']() as ScenarioStep[]);
}
