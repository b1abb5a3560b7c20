import {expect} from 'chai';

import {createRequest, mayRequest} from '../../src/config/document-request.js';

const CONFIG_IN_FORCE_MS = 2_500;
const REQUESTED_MS = 1_000;

describe('document request', () => {
  const last = createRequest('n-1', CONFIG_IN_FORCE_MS, REQUESTED_MS);

  it('is sent if none was sent before', () => {
    expect(mayRequest(undefined, REQUESTED_MS)).to.equal(true);
  });

  /** Times in ms since the last request. */
  const cases: [number, boolean][] = [
    [0, false],
    [300, false],
    [499, false],
    [500, true],
    [2_000, true],
  ];
  for (const [ms, isAllowed] of cases) {
    it(`${isAllowed ? 'is' : 'is not'} repeated after ${ms} ms`, () => {
      expect(mayRequest(last, REQUESTED_MS + ms)).to.equal(isAllowed);
    });
  }

  it('leaves time for another peer within the bound', () => {
    const secondMs = last.deadlineMs - REQUESTED_MS;
    expect(2 * secondMs).to.be.below(CONFIG_IN_FORCE_MS / 2);
  });
});
