/**
 * Documents of recent versions, encoded for nodes that have one of them. Load
 * pattern: many routes are added while links are full, and most nodes have
 * missed a version. A change from the version that a node has is a fraction of
 * the whole document.
 */

import type {ConfigNotice, DocumentChange} from '@turmericmill/wire';

import {compress, createChange} from './document-transfer.js';

/** Most documents that are kept. */
const MAX_DOCUMENTS = 16;
/** Most bytes of all documents but the newest; a document has 0.1 to 0.3 MB. */
const MAX_BYTES = 4 * 1024 * 1024;

interface VersionedDocument {
  version: number;
  document: Uint8Array;
}

export class DocumentHistory {
  /** In ascending order of the versions. */
  private documents: VersionedDocument[] = [];
  /** Changes to the newest document, by the version that they apply to. */
  private readonly changes = new Map<number, DocumentChange>();
  private compressed: Uint8Array | undefined;

  /** Adds a document whose version is greater than all others. */
  add(version: number, document: Uint8Array): void {
    this.changes.clear();
    this.compressed = undefined;
    const older = this.documents.slice(1 - MAX_DOCUMENTS);
    let bytes = older.reduce((sum, one) => sum + one.document.length, 0);
    while (bytes > MAX_BYTES) bytes -= older.shift()?.document.length ?? bytes;
    this.documents = [...older, {version, document}];
  }

  /**
   * Returns the newest document for a node that has version `have`: as a change
   * if that version is kept, else as a whole.
   */
  contentFor(have: number): Pick<ConfigNotice, 'change' | 'document'> {
    const newest = this.documents.at(-1);
    if (!newest || newest.version === have) return {};
    const base = this.documents.find(({version}) => version === have);
    if (!base) {
      this.compressed ??= compress(newest.document);
      return {document: this.compressed};
    }
    const change =
      this.changes.get(have) ??
      createChange(have, base.document, newest.document);
    this.changes.set(have, change);
    return {change};
  }
}
