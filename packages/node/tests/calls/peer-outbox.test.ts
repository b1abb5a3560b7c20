import {ByteBudget} from '@turmericmill/utils';
import {install, type Clock as FakeTimers} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {Bus, type Peer} from '../../src/bus.js';
import {AnswerSender} from '../../src/calls/answer-sender.js';
import {NO_LOAD} from '../../src/calls/call-leg.js';
import {
  PeerOutbox,
  type BytesHolder,
  type LinkRoom,
} from '../../src/calls/peer-outbox.js';

const PEER: Peer = {
  nodeId: 'n-2',
  incarnation: 1,
  dataCentre: 'a',
  region: 'r',
};
const MB = 1024 * 1024;
const MAX_WAITING_BYTES = 4 * MB;

/** A connection that takes bytes only when it is told to. */
class SlowPeer {
  /** Calls of the frames that were sent, with their types. */
  readonly sent: string[] = [];
  readonly ended: string[] = [];
  readonly budget = new ByteBudget<BytesHolder>(MAX_WAITING_BYTES);
  private readonly bus = new Bus();
  private unsentBytes = 0;
  readonly outbox: PeerOutbox;

  constructor(link?: LinkRoom) {
    this.outbox = new PeerOutbox({
      bus: this.bus,
      budget: this.budget,
      unsentBytes: () => this.unsentBytes,
      ...(link && {link}),
    });
    this.bus.subscribe('send-peer', ({message: {type, body}}) => {
      const {
        callId,
        chunk,
        body: first,
      } = body as {
        callId: number;
        chunk?: Uint8Array;
        body?: Uint8Array;
      };
      this.sent.push(`${callId} ${type}`);
      this.unsentBytes += (chunk ?? first)?.length ?? 0;
    });
  }

  drain(): void {
    this.unsentBytes = 0;
    this.bus.publish('peer-drained', {nodeId: PEER.nodeId});
  }

  /** Starts an answer of some parts of a MiB and ends it. */
  answer(callId: number, parts: number): AnswerSender {
    const onEnd = () => this.ended.push(String(callId));
    const sender = new AnswerSender(this.bus, PEER, callId, onEnd, this.outbox);
    sender.answerStart(200, [], {...NO_LOAD});
    for (let i = 0; i < parts; i++) sender.answerData(Buffer.alloc(MB));
    sender.answerEnd([]);
    return sender;
  }
}

describe('PeerOutbox', () => {
  // Guards against copies of whole answers in the buffer of a connection whose
  // node reads slowly.
  it('keeps frames until the connection has taken the earlier ones', () => {
    const peer = new SlowPeer();
    peer.answer(1, 3);
    expect(peer.sent).to.deep.equal(['1 answerStart']);
    expect(peer.budget.reservedBytes).to.equal(2 * MB);
    peer.drain();
    peer.drain();
    expect(peer.sent).to.deep.equal([
      '1 answerStart',
      '1 answerData',
      '1 answerData',
    ]);
    expect(peer.ended).to.deep.equal([]);
    peer.drain();
    expect(peer.ended).to.deep.equal(['1']);
    expect(peer.budget.reservedBytes).to.equal(0);
  });

  it('does not let a short answer wait for all of a long one', () => {
    const peer = new SlowPeer();
    peer.answer(1, 4);
    peer.answer(2, 1);
    peer.drain();
    peer.drain();
    expect(peer.sent.slice(1)).to.deep.equal([
      '2 answerStart',
      '2 answerData',
      '1 answerData',
    ]);
  });

  // Guards against answers on a thin link that all get late together.
  it('finishes one answer before the next of the same size', () => {
    const peer = new SlowPeer();
    peer.answer(1, 3);
    peer.answer(2, 2);
    for (let i = 0; i < 3; i++) peer.drain();
    expect(peer.sent.slice(1, 4)).to.deep.equal([
      '1 answerData',
      '1 answerData',
      '1 answerData',
    ]);
  });

  it('gives up the largest answer if the limit is exceeded', () => {
    const peer = new SlowPeer();
    peer.answer(1, 4);
    peer.answer(2, 2);
    expect(peer.sent).to.deep.equal(['1 answerStart', '1 answerFailed']);
    expect(peer.ended).to.deep.equal(['1']);
    expect(peer.budget.reservedBytes).to.equal(2 * MB);
  });

  it('sends nothing more of a call that was cancelled', () => {
    const peer = new SlowPeer();
    peer.answer(1, 4).cancel();
    peer.drain();
    expect(peer.sent).to.deep.equal(['1 answerStart']);
    expect(peer.budget.reservedBytes).to.equal(0);
  });

  describe('while the link is full', () => {
    const FULL_MS = 80;
    let timers: FakeTimers;
    let peer: SlowPeer;

    beforeEach(() => {
      timers = install({toFake: ['setTimeout', 'clearTimeout']});
      const untilRoomMs = () => Math.max(0, FULL_MS - timers.now);
      peer = new SlowPeer({maxUnsentBytes: 2 * MB, untilRoomMs});
    });

    afterEach(() => timers.uninstall());

    it('keeps long frames until it has room', () => {
      peer.answer(1, 1);
      timers.tick(FULL_MS - 1);
      expect(peer.sent).to.deep.equal([]);
      timers.tick(1);
      expect(peer.sent).to.deep.equal(['1 answerStart', '1 answerData']);
      expect(peer.ended).to.deep.equal(['1']);
    });

    // Guards against short answers that wait for long ones.
    it('sends short frames at once', () => {
      peer.answer(1, 1);
      peer.answer(2, 0);
      expect(peer.sent).to.deep.equal(['2 answerStart']);
    });

    it('passes all frames on before the process ends', () => {
      peer.answer(1, 3);
      expect(peer.sent).to.deep.equal([]);
      peer.outbox.sendAll();
      expect(peer.sent).to.have.length(4);
      expect(peer.ended).to.deep.equal(['1']);
      expect(peer.budget.reservedBytes).to.equal(0);
    });
  });
});
