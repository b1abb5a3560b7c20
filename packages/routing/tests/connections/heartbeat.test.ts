import {expect} from 'chai';

import {Heartbeat} from '../../src/connections/heartbeat.js';

const TIMES = {busyQuietMs: 300, idleQuietMs: 10_000, pongMs: 500};

type Step =
  | {atMs: number; do: 'sent' | 'received' | 'pingNow'}
  | {atMs: number; do: 'probedElsewhere' | 'answeredElsewhere'}
  | {atMs: number; do: 'postpone'; ms: number}
  | {atMs: number; do: 'tick'; effect?: 'ping' | 'replace'; state: string};

describe('Heartbeat', () => {
  const cases: {name: string; steps: Step[]}[] = [
    {
      name: 'pings an idle connection after 10 s',
      steps: [
        {atMs: 9_999, do: 'tick', state: 'live'},
        {atMs: 10_000, do: 'tick', effect: 'ping', state: 'pinging'},
      ],
    },
    {
      name: 'replaces a connection on which calls get no response',
      steps: [
        {atMs: 100, do: 'sent'},
        {atMs: 399, do: 'tick', state: 'live'},
        {atMs: 400, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 899, do: 'tick', state: 'pinging'},
        {atMs: 900, do: 'tick', effect: 'ping', state: 'silent'},
        {atMs: 1_400, do: 'tick', effect: 'replace', state: 'replaced'},
        {atMs: 9_000, do: 'received'},
        {atMs: 99_000, do: 'tick', state: 'replaced'},
      ],
    },
    {
      name: 'keeps a connection whose late pong arrives',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 800, do: 'tick', effect: 'ping', state: 'silent'},
        {atMs: 1_000, do: 'received'},
        {atMs: 1_299, do: 'tick', state: 'live'},
        {atMs: 1_300, do: 'tick', effect: 'ping', state: 'pinging'},
      ],
    },
    {
      name: 'does not count the time in which its own process was paused',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 1_200, do: 'postpone', ms: 800},
        {atMs: 1_200, do: 'tick', state: 'pinging'},
        {atMs: 1_599, do: 'tick', state: 'pinging'},
        {atMs: 1_600, do: 'tick', effect: 'ping', state: 'silent'},
      ],
    },
    {
      name: 'replaces a connection to a peer that answers on another one',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 800, do: 'tick', effect: 'ping', state: 'silent'},
        {atMs: 800, do: 'probedElsewhere'},
        {atMs: 810, do: 'answeredElsewhere'},
        {atMs: 1_299, do: 'tick', state: 'forgotten'},
        {atMs: 1_300, do: 'tick', effect: 'replace', state: 'replaced'},
      ],
    },
    {
      name: 'waits for bytes that may follow a late answer on another one',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 800, do: 'tick', effect: 'ping', state: 'silent'},
        {atMs: 800, do: 'probedElsewhere'},
        {atMs: 1_400, do: 'answeredElsewhere'},
        {atMs: 1_449, do: 'tick', state: 'forgotten'},
        {atMs: 1_450, do: 'tick', effect: 'replace', state: 'replaced'},
      ],
    },
    {
      name: 'keeps a connection to a peer that was starved and answers on both',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 800, do: 'tick', effect: 'ping', state: 'silent'},
        {atMs: 800, do: 'probedElsewhere'},
        {atMs: 1_500, do: 'answeredElsewhere'},
        {atMs: 1_510, do: 'received'},
        {atMs: 1_800, do: 'tick', state: 'live'},
      ],
    },
    {
      name: 'replaces a connection to a peer that answers nowhere',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
        {atMs: 800, do: 'tick', effect: 'ping', state: 'silent'},
        {atMs: 800, do: 'probedElsewhere'},
        {atMs: 1_599, do: 'tick', state: 'unreachable'},
        {atMs: 1_600, do: 'tick', effect: 'replace', state: 'replaced'},
      ],
    },
    {
      name: 'ignores an answer on another connection while bytes arrive',
      steps: [
        {atMs: 100, do: 'received'},
        {atMs: 100, do: 'probedElsewhere'},
        {atMs: 101, do: 'answeredElsewhere'},
        {atMs: 399, do: 'tick', state: 'live'},
      ],
    },
    {
      name: 'waits for a pong on an idle connection after pingNow',
      steps: [
        {atMs: 100, do: 'pingNow'},
        {atMs: 599, do: 'tick', state: 'pinging'},
        {atMs: 600, do: 'tick', effect: 'ping', state: 'silent'},
      ],
    },
    {
      name: 'does not defer a ping when more is sent',
      steps: [
        {atMs: 0, do: 'sent'},
        {atMs: 250, do: 'sent'},
        {atMs: 300, do: 'tick', effect: 'ping', state: 'pinging'},
      ],
    },
  ];
  for (const {name, steps} of cases) {
    it(name, () => {
      const heartbeat = new Heartbeat(TIMES, 0);
      for (const step of steps) {
        if (step.do === 'sent') heartbeat.sent(step.atMs);
        if (step.do === 'received') heartbeat.received(true, step.atMs);
        if (step.do === 'postpone') heartbeat.postpone(step.ms);
        if (step.do === 'pingNow') heartbeat.pingNow(step.atMs);
        if (step.do === 'probedElsewhere') heartbeat.probedElsewhere(step.atMs);
        if (step.do === 'answeredElsewhere') {
          heartbeat.answeredElsewhere(step.atMs);
        }
        if (step.do !== 'tick') continue;
        expect(heartbeat.tick(step.atMs)).to.equal(step.effect);
        expect(heartbeat.state).to.equal(step.state);
      }
    });
  }

  it('accepts no new calls while it is silent', () => {
    const heartbeat = new Heartbeat(TIMES, 0);
    heartbeat.sent(0);
    heartbeat.tick(300);
    expect(heartbeat.usable).to.equal(true);
    heartbeat.tick(800);
    expect(heartbeat.usable).to.equal(false);
  });

  it('waits longer for a peer that answers late', () => {
    const heartbeat = new Heartbeat({...TIMES, pongMs: 100}, 0);
    heartbeat.answered(100, 0);
    heartbeat.sent(0);
    expect(heartbeat.tick(300)).to.equal('ping');
    expect(heartbeat.tick(599)).to.equal(undefined);
    expect(heartbeat.tick(600)).to.equal('ping');
    expect(heartbeat.tick(900)).to.equal('replace');
  });

  const waits: {roundTripMs: number; silenceMs: number}[] = [
    {roundTripMs: 1, silenceMs: 800},
    {roundTripMs: 200, silenceMs: 1_200},
    {roundTripMs: 900, silenceMs: 2_000},
  ];
  for (const {roundTripMs, silenceMs} of waits) {
    it(`waits ${silenceMs} ms for a peer that took ${roundTripMs} ms`, () => {
      const heartbeat = new Heartbeat(TIMES, 0);
      heartbeat.answered(roundTripMs, 0);
      heartbeat.sent(0);
      heartbeat.tick(300);
      heartbeat.tick(800);
      heartbeat.probedElsewhere(800);
      expect(heartbeat.tick(799 + silenceMs)).to.equal(undefined);
      expect(heartbeat.tick(800 + silenceMs)).to.equal('replace');
    });
  }
});
