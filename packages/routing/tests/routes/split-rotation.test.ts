import type {PrefixRoute, SplitPart} from '@turmericmill/config';
import {expect} from 'chai';

import {SplitRotation} from '../../src/index.js';

function route(split: SplitPart[]): PrefixRoute {
  return {
    name: 'r-1',
    host: 'a.example',
    pathPrefix: '/',
    kind: 'safe',
    timeoutMs: 800,
    targetLatencyMs: 400,
    rank: 1,
    maxAttempts: 2,
    split,
  };
}

function share(rotation: SplitRotation, split: SplitPart[], requests: number) {
  const counts: Record<string, number> = {};
  for (let i = 0; i < requests; i++) {
    const service = rotation.next(route(split));
    counts[service] = (counts[service] ?? 0) + 1;
  }
  return counts;
}

describe('SplitRotation', () => {
  it('keeps each part within one request of its share', () => {
    const split = [
      {service: 'a', weight: 90},
      {service: 'b', weight: 10},
    ];
    const rotation = new SplitRotation();
    for (let requests = 1; requests <= 40; requests++) {
      const {b = 0} = share(new SplitRotation(), split, requests);
      expect(Math.abs(b - requests / 10)).to.be.at.most(1);
    }
    expect(share(rotation, split, 20)).to.deep.equal({a: 18, b: 2});
  });

  it('sends nothing to a part without weight', () => {
    const split = [
      {service: 'a', weight: 0},
      {service: 'b', weight: 5},
    ];
    expect(share(new SplitRotation(), split, 10)).to.deep.equal({b: 10});
  });

  it('restarts the rotation when the weights change', () => {
    const rotation = new SplitRotation();
    const before = [
      {service: 'a', weight: 1},
      {service: 'b', weight: 1},
    ];
    share(rotation, before, 7);
    const after = [
      {service: 'a', weight: 3},
      {service: 'b', weight: 1},
    ];
    expect(share(rotation, after, 8)).to.deep.equal({a: 6, b: 2});
  });
});
