import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import {NO_LOAD, type CallLeg, type AttemptEnd} from '@turmericmill/node';
import {ByteBudget, ManualClock, blockEventLoop} from '@turmericmill/utils';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import {BufferedAnswer} from '../../src/ingress/buffered-answer.js';
import type {RoutedRequest} from '../../src/ingress/routed-request.js';
import {ServerAttempt} from '../../src/ingress/server-attempt.js';

const START_MS = 1_000;
/** Time in ms after which all timers of an attempt at its deadline fired. */
const ALL_TIMERS_MS = 260;

/** An attempt whose deadline is `remainingMs` after its start. */
class Fixture {
  readonly clock = new ManualClock(START_MS);
  readonly seen: string[] = [];
  cancelled = 0;
  readonly caller: Record<string, unknown> = {
    hasDisconnected: false,
    onAbort: undefined,
    start: (status: number) => this.seen.push(String(status)),
    data: (chunk: Uint8Array) => this.seen.push(Buffer.from(chunk).toString()),
    end: () => this.seen.push('end'),
    cut: () => this.seen.push('cut'),
  };
  readonly attempt: ServerAttempt;
  readonly end: Promise<AttemptEnd>;

  constructor(remainingMs: number) {
    const {caller, clock} = this;
    const deadlineMs = START_MS + remainingMs;
    const request = {caller, deadlineMs} as unknown as RoutedRequest;
    const budget = new ByteBudget<AnswerHolder>(1_000);
    const answer = new BufferedAnswer('GET', request.caller, budget);
    const leg: CallLeg = {
      data: () => undefined,
      end: () => undefined,
      credit: () => undefined,
      cancel: () => {
        this.cancelled += 1;
      },
    };
    this.attempt = new ServerAttempt(request, answer, clock);
    this.end = this.attempt.run(() => leg);
  }

  /** Delivers the first part of an answer. */
  startAnswer(): void {
    this.attempt.answerStart(200, [], {...NO_LOAD});
    this.attempt.answerData(Buffer.from('part'));
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('ServerAttempt', () => {
  it('forwards a complete answer in the turn in which it ends', () => {
    const {attempt, seen} = new Fixture(500);
    attempt.answerStart(200, [], {...NO_LOAD});
    attempt.answerData(Buffer.from('whole'));
    attempt.answerEnd();
    expect(seen).to.deep.equal(['200', 'whole', 'end']);
  });

  for (const status of [-1, 0, 99, 600, 999, 1_000]) {
    it(`fails at once when a node passes status ${status} on`, async () => {
      const fixture = new Fixture(500);
      fixture.attempt.answerStart(status, [], {...NO_LOAD});
      const end = await fixture.end;
      expect(end).to.have.nested.include({
        kind: 'failed',
        'failure.outcome': 'unknown',
        'failure.reason': 'server-failed',
      });
      expect(fixture.seen).to.deep.equal([]);
      expect(fixture.cancelled).to.equal(1);
    });
  }

  it('fails when the length of the answer is not its content-length', async () => {
    const {attempt, seen, end} = new Fixture(500);
    attempt.answerStart(200, ['content-length', '9'], {...NO_LOAD});
    attempt.answerData(Buffer.from('part'));
    attempt.answerEnd();
    const {kind, failure} = (await end) as Extract<
      AttemptEnd,
      {kind: 'failed'}
    >;
    expect(kind).to.equal('failed');
    expect(failure).to.include({outcome: 'unknown', reason: 'server-failed'});
    expect(seen).to.deep.equal([]);
  });

  it('delivers an answer that keeps growing past the deadline', async () => {
    const fixture = new Fixture(0);
    fixture.startAnswer();
    await pause(ALL_TIMERS_MS);
    expect(fixture.seen).to.deep.equal(['200', 'part']);
    fixture.attempt.answerData(Buffer.from('rest'));
    fixture.attempt.answerEnd();
    expect(await fixture.end).to.include({kind: 'answered', status: 200});
    expect(fixture.seen).to.deep.equal(['200', 'part', 'rest', 'end']);
    expect(fixture.cancelled).to.equal(0);
  });

  it('cancels a stalled answer and forwards nothing of it', async () => {
    const fixture = new Fixture(0);
    fixture.startAnswer();
    fixture.clock.advance(500);
    const end = await fixture.end;
    expect(end.kind === 'failed' && end.failure.reason).to.equal('deadline');
    expect(fixture.cancelled).to.equal(1);
    fixture.attempt.answerEnd();
    expect(fixture.seen).to.deep.equal([]);
  });

  // Guards against a false time-out after the event loop was blocked: timers
  // run before the sockets are read.
  it('accepts an answer that arrived in time but was read late', async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const accepted = new Promise<Socket>(resolve => {
      server.once('connection', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    const peer = await accepted;
    const fixture = new Fixture(0);
    const {attempt, end} = fixture;
    socket.on('data', chunk => {
      attempt.answerStart(200, [], {...NO_LOAD});
      attempt.answerData(chunk);
      attempt.answerEnd();
    });
    peer.write('whole');
    blockEventLoop(ALL_TIMERS_MS);
    const {kind} = await end;
    socket.destroy();
    peer.destroy();
    server.close();
    expect(kind).to.equal('answered');
    expect(fixture.cancelled).to.equal(0);
  });

  it('is cancelled when the caller disconnects during the answer', async () => {
    const fixture = new Fixture(500);
    fixture.startAnswer();
    (fixture.caller['onAbort'] as () => void)();
    expect(await fixture.end).to.deep.equal({kind: 'left'});
    expect(fixture.cancelled).to.equal(1);
    fixture.attempt.answerEnd();
    expect(fixture.seen).to.deep.equal([]);
  });
});
