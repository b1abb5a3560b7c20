import {expect} from 'chai';

import {
  applyChange,
  createChange,
  compress,
  decompress,
} from '../../src/config/document-transfer.js';
import {publishedDocument} from './published-document.js';

/** Hosts of a data centre, beside the reader. */
const HOSTS = 22;
/** Half of the thinnest link, of 4.9 Mbit/s; calls take the rest. */
const FREE_BYTES_PER_MS = 306;
const CONFIG_IN_FORCE_MS = 2_500;

/** Returns a document of many routes, of which one has the given timeout. */
function document(version: number, timeoutMs: number): Buffer {
  const rows = Array.from({length: 400}, (unused, index) => [
    `r-${index}`,
    `host-${(index * 7919) % 97}.example`,
    `/p${(index * 104_729) % 9973}/`,
    'safe',
    index === 200 ? `${timeoutMs}ms` : '1000ms',
  ]);
  return Buffer.from(JSON.stringify({version: `r${version}`, routes: rows}));
}

describe('document transfer', () => {
  const base = document(7, 1000);
  const next = document(9, 800);

  it('encodes a change in a small fraction of the document', () => {
    const change = createChange(7, base, next);
    expect(change.delta.length).to.be.below(next.length / 20);
    const result = applyChange(base, change);
    expect(Buffer.from(result.unwrap()).equals(next)).to.equal(true);
  });

  it('encodes many new routes for thin links to a data centre in time', () => {
    const before = publishedDocument(1, 1_100);
    const after = publishedDocument(2, 3_000);
    const {delta} = createChange(1, before, after);
    const transferMs = (HOSTS * delta.length) / FREE_BYTES_PER_MS;
    expect(transferMs).to.be.below(CONFIG_IN_FORCE_MS);
  });

  it('refuses a change of another document', () => {
    const change = createChange(7, base, next);
    const other = Buffer.from(base.map(byte => byte ^ 1));
    expect(applyChange(other, change).isErr()).to.equal(true);
  });

  const damaged: [string, Uint8Array][] = [
    ['no bytes', Buffer.alloc(0)],
    ['bytes of another kind', Buffer.from('not deflated at all')],
    ['half of a document', compress(next).subarray(0, 500)],
  ];
  for (const [title, bytes] of damaged) {
    it(`refuses ${title}`, () => {
      expect(decompress(bytes).isErr()).to.equal(true);
      const change = {baseVersion: 7, delta: bytes};
      expect(applyChange(base, change).isErr()).to.equal(true);
    });
  }

  it('compresses a whole document', () => {
    const bytes = compress(next);
    expect(bytes.length).to.be.below(next.length / 2);
    expect(Buffer.from(decompress(bytes).unwrap()).equals(next)).to.equal(true);
  });
});
