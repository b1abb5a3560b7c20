import {expect} from 'chai';

import {SeededRandom} from '@turmericmill/utils';

import {
  FetchLimiter,
  MAX_CONCURRENT_FETCHES,
} from '../../src/replica/fetch-limiter.js';
import {Fetcher, FETCH_TIMEOUT_MS} from '../../src/replica/fetcher.js';

describe('Fetcher', () => {
  it('fetches from one peer at a time, and from another after a timeout', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.addSource('a', 5, 0);
    fetcher.addSource('b', 5, 0);
    const first = fetcher.poll(4, 0)!;
    expect(fetcher.poll(4, 1)).to.equal(undefined);
    expect(fetcher.poll(4, FETCH_TIMEOUT_MS)).to.equal(undefined);
    const retryMs = fetcher.nextDeadlineMs();
    const second = fetcher.poll(4, retryMs)!;
    expect([first, second].sort()).to.deep.equal(['a', 'b']);
  });

  it('does not fetch a version that was reached', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.addSource('a', 5, 0);
    fetcher.onVersionReached(5);
    expect(fetcher.poll(5, 10)).to.equal(undefined);
    expect(fetcher.nextDeadlineMs()).to.equal(Infinity);
  });

  it('does not fetch from a busy peer before its retry time', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.addSource('a', 5, 0);
    expect(fetcher.poll(4, 0)).to.equal('a');
    fetcher.onBusy('a', 3000, 1);
    for (let nowMs = 2; nowMs < 3001; nowMs += 50) {
      expect(fetcher.poll(4, nowMs)).to.equal(undefined);
    }
    expect(fetcher.poll(4, 3001)).to.equal('a');
  });

  it('extends the timeout of a fetch when a part arrives', () => {
    const fetcher = new Fetcher(new SeededRandom(1));
    fetcher.addSource('a', 5, 0);
    fetcher.poll(4, 0);
    fetcher.recordProgress('a', FETCH_TIMEOUT_MS - 1);
    fetcher.poll(4, FETCH_TIMEOUT_MS + 1);
    expect(fetcher.activePeer).to.equal('a');
  });
});

describe('FetchLimiter', () => {
  it('limits the number of concurrent fetches', () => {
    const limiter = new FetchLimiter(new SeededRandom(1));
    for (let i = 0; i < MAX_CONCURRENT_FETCHES; i++) {
      expect(limiter.retryAfterMs(0)).to.equal(0);
      limiter.recordTransfer(4_000_000, 0);
    }
    const delayMs = limiter.retryAfterMs(0);
    expect(delayMs).to.be.greaterThan(0);
    expect(limiter.retryAfterMs(delayMs)).to.equal(0);
  });
});
