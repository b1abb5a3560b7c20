/** Distributes a route's requests among the parts of its traffic split. */

import type {PrefixRoute, SplitPart} from '@turmericmill/config';

interface Rotation {
  split: readonly SplitPart[];
  /** Accumulated credit of each part, in units of weight. */
  credit: number[];
}

function isSameSplit(
  a: readonly SplitPart[],
  b: readonly SplitPart[],
): boolean {
  return (
    a.length === b.length &&
    a.every(
      ({service, weight}, index) =>
        service === b[index]?.service && weight === b[index]?.weight,
    )
  );
}

/**
 * Smooth weighted round-robin: after any number of requests, each part is within
 * one request of its share. Load pattern: a canary with a small weight and few
 * requests per node, where random selection would miss the share.
 */
export class SplitRotation {
  private readonly rotations = new Map<string, Rotation>();

  /** Selects the service for the next request of the route. */
  next({name, split}: PrefixRoute): string {
    const singlePart = split.length === 1 ? split[0] : undefined;
    if (singlePart) return singlePart.service;
    const {credit} = this.rotationOf(name, split);
    let totalWeight = 0;
    let best = 0;
    split.forEach(({weight}, index) => {
      totalWeight += weight;
      credit[index] = (credit[index] ?? 0) + weight;
      if ((credit[index] ?? 0) > (credit[best] ?? 0)) best = index;
    });
    credit[best] = (credit[best] ?? 0) - totalWeight;
    return split[best]?.service ?? '';
  }

  private rotationOf(name: string, split: readonly SplitPart[]): Rotation {
    const existing = this.rotations.get(name);
    if (existing && isSameSplit(existing.split, split)) return existing;
    const rotation = {split, credit: split.map(() => 0)};
    this.rotations.set(name, rotation);
    return rotation;
  }
}
