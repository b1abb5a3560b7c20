import {createSocket} from 'node:dgram';

import {expect} from 'chai';

import {parseGauge} from '../../src/metrics-service/gauge-line.js';
import {MetricsService} from '../../src/index.js';

describe('parseGauge', () => {
  const cases: [string, object | undefined][] = [
    ['a.b:7|g', {name: 'a.b', value: 7, tags: {}}],
    [
      'a:-1.5|g|#node:n-1,dataCentre:x',
      {
        name: 'a',
        value: -1.5,
        tags: {node: 'n-1', dataCentre: 'x'},
      },
    ],
    ['a:1|c', undefined],
    ['a', undefined],
    ['', undefined],
  ];
  for (const [line, gauge] of cases) {
    it(`parses ${JSON.stringify(line)}`, () => {
      expect(parseGauge(line)).to.deep.equal(gauge);
    });
  }
});

describe('MetricsService', () => {
  it('keeps the newest value of each node', async () => {
    const service = new MetricsService();
    const port = await service.start();
    const socket = createSocket('udp4');
    for (const line of ['a:1|g|#node:x', 'a:2|g|#node:y\na:3|g|#node:x']) {
      await new Promise(resolve => {
        socket.send(line, port, '127.0.0.1', resolve);
      });
    }
    while (service.valuesOf('a').get('x') !== 3) {
      await new Promise(resolve => setImmediate(resolve));
    }
    expect([...service.valuesOf('a')]).to.deep.equal([
      ['x', 3],
      ['y', 2],
    ]);
    socket.close();
    await service.stop();
  });
});
