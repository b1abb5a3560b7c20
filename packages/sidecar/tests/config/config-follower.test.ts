import type {Message} from '@turmericmill/wire';
import {expect} from 'chai';

import {compress} from '../../src/config/document-transfer.js';
import {
  BEACON_INTERVAL_MS,
  NOTICE_GAP_MS,
  rankNodes,
  sourceTimes,
} from '../../src/config/source-choice.js';
import {
  BOUND_MS,
  FollowerNode,
  NODES,
  waitForCalls,
  waitUntilSettled,
} from './follower-node.js';
import {publishedDocument} from './published-document.js';

const {staleAfterMs, readWaitMs} = sourceTimes(BOUND_MS);

function bytesOf(message: Message | undefined): number {
  return message ? JSON.stringify(message).length : 0;
}

/** Adds more bytes than are sent along with the next change. */
const MANY_ROUTES = 1_000;

describe('ConfigFollower', () => {
  const [readerId, nonReaderId, lastId] = rankNodes(NODES) as [
    string,
    string,
    string,
  ];
  let reader: FollowerNode;
  let nonReader: FollowerNode;

  beforeEach(async () => {
    reader = new FollowerNode(readerId);
    nonReader = new FollowerNode(nonReaderId);
    reader.follower.start();
    await waitUntilSettled();
    await publish(2);
  });

  afterEach(() => reader.follower.stop());

  /** Publishes a version; delivers the reader's messages and returns them. */
  async function publish(version: number): Promise<Message[]> {
    reader.store.publish(publishedDocument(version));
    await waitUntilSettled();
    const messages = reader.takeSentTo(nonReaderId);
    for (const message of messages) nonReader.deliver(message, readerId);
    return messages;
  }

  it('forwards the first version as a whole document', () => {
    expect(nonReader.follower.version).to.equal(2);
  });

  it('forwards a change in a small fraction of the document', async () => {
    const [notice] = await publish(5);
    expect(nonReader.follower.version).to.equal(5);
    expect(bytesOf(notice)).to.be.below(publishedDocument(5).length / 20);
  });

  it('knows the services that its configuration names, any without one', () => {
    const {follower} = new FollowerNode(lastId);
    expect(follower.isServiceKnown('vault')).to.equal(true);
    expect(reader.follower.isServiceKnown('desk')).to.equal(true);
    expect(reader.follower.isServiceKnown('vault')).to.equal(false);
  });

  // Guards against a question through a full link for each change of a series.
  it('gets a change with the one before it, which it has missed', async () => {
    reader.store.publish(publishedDocument(5));
    await waitUntilSettled();
    reader.takeSentTo(nonReaderId);
    await publish(6);
    expect(nonReader.follower.version).to.equal(6);
    expect(nonReader.takeSentTo(readerId)).to.deep.equal([]);
  });

  it('asks for the document when it lacks a large change before the last', async () => {
    reader.store.publish(publishedDocument(5, MANY_ROUTES));
    await waitUntilSettled();
    reader.takeSentTo(nonReaderId);
    await publish(6);
    expect(nonReader.follower.version).to.equal(2);
    const [ask] = nonReader.takeSentTo(readerId);
    expect(ask?.type).to.equal('configAsk');
    reader.deliver(ask!, nonReaderId);
    for (const message of reader.takeSentTo(nonReaderId)) {
      nonReader.deliver(message, readerId);
    }
    expect(nonReader.follower.version).to.equal(6);
  });

  // A node that misses an order sends no calls to the new version, and a server
  // node that misses it lets calls pass that it must refuse.
  it('sends new orders at once, and with each answer to a request', async () => {
    const order = '{"service":"desk","target_version":"v2","duration":"12s"}';
    reader.takeSentTo(nonReaderId);
    reader.store.publish(Buffer.from(order), 'rollout/desk');
    await waitUntilSettled();
    for (const message of reader.takeSentTo(nonReaderId)) {
      nonReader.deliver(message, readerId);
    }
    expect(nonReader.rollouts.of('desk')?.targetVersion).to.equal('v2');
    reader.deliver({type: 'configAsk', body: {version: 0}}, lastId);
    const [answer] = reader.takeSentTo(lastId);
    expect(answer).to.have.nested.property('body.rollouts.length', 1);
  });

  it('sends no orders while there are none', () => {
    reader.deliver({type: 'configAsk', body: {version: 0}}, lastId);
    const [answer] = reader.takeSentTo(lastId);
    expect(answer?.body).to.not.have.property('rollouts');
  });

  it('asks once while a document is on its way', () => {
    const change = {baseVersion: 5, delta: Buffer.from('of another base')};
    const notices = [{version: 6, ageMs: 0, change}];
    for (let i = 0; i < 3; i++) {
      notices.push({version: 6, ageMs: 0} as never);
      nonReader.clock.advance(BEACON_INTERVAL_MS / 3);
    }
    for (const body of notices) {
      nonReader.deliver({type: 'configNotice', body}, readerId);
      nonReader.deliver({type: 'configNotice', body}, lastId);
    }
    const asks = nonReader.sent.filter(
      ({message}) => message.type === 'configAsk',
    );
    expect(asks.map(({nodeId}) => nodeId)).to.deep.equal([readerId]);
  });

  it('asks another peer once the first has left or not answered', () => {
    const body = {version: 6, ageMs: 0};
    const notice = {type: 'configNotice', body} as const;
    nonReader.deliver(notice, readerId);
    nonReader.bus.publish('peer-lost', {nodeId: readerId, opened: true});
    nonReader.deliver(notice, lastId);
    nonReader.clock.advance(BOUND_MS / 2);
    nonReader.deliver(notice, readerId);
    const asks = nonReader.sent.map(({nodeId}) => nodeId);
    expect(asks).to.deep.equal([readerId, lastId, readerId]);
  });

  it('asks for the whole document after a change that is damaged', () => {
    const change = {baseVersion: 2, delta: Buffer.from('damaged')};
    const body = {version: 9, ageMs: 0, change};
    nonReader.deliver({type: 'configNotice', body}, readerId);
    const [ask] = nonReader.takeSentTo(readerId);
    expect(ask?.body).to.deep.equal({version: 0});
  });

  it('answers a request with a change if it has the version named', async () => {
    await publish(5);
    await publish(6);
    reader.deliver({type: 'configAsk', body: {version: 2}}, lastId);
    const [answer] = reader.takeSentTo(lastId);
    expect(answer).to.have.nested.property('body.version', 6);
    expect(bytesOf(answer)).to.be.below(publishedDocument(6).length / 20);
  });

  it('sends a change to a host that is suspected, and none to a dead one', async () => {
    reader.setStatus({[nonReaderId]: 'suspect', [lastId]: 'dead'});
    reader.store.publish(publishedDocument(5));
    await waitUntilSettled();
    const receivers = reader.sent.map(({nodeId}) => nodeId);
    expect(receivers).to.include(nonReaderId);
    expect(receivers).not.to.include(lastId);
  });

  it('reads the store while the notices that arrive were sent long before', async () => {
    const startMs = nonReader.clock.now();
    const deliverSentAt = (sentMs: number) => {
      const body = {version: 2, ageMs: 0, sentMs};
      nonReader.deliver({type: 'configNotice', body}, readerId);
    };
    deliverSentAt(startMs);
    nonReader.clock.advance(staleAfterMs + BEACON_INTERVAL_MS + 1);
    deliverSentAt(startMs + BEACON_INTERVAL_MS);
    nonReader.follower.start();
    await waitUntilSettled();
    nonReader.follower.stop();
    expect(nonReader.store.calls[0]).to.equal('newest');
  });

  const gaps: [string, number, number][] = [
    ['none has come', Infinity, 2],
    ['late ones come', 2 * BEACON_INTERVAL_MS, 2],
    ['prompt ones come', 0, 0],
  ];
  for (const [title, delayMs, asks] of gaps) {
    it(`asks ${asks} nodes before it is stale if ${title}`, async () => {
      const startMs = nonReader.clock.now();
      const deliverSentAt = (sentMs: number) => {
        const body = {version: 2, ageMs: 0, sentMs};
        nonReader.deliver({type: 'configNotice', body}, readerId);
      };
      deliverSentAt(startMs);
      nonReader.clock.advance(NOTICE_GAP_MS);
      const sentMs = startMs + NOTICE_GAP_MS - delayMs;
      if (sentMs > startMs) deliverSentAt(sentMs);
      nonReader.follower.start();
      await waitUntilSettled();
      nonReader.follower.stop();
      const types = nonReader.sent.map(({message}) => message.type);
      expect(types).to.deep.equal(Array(asks).fill('configAsk'));
      expect(nonReader.store.calls).to.deep.equal([]);
    });
  }

  it('asks peers beside the store once no notice arrives', async () => {
    nonReader.follower.start();
    nonReader.clock.advance(staleAfterMs + 1);
    await waitForCalls(nonReader.store, 1);
    nonReader.follower.stop();
    const asked = nonReader.sent.filter(
      ({message}) => message.type === 'configAsk',
    );
    expect(asked).to.have.length(2);
  });

  it('announces nothing while the answers of the store are late', async () => {
    reader.clock.advance(readWaitMs + staleAfterMs + 1);
    reader.store.endWait();
    await waitUntilSettled();
    reader.sent.length = 0;
    await new Promise(resolve => setTimeout(resolve, 2 * BEACON_INTERVAL_MS));
    expect(reader.takeSentTo(nonReaderId)).to.deep.equal([]);
  });

  it('reads the newest document after a pause in reading', async () => {
    nonReader.follower.start();
    await waitUntilSettled();
    expect(nonReader.store.calls).to.deep.equal([]);
    for (const count of [1, 3]) {
      nonReader.clock.advance(staleAfterMs + 1);
      await waitForCalls(nonReader.store, count);
      await waitUntilSettled();
      // The reader is back; the read that waits at the store ends.
      const notice = {version: 2, ageMs: 0};
      nonReader.deliver({type: 'configNotice', body: notice}, readerId);
      nonReader.store.publish(publishedDocument(2));
      await waitUntilSettled();
    }
    nonReader.follower.stop();
    expect(nonReader.store.calls).to.deep.equal([
      'newest',
      'read',
      'newest',
      'read',
    ]);
  });

  it('forwards what it reads while it stands in for the reader', async () => {
    nonReader.follower.start();
    nonReader.clock.advance(staleAfterMs + 1);
    await waitForCalls(nonReader.store, 2);
    const [beacon] = nonReader.takeSentTo(lastId);
    expect(beacon).to.deep.equal({
      type: 'configNotice',
      body: {version: 2, ageMs: 0, sentMs: nonReader.clock.now()},
    });
    nonReader.store.publish(publishedDocument(7));
    await waitUntilSettled();
    nonReader.follower.stop();
    const [notice] = nonReader.takeSentTo(lastId);
    expect(notice).to.have.nested.property('body.version', 7);
  });

  it('goes on forwarding when a node before it only answers a request', async () => {
    nonReader.follower.start();
    nonReader.clock.advance(staleAfterMs + 1);
    await waitForCalls(nonReader.store, 2);
    const document = compress(publishedDocument(3));
    const body = {version: 3, ageMs: 0, document};
    nonReader.deliver({type: 'configNotice', body}, readerId);
    nonReader.sent.length = 0;
    await new Promise(resolve => setTimeout(resolve, 2 * BEACON_INTERVAL_MS));
    nonReader.follower.stop();
    const [beacon] = nonReader.takeSentTo(lastId);
    expect(beacon).to.have.nested.property('body.version', 3);
  });

  it('does not stand in for the reader with its first read', async () => {
    const newcomer = new FollowerNode(nonReaderId);
    newcomer.store.first = publishedDocument(2);
    newcomer.follower.start();
    await waitUntilSettled();
    newcomer.follower.stop();
    expect(newcomer.follower.version).to.equal(2);
    expect(newcomer.store.calls).to.deep.equal(['newest']);
    expect(newcomer.sent).to.deep.equal([]);
  });

  it('pauses between reads of a store that does not wait for changes', async () => {
    const newcomer = new FollowerNode(readerId);
    newcomer.store.first = publishedDocument(2);
    newcomer.store.waits = false;
    newcomer.follower.start();
    await new Promise(resolve => setTimeout(resolve, 600));
    newcomer.follower.stop();
    expect(newcomer.store.calls.length).to.be.within(2, 4);
  });

  it('announces nothing while its own reads of the store fail', async () => {
    reader.clock.advance(staleAfterMs + 1);
    await new Promise(resolve => setTimeout(resolve, 2 * BEACON_INTERVAL_MS));
    expect(reader.takeSentTo(nonReaderId)).to.deep.equal([]);
  });

  it('keeps its version and asks its peer when a change is damaged', () => {
    const change = {baseVersion: 2, delta: Buffer.from('damaged')};
    const body = {version: 9, ageMs: 0, change};
    nonReader.deliver({type: 'configNotice', body}, readerId);
    expect(nonReader.follower.version).to.equal(2);
    expect(nonReader.takeSentTo(readerId)[0]?.type).to.equal('configAsk');
  });

  describe('once the store has returned from a copy', () => {
    beforeEach(() => {
      reader.storeEra.observe(1, 'store');
      nonReader.storeEra.observe(1, 'store');
      reader.sent.length = 0;
    });

    it('tells the others, who call no store', () => {
      reader.storeEra.observe(2, 'store');
      for (const message of reader.takeSentTo(nonReaderId)) {
        nonReader.deliver(message, readerId);
      }
      expect(nonReader.storeEra.current).to.equal(2);
      expect(nonReader.sent).to.deep.equal([]);
    });

    it('ends its long poll and reads the newest document', async () => {
      const before = [...reader.store.calls];
      expect(before.at(-1)).to.equal('read');
      const notice = {version: 2, ageMs: 0, storeEra: 2};
      reader.deliver({type: 'configNotice', body: notice}, nonReaderId);
      await waitForCalls(reader.store, before.length + 2);
      const after = reader.store.calls.slice(before.length);
      expect(after).to.deep.equal(['newest', 'read']);
    });
  });
});
