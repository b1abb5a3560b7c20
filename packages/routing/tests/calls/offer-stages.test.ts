import {expect} from 'chai';

import {offerStages, type OfferTerms} from '../../src/index.js';

describe('offerStages', () => {
  const cases: {title: string; terms: OfferTerms; stages: string[]}[] = [
    {
      title: 'a small answer',
      terms: {transferCostMs: 250, maxLatenessMs: 400},
      stages: ['any on time', 'any late'],
    },
    {
      title: 'a large answer',
      terms: {transferCostMs: 4500, maxLatenessMs: 1100},
      stages: ['local on time', 'local late', 'any late without waiting'],
    },
  ];
  for (const {title, terms, stages} of cases) {
    it(`offers a request with ${title}: ${stages.join(', ')}`, () => {
      const texts = offerStages(terms).map(
        ({localOnly, acceptsLate, mayWait}) =>
          `${localOnly ? 'local' : 'any'} ${acceptsLate ? 'late' : 'on time'}` +
          (mayWait ? '' : ' without waiting'),
      );
      expect(texts).to.deep.equal(stages);
    });
  }
});
