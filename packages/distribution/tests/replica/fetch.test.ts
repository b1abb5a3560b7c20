import {expect} from 'chai';

import {SeededRandom} from '@turmericmill/utils';

import {
  FetchServer,
  MAX_CONCURRENT_FETCHES,
} from '../../src/replica/fetch-server.js';
import {Fetcher, FETCH_TIMEOUT_MS} from '../../src/replica/fetcher.js';

describe('Fetcher', () => {
  it('asks one peer at a time and another when it stays silent', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.offer('a', 5, 0);
    fetcher.offer('b', 5, 0);
    const first = fetcher.poll(4, 0)!;
    expect(fetcher.poll(4, 1)).to.equal(undefined);
    expect(fetcher.poll(4, FETCH_TIMEOUT_MS)).to.equal(undefined);
    const retryMs = fetcher.nextDeadlineMs();
    const second = fetcher.poll(4, retryMs)!;
    expect([first, second].sort()).to.deep.equal(['a', 'b']);
  });

  it('asks nobody for what it has', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.offer('a', 5, 0);
    fetcher.reached(5);
    expect(fetcher.poll(5, 10)).to.equal(undefined);
    expect(fetcher.nextDeadlineMs()).to.equal(Infinity);
  });

  it('leaves a busy peer alone for as long as it asked', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.offer('a', 5, 0);
    expect(fetcher.poll(4, 0)).to.equal('a');
    fetcher.busy('a', 3000, 1);
    for (let now = 2; now < 3001; now += 50) {
      expect(fetcher.poll(4, now)).to.equal(undefined);
    }
    expect(fetcher.poll(4, 3001)).to.equal('a');
  });

  it('gives a fetch time while parts of it arrive', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.offer('a', 5, 0);
    fetcher.poll(4, 0);
    fetcher.progress('a', FETCH_TIMEOUT_MS - 1);
    fetcher.poll(4, FETCH_TIMEOUT_MS + 1);
    expect(fetcher.activePeer).to.equal('a');
  });
});

describe('FetchServer', () => {
  it('serves a bounded number of fetches at once', () => {
    const server = new FetchServer(new SeededRandom(1));
    for (let i = 0; i < MAX_CONCURRENT_FETCHES; i++) {
      expect(server.delayMs(0)).to.equal(0);
      server.begin(4_000_000, 0);
    }
    const delayMs = server.delayMs(0);
    expect(delayMs).to.be.greaterThan(0);
    expect(server.delayMs(delayMs)).to.equal(0);
  });
});
