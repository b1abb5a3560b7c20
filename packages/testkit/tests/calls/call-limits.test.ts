import type {ServerResponse} from 'node:http';

import {expect} from 'chai';
import {request} from 'undici';

import {CallFixture} from './call-fixture.js';

describe('limits of callers', () => {
  for (const place of ['local', 'remote'] as const) {
    it(`refuses calls beyond maxCalls as not run, ${place}`, async () => {
      const fixture = new CallFixture();
      const held: ServerResponse[] = [];
      let arrived: () => void = () => undefined;
      const isHeld = new Promise<void>(resolve => (arrived = resolve));
      const handler = (unused: unknown, res: ServerResponse) => {
        held.push(res);
        arrived();
      };
      try {
        await fixture.start([handler], 9, {maxCalls: 1});
        const url = `${fixture.urls[place]}/again/a`;
        const first = request(url);
        await isHeld;
        const second = await request(url);
        expect(second.statusCode).to.equal(503);
        expect(second.headers).to.include({
          'x-turmericmill-outcome': 'not-run',
          'x-turmericmill-reason': 'overload',
        });
        await second.body.dump();
        held[0]?.end('first');
        expect(await (await first).body.text()).to.equal('first');
        expect(held).to.have.length(1);
      } finally {
        await fixture.stop();
      }
    });
  }
});
