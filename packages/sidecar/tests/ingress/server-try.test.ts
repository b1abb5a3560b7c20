import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import {NO_LOAD, type CallLeg, type TryEnd} from '@turmericmill/node';
import {ByteBudget, ManualClock, standStill} from '@turmericmill/utils';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import {HeldAnswer} from '../../src/ingress/held-answer.js';
import type {RoutedRequest} from '../../src/ingress/routed-request.js';
import {ServerTry} from '../../src/ingress/server-try.js';

const START_MS = 1_000;
/** Time in ms after which every timer of a try with no time left has fired. */
const ALL_TIMERS_MS = 260;

/** A try whose deadline is `remainingMs` after its start. */
class Fixture {
  readonly clock = new ManualClock(START_MS);
  readonly seen: string[] = [];
  cancelled = 0;
  readonly caller: Record<string, unknown> = {
    hasLeft: false,
    onLeft: undefined,
    start: (status: number) => this.seen.push(String(status)),
    data: (chunk: Uint8Array) => this.seen.push(Buffer.from(chunk).toString()),
    end: () => this.seen.push('end'),
    cut: () => this.seen.push('cut'),
  };
  readonly serverTry: ServerTry;
  readonly end: Promise<TryEnd>;

  constructor(remainingMs: number) {
    const {caller, clock} = this;
    const deadlineMs = START_MS + remainingMs;
    const request = {caller, deadlineMs} as unknown as RoutedRequest;
    const budget = new ByteBudget<AnswerHolder>(1_000);
    const answer = new HeldAnswer('GET', request.caller, budget);
    const leg: CallLeg = {
      data: () => undefined,
      end: () => undefined,
      credit: () => undefined,
      cancel: () => {
        this.cancelled += 1;
      },
    };
    this.serverTry = new ServerTry(request, answer, clock);
    this.end = this.serverTry.run(() => leg);
  }

  /** Part of an answer comes. */
  begin(): void {
    this.serverTry.answerStart(200, [], {...NO_LOAD});
    this.serverTry.answerData(Buffer.from('part'));
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('ServerTry', () => {
  it('passes a whole answer on in the turn in which it ends', () => {
    const {serverTry, seen} = new Fixture(500);
    serverTry.answerStart(200, [], {...NO_LOAD});
    serverTry.answerData(Buffer.from('whole'));
    serverTry.answerEnd();
    expect(seen).to.deep.equal(['200', 'whole', 'end']);
  });

  it('takes an answer of another length than stated for lost', async () => {
    const {serverTry, seen, end} = new Fixture(500);
    serverTry.answerStart(200, ['content-length', '9'], {...NO_LOAD});
    serverTry.answerData(Buffer.from('part'));
    serverTry.answerEnd();
    const {kind, failure} = (await end) as Extract<TryEnd, {kind: 'failed'}>;
    expect(kind).to.equal('failed');
    expect(failure).to.include({outcome: 'unknown', reason: 'server-failed'});
    expect(seen).to.deep.equal([]);
  });

  it('delivers an answer that grows on past the deadline', async () => {
    const fixture = new Fixture(0);
    fixture.begin();
    await pause(ALL_TIMERS_MS);
    expect(fixture.seen).to.deep.equal(['200', 'part']);
    fixture.serverTry.answerData(Buffer.from('rest'));
    fixture.serverTry.answerEnd();
    expect(await fixture.end).to.include({kind: 'answered', status: 200});
    expect(fixture.seen).to.deep.equal(['200', 'part', 'rest', 'end']);
    expect(fixture.cancelled).to.equal(0);
  });

  it('gives up an answer that has stopped, and shows nothing of it', async () => {
    const fixture = new Fixture(0);
    fixture.begin();
    fixture.clock.advance(500);
    const end = await fixture.end;
    expect(end.kind === 'failed' && end.failure.reason).to.equal('deadline');
    expect(fixture.cancelled).to.equal(1);
    fixture.serverTry.answerEnd();
    expect(fixture.seen).to.deep.equal([]);
  });

  // Timers ran before reads after a standstill of the process.
  it('takes an answer that was there when its time was over', async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const accepted = new Promise<Socket>(resolve => {
      server.once('connection', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    const peer = await accepted;
    const fixture = new Fixture(0);
    const {serverTry, end} = fixture;
    socket.on('data', chunk => {
      serverTry.answerStart(200, [], {...NO_LOAD});
      serverTry.answerData(chunk);
      serverTry.answerEnd();
    });
    peer.write('whole');
    standStill(ALL_TIMERS_MS);
    const {kind} = await end;
    socket.destroy();
    peer.destroy();
    server.close();
    expect(kind).to.equal('answered');
    expect(fixture.cancelled).to.equal(0);
  });

  it('is cancelled when the caller leaves during the answer', async () => {
    const fixture = new Fixture(500);
    fixture.begin();
    (fixture.caller['onLeft'] as () => void)();
    expect(await fixture.end).to.deep.equal({kind: 'left'});
    expect(fixture.cancelled).to.equal(1);
    fixture.serverTry.answerEnd();
    expect(fixture.seen).to.deep.equal([]);
  });
});
