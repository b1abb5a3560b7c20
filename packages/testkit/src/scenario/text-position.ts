/** Converts character offsets into line and column numbers. */

/** Returns the 1-based line and column of the character at `offset`. */
export function findPosition(
  text: string,
  offset: number,
): {line: number; column: number} {
  const before = text.slice(0, offset).split('\n');
  return {line: before.length, column: (before.at(-1)?.length ?? 0) + 1};
}
