/** Random choice with weights. */

import type {RandomSource} from '@turmericmill/utils';

/** Up to `count` different items; heavier ones are drawn more often. */
export function weightedSample<T>(
  items: readonly T[],
  weightOf: (item: T) => number,
  count: number,
  random: RandomSource,
): T[] {
  if (items.length <= count) return [...items];
  const pool = items.map(item => ({item, weight: weightOf(item)}));
  const chosen: T[] = [];
  let total = pool.reduce((sum, {weight}) => sum + weight, 0);
  while (chosen.length < count) {
    let rest = random.next() * total;
    let index = 0;
    for (; index < pool.length - 1; index++) {
      rest -= pool[index]?.weight ?? 0;
      if (rest < 0) break;
    }
    const [drawn] = pool.splice(index, 1);
    if (!drawn) break;
    total -= drawn.weight;
    chosen.push(drawn.item);
  }
  return chosen;
}
