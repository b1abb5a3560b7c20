import {expect} from 'chai';

import {ServiceTimes} from '../../src/index.js';

describe('ServiceTimes', () => {
  it('does not take one long first call for the mean', () => {
    const times = new ServiceTimes();
    times.record('read', 1_100);
    expect(times.meanMs('read')).to.equal(600);
    for (let i = 0; i < 9; i++) times.record('read', 100);
    expect(times.meanMs('read')).to.be.below(200);
  });

  it('follows a server that has become slow', () => {
    const times = new ServiceTimes();
    for (let i = 0; i < 50; i++) times.record('read', 100);
    for (let i = 0; i < 15; i++) times.record('read', 500);
    expect(times.meanMs('read')).to.be.above(400);
  });

  it('expects the mean of the other classes for a new class', () => {
    const times = new ServiceTimes();
    for (let i = 0; i < 50; i++) times.record('read', 40);
    expect(times.meanMs('post')).to.be.within(40, 45);
    expect(times.measuredMs('post')).to.equal(undefined);
  });
});
