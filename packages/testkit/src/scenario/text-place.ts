/** Positions in texts. */

/** Line and column, counted from 1, of the character at `offset`. */
export function placeAt(
  text: string,
  offset: number,
): {line: number; column: number} {
  const before = text.slice(0, offset).split('\n');
  return {line: before.length, column: (before.at(-1)?.length ?? 0) + 1};
}
