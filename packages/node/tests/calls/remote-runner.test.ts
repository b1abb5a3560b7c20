import {ManualClock} from '@turmericmill/utils';
import type {Message} from '@turmericmill/wire';
import {expect} from 'chai';

import {Bus, type Peer} from '../../src/bus.js';
import type {CallEvents, CallHead} from '../../src/calls/call-leg.js';
import {NO_LOAD} from '../../src/calls/call-leg.js';
import {RemoteRunner} from '../../src/calls/remote-runner.js';

const HEAD: CallHead = {
  serverId: 's1',
  serverIncarnation: 1,
  group: 'nyota/homeowner-api',
  method: 'POST',
  path: '/arm',
  headers: [],
  customer: 'c1',
  class: 'nyota/class/interactive',
  priority: 'interactive',
  deadlineMs: 5000,
  hops: 0,
  fingerprint: '',
};

class Recorder implements CallEvents {
  readonly log: string[] = [];

  credit(bytes: number): void {
    this.log.push(`credit ${bytes}`);
  }

  answerStart(status: number): void {
    this.log.push(`start ${status}`);
  }

  answerData(chunk: Uint8Array): void {
    this.log.push(`data ${Buffer.from(chunk).toString()}`);
  }

  answerEnd(): void {
    this.log.push('end');
  }

  failed({outcome, reason}: {outcome: string; reason: string}): void {
    this.log.push(`failed ${outcome} ${reason}`);
  }
}

function peer(nodeId: string): Peer {
  return {nodeId, incarnation: 1, dataCentre: 'a-1', region: 'a'};
}

function answer(callId: number, text: string): Message {
  return {
    type: 'answerStart',
    body: {
      callId,
      status: 200,
      headers: [],
      load: {...NO_LOAD},
      end: true,
      body: Buffer.from(text),
    },
  };
}

function setUp() {
  const bus = new Bus();
  const sent: {nodeId: string; message: Message}[] = [];
  bus.subscribe('send-peer', message => sent.push(message));
  const runner = new RemoteRunner(bus, new ManualClock(1000));
  const start = (nodeId: string) => {
    const events = new Recorder();
    const body = {chunk: new Uint8Array(), end: true};
    const leg = runner.run(nodeId, HEAD, body, events);
    const {message} = sent.at(-1)!;
    const callId = message.type === 'callStart' ? message.body.callId : -1;
    return {events, leg, callId};
  };
  return {bus, sent, start};
}

describe('RemoteRunner', () => {
  it('sends the remaining time instead of the deadline', () => {
    const {sent, start} = setUp();
    start('n1');
    const {message} = sent[0]!;
    expect(message.type).to.equal('callStart');
    expect(message.body).to.include({remainingMs: 4000});
    expect(message.body).to.not.have.property('deadlineMs');
  });

  it('matches answers that arrive out of order to their calls', () => {
    const {bus, start} = setUp();
    const first = start('n1');
    const second = start('n1');
    bus.publishPeerMessage(peer('n1'), answer(second.callId, 'two'));
    bus.publishPeerMessage(peer('n1'), answer(first.callId, 'one'));
    expect(first.events.log).to.deep.equal(['start 200', 'data one', 'end']);
    expect(second.events.log).to.deep.equal(['start 200', 'data two', 'end']);
  });

  const ignored: {
    name: string;
    from: string;
    before: 'cancel' | 'answer' | 'none';
  }[] = [
    {
      name: 'an answer from a node to which the call was not sent',
      from: 'n2',
      before: 'none',
    },
    {name: 'an answer to a cancelled call', from: 'n1', before: 'cancel'},
    {name: 'a second answer', from: 'n1', before: 'answer'},
  ];
  for (const {name, from, before} of ignored) {
    it(`ignores ${name}`, () => {
      const {bus, start} = setUp();
      const {events, leg, callId} = start('n1');
      if (before === 'cancel') leg.cancel();
      if (before === 'answer') {
        bus.publishPeerMessage(peer('n1'), answer(callId, 'one'));
      }
      const logBefore = [...events.log];
      bus.publishPeerMessage(peer(from), answer(callId, 'other'));
      expect(events.log).to.deep.equal(logBefore);
    });
  }

  const losses: {opened: boolean; expected: string}[] = [
    {opened: true, expected: 'failed unknown connection-lost'},
    {opened: false, expected: 'failed not-run connection-lost'},
  ];
  for (const {opened, expected} of losses) {
    it(`fails a lost call as "${expected}"`, () => {
      const {bus, start} = setUp();
      const lost = start('n1');
      const other = start('n2');
      bus.publish('peer-lost', {nodeId: 'n1', opened});
      expect(lost.events.log).to.deep.equal([expected]);
      expect(other.events.log).to.deep.equal([]);
    });
  }

  it('fails only the calls of the lost connection if another is open', () => {
    const {bus, start} = setUp();
    const lost = start('n1');
    const kept = start('n1');
    const calls = {own: new Set([lost.callId]), theirs: new Set<number>()};
    bus.publish('peer-lost', {nodeId: 'n1', opened: true, calls});
    expect(lost.events.log).to.deep.equal(['failed unknown connection-lost']);
    bus.publishPeerMessage(peer('n1'), answer(kept.callId, 'one'));
    expect(kept.events.log).to.deep.equal(['start 200', 'data one', 'end']);
  });
});
