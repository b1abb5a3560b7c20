/** Documents that this node has, requests and sends; decides nothing of versions. */

import type {ConfigAsk, ConfigNotice, DocumentChange} from '@turmericmill/wire';
import type Logger from 'bunyan';

import {DocumentHistory, type NoticeContent} from './document-history.js';
import {
  createRequest,
  mayRequest,
  type DocumentRequest,
} from './document-request.js';
import {applyChanges, decompress} from './document-transfer.js';

export class DocumentExchange {
  private readonly history = new DocumentHistory();
  private newest: {version: number; document: Uint8Array} | undefined;
  /** The last request; undefined once a version is added or its peer is lost. */
  private request: DocumentRequest | undefined;
  /** Set if the content of a notice did not result in a document. */
  private needsWhole = false;

  constructor(
    private readonly configInForceMs: number,
    private readonly logger: Logger,
  ) {}

  /**
   * Adds the document of a version that is greater than all before. `change`: the
   * one with which it was received, if any.
   */
  add(version: number, document: Uint8Array, change?: DocumentChange): void {
    this.newest = {version, document};
    this.history.add(version, document, change);
    this.request = undefined;
    this.needsWhole = false;
  }

  /** Content of a notice for a node that has version `have`. */
  contentFor(have: number): NoticeContent {
    return this.history.contentFor(have);
  }

  /** Content of a notice for all nodes, most of which have version `before`. */
  contentForAll(before: number): NoticeContent {
    return this.history.contentForAll(before);
  }

  /** Returns the document of a notice; undefined if none can be decoded. */
  documentOf(notice: ConfigNotice): Uint8Array | undefined {
    const {newest} = this;
    const changes = newest && changesFrom(newest.version, notice);
    const result = changes
      ? applyChanges(newest.document, changes)
      : notice.document && decompress(notice.document);
    if (result?.isErr()) {
      this.needsWhole = true;
      const {error} = result;
      this.logger.warn(
        {error},
        'document of a configuration notice could not be decoded',
      );
    }
    return result?.isOk() ? result.value : undefined;
  }

  /** True if a version that the peer has may be requested from it now. */
  startRequest(peerId: string, nowMs: number): boolean {
    if (!mayRequest(this.request, nowMs)) return false;
    this.request = createRequest(peerId, this.configInForceMs, nowMs);
    return true;
  }

  /** No answer comes from this peer any more. */
  onPeerLost(peerId: string): void {
    if (peerId === this.request?.peerId) this.request = undefined;
  }

  /** A request for what is newer than the newest document here. */
  get ask(): ConfigAsk {
    return {version: this.needsWhole ? 0 : (this.newest?.version ?? 0)};
  }
}

/** Changes of a notice that apply one after the other to version `have`. */
function changesFrom(
  have: number,
  {change, earlierChanges = []}: ConfigNotice,
): DocumentChange[] | undefined {
  if (!change) return undefined;
  const changes = [...earlierChanges, change];
  const first = changes.findIndex(({baseVersion}) => baseVersion === have);
  return first < 0 ? undefined : changes.slice(first);
}
