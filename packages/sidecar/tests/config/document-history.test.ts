import {expect} from 'chai';

import {DocumentHistory} from '../../src/config/document-history.js';
import {applyChange, decompress} from '../../src/config/document-transfer.js';
import {publishedDocument} from './published-document.js';

/** Most versions that are kept. */
const KEPT = 16;

describe('document history', () => {
  function historyOf(versions: readonly number[], routes = 300) {
    const history = new DocumentHistory();
    for (const version of versions) {
      history.add(version, publishedDocument(version, routes));
    }
    return history;
  }

  it('has nothing for a node without a document or with the newest', () => {
    expect(new DocumentHistory().contentFor(0)).to.deep.equal({});
    expect(historyOf([3, 5]).contentFor(5)).to.deep.equal({});
  });

  for (const have of [3, 5, 9]) {
    it(`changes version ${have} to the newest`, () => {
      const {change} = historyOf([3, 5, 9, 11]).contentFor(have);
      const base = publishedDocument(have);
      const result = applyChange(base, change!).unwrap();
      expect(Buffer.from(result).equals(publishedDocument(11))).to.equal(true);
    });
  }

  for (const have of [0, 4, 12]) {
    it(`sends the whole document to a node with version ${have}`, () => {
      const {document} = historyOf([3, 5, 11]).contentFor(have);
      const result = decompress(document!).unwrap();
      expect(Buffer.from(result).equals(publishedDocument(11))).to.equal(true);
    });
  }

  it('creates a change once for all nodes', () => {
    const history = historyOf([3, 5]);
    expect(history.contentFor(3).change).to.equal(history.contentFor(3).change);
  });

  it('keeps a limited number of versions', () => {
    const versions = Array.from({length: KEPT + 1}, (unused, i) => i + 1);
    const history = historyOf(versions, 1);
    expect(history.contentFor(1)).to.have.property('document');
    expect(history.contentFor(2)).to.have.property('change');
  });

  it('keeps a limited number of bytes, and always the newest', () => {
    const history = new DocumentHistory();
    const bytes = 3 * 1024 * 1024;
    for (const version of [1, 2, 3]) {
      history.add(version, Buffer.alloc(bytes, version));
    }
    expect(history.contentFor(1)).to.have.property('document');
    expect(history.contentFor(2)).to.have.property('change');
  });
});
