import type {ServerResponse} from 'node:http';

import {expect} from 'chai';
import {request} from 'undici';

import {CallFixture} from './call-fixture.js';

describe('maximum number of calls', () => {
  for (const entry of ['local', 'remote'] as const) {
    it(`refuses calls beyond maxCalls as not run at the ${entry} node`, async () => {
      const fixture = new CallFixture();
      const held: ServerResponse[] = [];
      let notifyArrival: () => void = () => undefined;
      const firstArrival = new Promise<void>(
        resolve => (notifyArrival = resolve),
      );
      const handler = (unused: unknown, res: ServerResponse) => {
        held.push(res);
        notifyArrival();
      };
      try {
        await fixture.start([handler], 9, {maxCalls: 1});
        const url = `${fixture.urls[entry]}/again/a`;
        const first = request(url);
        await firstArrival;
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
