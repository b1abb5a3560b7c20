/**
 * Documents of recent versions, encoded for nodes that have one of them. Load
 * pattern: many routes are added while links are full, and most nodes have
 * missed a version. A change from the version that a node has is a fraction of
 * the whole document. In a series of changes, a node that has missed one could
 * use none of those that follow, and its question crosses a full link: each
 * change is sent with the few before it.
 */

import type {ConfigNotice, DocumentChange} from '@turmericmill/wire';

import {compress, createChange} from './document-transfer.js';

/** Most documents that are kept. */
const MAX_DOCUMENTS = 16;
/** Most bytes of all documents but the newest; a document has 0.1 to 0.3 MB. */
const MAX_BYTES = 4 * 1024 * 1024;
/**
 * Most bytes of the earlier changes that are sent with one. They go to each node
 * of a data centre, several times a second in a series.
 */
const MAX_EARLIER_BYTES = 512;

interface VersionedDocument {
  version: number;
  document: Uint8Array;
  /** The change with which all nodes were to get this version, if known. */
  change?: DocumentChange | undefined;
}

/** Content of a notice. */
export type NoticeContent = Pick<
  ConfigNotice,
  'change' | 'document' | 'earlierChanges'
>;

export class DocumentHistory {
  /** In ascending order of the versions. */
  private documents: VersionedDocument[] = [];
  /** Changes to the newest document, by the version that they apply to. */
  private readonly changes = new Map<number, DocumentChange>();
  private compressed: Uint8Array | undefined;

  /**
   * Adds a document whose version is greater than all others. `change`: the one
   * with which it was received, if any.
   */
  add(version: number, document: Uint8Array, change?: DocumentChange): void {
    this.changes.clear();
    this.compressed = undefined;
    const older = this.documents.slice(1 - MAX_DOCUMENTS);
    let bytes = older.reduce((sum, one) => sum + one.document.length, 0);
    while (bytes > MAX_BYTES) bytes -= older.shift()?.document.length ?? bytes;
    this.documents = [...older, {version, document, change}];
  }

  /**
   * Returns the newest document for a node that has version `have`: as a change
   * if that version is kept, else as a whole.
   */
  contentFor(have: number): NoticeContent {
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

  /**
   * Returns the newest document for all nodes: for those that have version
   * `before`, or one from which the last few changes lead up to it.
   */
  contentForAll(before: number): NoticeContent {
    const content = this.contentFor(before);
    const newest = this.documents.at(-1);
    if (!newest || !content.change) return content;
    newest.change = content.change;
    const earlierChanges = this.changesUpTo(before);
    return earlierChanges.length > 0 ? {...content, earlierChanges} : content;
  }

  /** The last changes up to a version, in ascending order. */
  private changesUpTo(version: number): DocumentChange[] {
    const changes: DocumentChange[] = [];
    let bytes = 0;
    for (let to = version; ;) {
      const change = this.documents.find(one => one.version === to)?.change;
      // A peer may have sent a change with any base.
      if (!change || change.baseVersion >= to) return changes;
      bytes += change.delta.length;
      if (bytes > MAX_EARLIER_BYTES) return changes;
      changes.unshift(change);
      to = change.baseVersion;
    }
  }
}
