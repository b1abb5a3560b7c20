/** Shares the requests of a route among the parts of its traffic split. */

import type {PrefixRoute, SplitPart} from '@turmericmill/config';

interface Rotation {
  split: readonly SplitPart[];
  /** What each part is owed, in units of weight. */
  credit: number[];
}

function sameSplit(a: readonly SplitPart[], b: readonly SplitPart[]): boolean {
  return (
    a.length === b.length &&
    a.every(
      ({service, weight}, index) =>
        service === b[index]?.service && weight === b[index]?.weight,
    )
  );
}

/**
 * Smooth weighted rotation: after any number of requests each part has had its
 * share to within one request. Load pattern: a canary with a small weight and
 * few requests at each node, where random draws would miss the share.
 */
export class SplitRotation {
  private readonly rotations = new Map<string, Rotation>();

  /** The service of the part whose turn it is. */
  next({name, split}: PrefixRoute): string {
    const only = split.length === 1 ? split[0] : undefined;
    if (only) return only.service;
    const {credit} = this.rotationOf(name, split);
    let sum = 0;
    let best = 0;
    split.forEach(({weight}, index) => {
      sum += weight;
      credit[index] = (credit[index] ?? 0) + weight;
      if ((credit[index] ?? 0) > (credit[best] ?? 0)) best = index;
    });
    credit[best] = (credit[best] ?? 0) - sum;
    return split[best]?.service ?? '';
  }

  private rotationOf(name: string, split: readonly SplitPart[]): Rotation {
    const known = this.rotations.get(name);
    if (known && sameSplit(known.split, split)) return known;
    const rotation = {split, credit: split.map(() => 0)};
    this.rotations.set(name, rotation);
    return rotation;
  }
}
