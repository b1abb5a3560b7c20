import type {Message} from '@turmericmill/wire';
import {expect} from 'chai';

import {
  ConnectionActivity,
  type ConnectionEvidence,
} from '../../src/transport/connection-activity.js';

const INTERVAL_MS = 100;
const CANCEL: Message = {type: 'callCancel', body: {callId: 1}};
const PING: Message = {type: 'ping', body: {nonce: 1}};

function start(callId: number): Message {
  const place = {serverId: 's1', serverIncarnation: 1, group: 'g'};
  const request = {method: 'GET', path: '/', headers: [], class: 'c'};
  const rest = {priority: 'interactive', hops: 0, fingerprint: ''} as const;
  const body = {
    ...place,
    ...request,
    ...rest,
    callId,
    customer: 'c1',
    remainingMs: 500,
    sentMs: 0,
    end: true,
    body: Buffer.alloc(0),
  };
  return {type: 'callStart', body};
}

function data(callId: number, end: boolean): Message {
  const body = {callId, chunk: Buffer.alloc(0), end, trailers: []};
  return {type: 'answerData', body};
}

type Step = (activity: ConnectionActivity) => void;

const sent =
  (message: Message): Step =>
  activity =>
    activity.recordSent(message);
const received =
  (message: Message, atMs: number): Step =>
  activity =>
    activity.recordReceived(message, atMs);
const bytes =
  (atMs: number): Step =>
  activity =>
    activity.recordBytes(100, atMs);
const tick =
  (atMs: number): Step =>
  activity =>
    activity.recordTick(atMs);

/** 100 bytes arrive, `count` times. */
function repeatBytes(count: number): Step[] {
  return Array.from({length: count}, () => bytes(1));
}

describe('ConnectionActivity', () => {
  const cases: {
    name: string;
    steps: Step[];
    expected: Partial<ConnectionEvidence>;
  }[] = [
    {
      name: 'distinguishes bytes from complete messages',
      steps: [bytes(200), received(data(1, false), 200), bytes(700)],
      expected: {sinceByteMs: 300, sinceMessageMs: 800},
    },
    {
      name: 'counts calls of both ends until their answers are complete',
      steps: [
        sent(start(1)),
        sent(start(2)),
        received(data(1, false), 1),
        received(data(2, true), 1),
        received(start(1), 1),
        received(start(2), 1),
        received(start(3), 1),
        sent(data(2, true)),
      ],
      expected: {callsOut: 1, callsIn: 2},
    },
    {
      name: 'does not count cancelled calls',
      steps: [
        sent(start(1)),
        sent(CANCEL),
        received(start(1), 1),
        received(CANCEL, 2),
      ],
      expected: {callsOut: 0, callsIn: 0},
    },
    {
      name: 'counts pings since the last bytes',
      steps: [sent(PING), bytes(100), sent(PING), sent(PING)],
      expected: {pingsOut: 2},
    },
    {
      name: 'records how long the process was stalled',
      steps: [bytes(0), tick(100), tick(200), tick(900), tick(1000)],
      expected: {sinceByteMs: 1000, stalledMs: 600},
    },
    {
      name: 'does not count time before the last bytes as stalled',
      steps: [tick(100), bytes(650), tick(700)],
      expected: {stalledMs: 50},
    },
    {
      name: 'resets the stalled time once bytes arrive',
      steps: [tick(100), tick(700), bytes(701), tick(800)],
      expected: {stalledMs: 0},
    },
  ];
  for (const {name, steps, expected} of cases) {
    it(name, () => {
      const activity = new ConnectionActivity(INTERVAL_MS, 0);
      for (const step of steps) step(activity);
      expect(activity.evidence(0, 0, 1000)).to.include(expected);
    });
  }

  const oneWay: {name: string; steps: Step[]; expected: boolean}[] = [
    {name: 'few bytes', steps: repeatBytes(40), expected: false},
    {name: 'many bytes', steps: repeatBytes(41), expected: true},
    {
      name: 'many bytes with a message sent in between',
      steps: [...repeatBytes(41), sent(PING), bytes(2)],
      expected: false,
    },
  ];
  for (const {name, steps, expected} of oneWay) {
    it(`reports isOneWay as ${expected} for ${name}`, () => {
      const activity = new ConnectionActivity(INTERVAL_MS, 0);
      for (const step of steps) step(activity);
      expect(activity.isOneWay).to.equal(expected);
    });
  }
});
