import {setTimeout as sleep} from 'node:timers/promises';

import {expect} from 'chai';

import {
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMES,
} from '../../src/transport/peer-connection.js';
import {answer, MeshPair} from './mesh-pair.js';

const ANSWER = Buffer.from(
  Array.from({length: 200 * 1024}, (unused, index) => index % 251),
);

/** Detection limit in ms from `docs/routing.md` for an unreachable peer. */
const UNREACHABLE_MS = 1_500;
/** Detection limit in ms for a silent connection while new ones work. */
const FORGOTTEN_MS =
  HEARTBEAT_TIMES.busyQuietMs +
  2 * HEARTBEAT_TIMES.pongMs +
  3 * HEARTBEAT_INTERVAL_MS;

describe('calls over a slow or silent connection', () => {
  let pair: MeshPair;

  beforeEach(async () => {
    pair = new MeshPair();
    await pair.start();
  });

  afterEach(() => pair.stop());

  it('get a complete answer over a link that needs 1 s for a frame', async () => {
    const {relay} = pair;
    const {result, events} = await pair.startCall();
    relay.bytesPerSecond = 60_000;
    answer(events, ANSWER);
    const {end, body} = await result;
    expect(end).to.equal('answered');
    expect(body.equals(ANSWER)).to.equal(true);
  }).timeout(15_000);

  it('are answered while another answer fills the link in the other direction', async () => {
    const {relay, caller, server} = pair;
    const first = await pair.startCall();
    relay.bytesPerSecond = 60_000;
    const arrived = caller.calls.next();
    const reverseResult = server.call('caller');
    answer(await arrived, ANSWER);
    await sleep(50);
    const second = pair.startCall();
    const {events} = await second;
    answer(first.events);
    answer(events);
    const results = [
      await reverseResult,
      await first.result,
      await (await second).result,
    ];
    expect(results.map(({end}) => end)).to.deep.equal([
      'answered',
      'answered',
      'answered',
    ]);
    expect(results[0]?.body.equals(ANSWER)).to.equal(true);
  }).timeout(15_000);

  it('survive a stall of the peer for one second', async () => {
    const {relay} = pair;
    const {result, events} = await pair.startCall();
    relay.paused = true;
    answer(events);
    await sleep(1_000);
    relay.paused = false;
    const {end, body} = await result;
    expect(end).to.equal('answered');
    expect(body.toString()).to.equal('done');
  });

  it('fail soon when the network drops the connection without a reset', async () => {
    const {relay} = pair;
    const {result} = await pair.startCall();
    relay.silenceOpen();
    const silencedAtMs = Date.now();
    expect(await result).to.include({end: 'unknown connection-lost'});
    expect(Date.now() - silencedAtMs).to.be.below(FORGOTTEN_MS);
    const next = await pair.startCall();
    answer(next.events);
    expect(await next.result).to.include({end: 'answered'});
  });

  it('do not delay new calls to the same peer', async () => {
    const {relay} = pair;
    const first = await pair.startCall();
    relay.silenceOpen();
    await sleep(HEARTBEAT_TIMES.busyQuietMs + HEARTBEAT_TIMES.pongMs + 150);
    const second = await pair.startCall();
    answer(second.events);
    const {end, durationMs} = await second.result;
    expect(end).to.equal('answered');
    expect(durationMs).to.be.below(100);
    expect(await first.result).to.include({end: 'unknown connection-lost'});
  });

  it('open few connections to a peer that stalls repeatedly', async () => {
    const {relay} = pair;
    for (let pause = 0; pause < 3; pause += 1) {
      const {result, events} = await pair.startCall();
      relay.paused = true;
      await sleep(900);
      relay.paused = false;
      answer(events);
      expect(await result).to.include({end: 'answered'});
    }
    expect(relay.connections).to.be.within(1, 3);
  });

  // Guards against a leak: each call made while all connections were silent
  // opened another connection, which was never closed.
  it('open no connection beyond the limit when made during each stall', async () => {
    const {relay, caller} = pair;
    const {result, events} = await pair.startCall();
    const calls = [];
    for (let pause = 0; pause < 6; pause += 1) {
      relay.paused = true;
      await sleep(700);
      calls.push(caller.call('server'));
      await sleep(200);
      relay.paused = false;
      await sleep(150);
    }
    answer(events);
    expect(await result).to.include({end: 'answered'});
    const openConnections = relay.connections;
    for (const pending of pair.server.calls.events) answer(pending);
    await Promise.all(calls);
    expect(openConnections).to.be.within(1, 3);
  }).timeout(15_000);

  it('fail soon when the network drops all connections to the peer', async () => {
    const {relay} = pair;
    const first = await pair.startCall();
    relay.paused = true;
    await sleep(900);
    relay.paused = false;
    answer(first.events);
    await first.result;
    const {result} = await pair.startCall();
    relay.silenceOpen();
    const {end, durationMs} = await result;
    expect(end).to.equal('unknown connection-lost');
    expect(durationMs).to.be.below(UNREACHABLE_MS);
    const next = await pair.startCall();
    answer(next.events);
    expect(await next.result).to.include({end: 'answered'});
  });

  it('fail within a time limit when the peer is unreachable', async () => {
    const {relay} = pair;
    const {result} = await pair.startCall();
    relay.silencesNew = true;
    relay.silenceOpen();
    const {end, durationMs} = await result;
    expect(end).to.equal('unknown connection-lost');
    expect(durationMs).to.be.below(UNREACHABLE_MS + 2 * HEARTBEAT_INTERVAL_MS);
  });
});

describe('calls over two connections between the same nodes', () => {
  let pair: MeshPair;

  beforeEach(async () => {
    pair = new MeshPair();
    await pair.start();
  });

  afterEach(() => pair.stop());

  /** The server opens a second, newer connection to the caller. */
  async function connectBack(): Promise<void> {
    const {caller, server} = pair;
    const {port} = caller.transport;
    const body = {version: 1, digest: 'd', settled: true, known: 1, ask: false};
    const message = {type: 'configHave', body} as const;
    const received = new Promise(resolve =>
      caller.bus.onPeerMessage('configHave', resolve),
    );
    server.bus.publish('send-address', {address: '127.0.0.1', port, message});
    await received;
  }

  it('fail only with the connection that carries them', async () => {
    const {relay} = pair;
    const first = await pair.startCall();
    await connectBack();
    const second = await pair.startCall();
    relay.reset();
    expect(await first.result).to.include({end: 'unknown connection-lost'});
    await sleep(50);
    answer(second.events);
    expect(await second.result).to.include({end: 'answered'});
  });

  it('get their answers in order when a newer connection is faster', async () => {
    const {relay} = pair;
    const {result, events} = await pair.startCall();
    relay.bytesPerSecond = 400_000;
    events.answerStart(200, [], {inFlight: 0, queued: 0, limit: 1});
    events.answerData(ANSWER.subarray(0, 100_000));
    await sleep(20);
    await connectBack();
    events.answerData(ANSWER.subarray(100_000));
    events.answerEnd([]);
    const {end, body} = await result;
    expect(end).to.equal('answered');
    expect(body.equals(ANSWER)).to.equal(true);
  });
});
