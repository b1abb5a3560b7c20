import type {CallStart, Message} from '@turmericmill/wire';
import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {Bus} from '../../src/bus.js';
import {
  CallRunner,
  type CallEvents,
  type CallHead,
  type CallLeg,
  type InitialBody,
} from '../../src/calls/call-leg.js';
import {IncomingCalls} from '../../src/calls/incoming-calls.js';

const PEER = {nodeId: 'n-2', incarnation: 1, dataCentre: 'a', region: 'r'};

const START: CallStart = {
  callId: 7,
  serverId: 's',
  serverIncarnation: 1,
  group: 'desk',
  method: 'POST',
  path: '/',
  headers: [],
  customer: 'c',
  class: 'read',
  priority: 'interactive',
  hops: 0,
  fingerprint: '',
  remainingMs: 500,
  sentMs: 0,
  end: false,
  body: Buffer.from('a'),
};

/** Records the input that reaches the server. */
class RecordingRunner extends CallRunner {
  readonly notes: string[] = [];
  readonly deadlinesMs: number[] = [];

  override run(
    head: CallHead,
    first: InitialBody,
    unusedEvents: CallEvents,
  ): CallLeg {
    this.deadlinesMs.push(head.deadlineMs);
    this.notes.push(`run ${Buffer.from(first.chunk).toString()}`);
    return {
      data: chunk => this.notes.push(`data ${Buffer.from(chunk).toString()}`),
      end: () => this.notes.push('end'),
      credit: bytes => this.notes.push(`credit ${bytes}`),
      cancel: () => this.notes.push('cancel'),
    };
  }
}

/** Delivers each group of messages in one turn of the event loop. */
async function deliver(turns: Message[][]) {
  const bus = new Bus();
  const runner = new RecordingRunner();
  const calls = new IncomingCalls(bus, runner, new ManualClock(1_000));
  for (const messages of turns) {
    for (const message of messages) bus.publishPeerMessage(PEER, message);
    await new Promise(resolve => setImmediate(resolve));
  }
  return {notes: runner.notes, inProgress: calls.size};
}

const CALL: Message = {type: 'callStart', body: START};
const CANCEL: Message = {type: 'callCancel', body: {callId: 7}};
const DATA: Message = {
  type: 'callData',
  body: {callId: 7, chunk: Buffer.from('b'), end: true, trailers: []},
};

/** Deadlines in ms of calls sent and read at these times. */
async function deadlinesOf(times: [sentMs: number, readMs: number][]) {
  const bus = new Bus();
  const runner = new RecordingRunner();
  const clock = new ManualClock(0);
  new IncomingCalls(bus, runner, clock);
  for (const [index, [sentMs, readMs]] of times.entries()) {
    clock.advance(readMs - clock.now());
    const body = {...START, callId: index, sentMs};
    bus.publishPeerMessage(PEER, {type: 'callStart', body});
    await new Promise(resolve => setImmediate(resolve));
  }
  return runner.deadlinesMs;
}

describe('IncomingCalls', () => {
  it('subtracts the excess transit delay from the remaining time', async () => {
    const deadlines = await deadlinesOf([
      [0, 9_000],
      [100, 9_100],
      [200, 9_600],
    ]);
    expect(deadlines).to.deep.equal([9_500, 9_600, 9_700]);
  });

  it('starts a call with the input read in the same turn', async () => {
    const {notes} = await deliver([[CALL, DATA]]);
    expect(notes).to.deep.equal(['run a', 'data b', 'end']);
  });

  it('does not start a call cancelled in the same turn', async () => {
    const {notes, inProgress} = await deliver([[CALL, DATA, CANCEL]]);
    expect(notes).to.deep.equal([]);
    expect(inProgress).to.equal(0);
  });

  it('cancels a running call', async () => {
    const {notes} = await deliver([[CALL], [CANCEL]]);
    expect(notes).to.deep.equal(['run a', 'cancel']);
  });

  const losses: {name: string; incarnation: number; expected: string[]}[] = [
    {
      name: 'only the calls of a lost connection',
      incarnation: 1,
      expected: ['cancel'],
    },
    {
      name: 'no call if an earlier incarnation is lost',
      incarnation: 0,
      expected: [],
    },
  ];
  for (const {name, incarnation, expected} of losses) {
    it(`cancels ${name}`, async () => {
      const bus = new Bus();
      const runner = new RecordingRunner();
      new IncomingCalls(bus, runner, new ManualClock(0));
      for (const callId of [7, 8]) {
        const body = {...START, callId};
        bus.publishPeerMessage(PEER, {type: 'callStart', body});
      }
      await new Promise(resolve => setImmediate(resolve));
      const own = new Set<number>();
      const calls = {own, theirs: new Set([7]), incarnation};
      bus.publish('peer-lost', {nodeId: 'n-2', opened: true, calls});
      const notes = runner.notes.filter(note => !note.startsWith('run'));
      expect(notes).to.deep.equal(expected);
    });
  }

  it('refuses calls with a deadline after shutdown as not run', async () => {
    const bus = new Bus();
    const runner = new RecordingRunner();
    const calls = new IncomingCalls(bus, runner, new ManualClock(1_000));
    const answers: Message[] = [];
    bus.subscribe('send-peer', ({message}) => answers.push(message));
    calls.acceptUntil(1_000 + START.remainingMs);
    const late = {...START, callId: 8, remainingMs: START.remainingMs + 1};
    bus.publishPeerMessage(PEER, CALL);
    bus.publishPeerMessage(PEER, {type: 'callStart', body: late});
    await new Promise(resolve => setImmediate(resolve));
    expect(runner.notes).to.deep.equal(['run a']);
    expect(calls.size).to.equal(1);
    expect(answers.map(({type}) => type)).to.deep.equal(['answerFailed']);
    const body = {callId: 8, outcome: 'not-run', reason: 'draining'};
    expect(answers[0]?.body).to.deep.include(body);
  });
});
