import {expect} from 'chai';

import {DocumentHistory} from '../../src/config/document-history.js';
import {
  applyChange,
  applyChanges,
  decompress,
} from '../../src/config/document-transfer.js';
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

  describe('for all nodes', () => {
    /** Content for all nodes of the last of a series of versions. */
    function contentAfter(versions: readonly number[], routes: number[] = []) {
      const history = new DocumentHistory();
      let content = {};
      for (const [index, version] of versions.entries()) {
        history.add(version, publishedDocument(version, routes[index] ?? 300));
        content = history.contentForAll(versions[index - 1] ?? 0);
      }
      return content as ReturnType<DocumentHistory['contentForAll']>;
    }

    it('has the small changes before the last, in order', () => {
      const {change, earlierChanges} = contentAfter([3, 5, 9, 11]);
      expect(change?.baseVersion).to.equal(9);
      expect(earlierChanges?.map(one => one.baseVersion)).to.deep.equal([3, 5]);
      const changes = [...earlierChanges!, change!];
      const result = applyChanges(publishedDocument(3), changes).unwrap();
      expect(Buffer.from(result).equals(publishedDocument(11))).to.equal(true);
    });

    it('has a limited number of bytes of earlier changes', () => {
      const versions = Array.from({length: 16}, (unused, i) => i + 1);
      const {earlierChanges = []} = contentAfter(versions);
      const bytes = earlierChanges.reduce((sum, o) => sum + o.delta.length, 0);
      expect(bytes).to.be.within(1, 512);
    });

    it('leaves out a large change, and all before it', () => {
      const content = contentAfter([3, 5, 9, 11], [300, 310, 1_000, 1_001]);
      expect(content.change?.baseVersion).to.equal(9);
      expect(content).to.not.have.property('earlierChanges');
    });

    // Guards against an endless search for the changes before it.
    it('leaves out a received change whose base is no earlier version', () => {
      const history = historyOf([3]);
      const change = {baseVersion: 5, delta: Buffer.alloc(0)};
      history.add(5, publishedDocument(5), change);
      history.add(9, publishedDocument(9));
      expect(history.contentForAll(5)).to.not.have.property('earlierChanges');
    });

    it('passes on a change with which a version was received', () => {
      const sender = new DocumentHistory();
      sender.add(3, publishedDocument(3));
      sender.add(5, publishedDocument(5));
      const {change} = sender.contentForAll(3);
      const history = historyOf([3]);
      history.add(5, publishedDocument(5), change);
      history.add(9, publishedDocument(9));
      const {earlierChanges} = history.contentForAll(5);
      expect(earlierChanges).to.deep.equal([change]);
    });
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
