import {expect} from 'chai';

import {offerStages, type OfferTerms} from '../../src/index.js';

describe('offerStages', () => {
  const cases: {title: string; terms: OfferTerms; stages: string[]}[] = [
    {
      title: 'a small answer',
      terms: {crossingMs: 250, slackMs: 400, isLate: false},
      stages: ['any on time', 'any late'],
    },
    {
      title: 'a small answer to a caller whose target has passed',
      terms: {crossingMs: 250, slackMs: 400, isLate: true},
      stages: ['any late'],
    },
    {
      title: 'a large answer',
      terms: {crossingMs: 4500, slackMs: 1100, isLate: false},
      stages: ['near on time', 'near late', 'any late at once'],
    },
    {
      title: 'a large answer to a caller whose target has passed',
      terms: {crossingMs: 4500, slackMs: 1100, isLate: true},
      stages: ['near late', 'any late at once'],
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
