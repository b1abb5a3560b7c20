/** Max-min fair division of whole rights. */

/**
 * Divides `available` among the demands: the least demands are met in full, and
 * the others get equal parts. Rights that do not divide evenly go, one each, to
 * the demands from index `first` on, so that callers can rotate them.
 */
export function divideFairly(
  demands: readonly number[],
  available: number,
  first = 0,
): number[] {
  const total = demands.reduce((sum, demand) => sum + demand, 0);
  if (total <= available) return [...demands];
  const granted = demands.map(() => 0);
  const ascending = [...demands.keys()].sort(
    (a, b) => (demands[a] ?? 0) - (demands[b] ?? 0),
  );
  let left = available;
  let level = 0;
  for (const [position, index] of ascending.entries()) {
    const equal = Math.floor(left / (demands.length - position));
    const demand = demands[index] ?? 0;
    if (demand > equal) {
      level = equal;
      for (const other of ascending.slice(position)) granted[other] = level;
      left -= level * (demands.length - position);
      break;
    }
    granted[index] = demand;
    left -= demand;
  }
  for (let step = 0; step < demands.length && left > 0; step++) {
    const index = (first + step) % demands.length;
    if ((demands[index] ?? 0) <= (granted[index] ?? 0)) continue;
    granted[index] = (granted[index] ?? 0) + 1;
    left--;
  }
  return granted;
}
