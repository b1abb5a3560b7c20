import {expect} from 'chai';

import {offerStages, type OfferTerms} from '../../src/index.js';

describe('offerStages', () => {
  const cases: {title: string; terms: OfferTerms; stages: string[]}[] = [
    {
      title: 'a small answer',
      terms: {crossingMs: 250, maxLatenessMs: 400},
      stages: ['any on time', 'any late'],
    },
    {
      title: 'a large answer',
      terms: {crossingMs: 4500, maxLatenessMs: 1100},
      stages: ['near on time', 'near late', 'any late at once'],
    },
  ];
  for (const {title, terms, stages} of cases) {
    it(`offers ${title}: ${stages.join(', ')}`, () => {
      const texts = offerStages(terms).map(
        ({nearOnly, acceptsLate, mayWait}) =>
          `${nearOnly ? 'near' : 'any'} ${acceptsLate ? 'late' : 'on time'}` +
          (mayWait ? '' : ' at once'),
      );
      expect(texts).to.deep.equal(stages);
    });
  }
});
