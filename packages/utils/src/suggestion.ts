/** Suggestions for names that are not known. */

import {closest, distance} from 'fastest-levenshtein';

/** Largest edit distance at which a known name is offered as a suggestion. */
const MAX_SUGGESTION_DISTANCE = 4;

/** The known name that was probably meant, or undefined when none is near. */
export function suggestName(
  name: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0) return undefined;
  const suggestion = closest(name, known);
  if (distance(name, suggestion) > MAX_SUGGESTION_DISTANCE) return undefined;
  return suggestion;
}
