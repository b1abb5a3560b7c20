/** Suggestions for unknown names. */

import {closest, distance} from 'fastest-levenshtein';

/** Maximum edit distance between a name and its suggestion. */
const MAX_SUGGESTION_DISTANCE = 4;

/** Returns the closest known name; undefined if none is close enough. */
export function suggestName(
  name: string,
  knownNames: readonly string[],
): string | undefined {
  if (knownNames.length === 0) return undefined;
  const suggestion = closest(name, knownNames);
  if (distance(name, suggestion) > MAX_SUGGESTION_DISTANCE) return undefined;
  return suggestion;
}
