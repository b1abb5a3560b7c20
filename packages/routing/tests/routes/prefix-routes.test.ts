import type {PrefixRoute} from '@turmericmill/config';
import {expect} from 'chai';

import {PrefixRoutes} from '../../src/index.js';

function route(name: string, host: string, pathPrefix: string): PrefixRoute {
  return {
    name,
    host,
    pathPrefix,
    kind: 'safe',
    timeoutMs: 800,
    targetLatencyMs: 400,
    rank: 1,
    maxAttempts: 2,
    split: [{service: 'desk', weight: 1}],
  };
}

const ROUTES = new PrefixRoutes([
  route('root', 'a.example', '/'),
  route('shop', 'a.example', '/shop/'),
  route('cart', 'a.example', '/shop/cart/'),
  route('other', 'b.example', '/shop/'),
]);

const CASES: [host: string, target: string, name: string | undefined][] = [
  ['a.example', '/shop/x', 'shop'],
  ['a.example', '/shop/cart/x', 'cart'],
  ['a.example', '/shop/cart', 'shop'],
  ['a.example', '/shop', 'root'],
  ['a.example', '/shopping/x', 'root'],
  ['a.example', '/shop/?q=/cart/', 'shop'],
  ['A.Example:8080', '/shop/x', 'shop'],
  ['b.example', '/shop/x', 'other'],
  ['b.example', '/', undefined],
  ['c.example', '/shop/x', undefined],
  ['', '/shop/x', undefined],
];

describe('PrefixRoutes', () => {
  for (const [host, target, name] of CASES) {
    it(`matches ${host}${target} with ${name ?? 'no route'}`, () => {
      expect(ROUTES.match(host, target)?.name).to.equal(name);
    });
  }
});
