import {expect} from 'chai';

import {
  ANNOUNCEMENT_LIFETIME_MS,
  parseAnnouncement,
  ServerRegistry,
  type Announcement,
} from '../src/index.js';

const NOW_MS = 1_700_000_000_000;

const ANNOUNCEMENT: Announcement = {
  name: 'lamp-1',
  group: 'nyota/homeowner-api',
  address: '127.0.0.1',
  port: 8080,
  slots: 12,
  connections: 130,
  state: 'ready',
  incarnation: 10,
};

/** A changed announcement, an order, or a period with or without ticks. */
type Step =
  | Partial<Announcement>
  | {passMs: number}
  | {pauseMs: number}
  | 'drain'
  | 'undrain';

function applySteps(steps: Step[]) {
  const registry = new ServerRegistry();
  const answers: string[] = [];
  let nowMs = NOW_MS;
  for (const step of steps) {
    registry.tick(nowMs);
    if (step === 'drain') answers.push(String(registry.drain('lamp-1', nowMs)));
    else if (step === 'undrain') {
      answers.push(String(registry.undrain('lamp-1', nowMs)));
    } else if ('pauseMs' in step) nowMs += step.pauseMs;
    else if ('passMs' in step) {
      const endMs = nowMs + step.passMs;
      for (; nowMs < endMs; nowMs += 100) registry.tick(nowMs);
      nowMs = endMs;
    } else {
      const result = registry.announce({...ANNOUNCEMENT, ...step}, nowMs);
      answers.push(result.isOk() ? result.value.state : result.error.code);
    }
    registry.tick(nowMs);
  }
  const events = registry.takeEvents().map(event => event.type);
  const states = registry.records().map(record => record.state);
  return {answers, events, states};
}

describe('ServerRegistry', () => {
  const cases: {name: string; steps: Step[]}[] = [
    {name: 'starts and becomes ready', steps: [{state: 'starting'}, {}]},
    {name: 'lapses', steps: [{}, {passMs: ANNOUNCEMENT_LIFETIME_MS}]},
    {
      name: 'is kept by a repeated announcement',
      steps: [{}, {passMs: ANNOUNCEMENT_LIFETIME_MS - 1}, {}, {passMs: 2_000}],
    },
    {
      name: 'returns in the same incarnation after a lapse',
      steps: [{}, {passMs: 3_000}, {}],
    },
    {
      name: 'crashes and returns before the lapse',
      steps: [
        {},
        {passMs: 500},
        {incarnation: 11, state: 'starting'},
        {incarnation: 11},
      ],
    },
    {name: 'withdraws itself', steps: [{}, {state: 'gone'}]},
    {
      name: 'drains and does not become ready again',
      steps: [{}, {state: 'draining'}, {state: 'ready'}],
    },
    {name: 'drains by order', steps: [{}, 'drain', {state: 'ready'}]},
    {
      name: 'is ready again in a newer incarnation after a drain',
      steps: [{}, 'drain', {incarnation: 11}],
    },
    {
      name: 'is also announced by a replaced process',
      steps: [{incarnation: 11}, {incarnation: 10, state: 'gone'}],
    },
    {name: 'changes its group', steps: [{}, {group: 'nyota/fieldkit'}]},
    {
      name: 'drains, lapses, and returns in the same incarnation',
      steps: [{}, 'drain', {passMs: 3_000}, {state: 'ready'}],
    },
    {
      name: 'remains ready while its node is paused',
      steps: [{}, {pauseMs: 10_000}],
    },
    {
      name: 'is ready when the drain is revoked',
      steps: [{}, 'drain', 'undrain'],
    },
    {
      name: "drains by itself, which can't be revoked",
      steps: [{}, {state: 'draining'}, 'undrain'],
    },
    {name: 'is drained before its first announcement', steps: ['drain']},
    {
      name: 'is damped because it keeps restarting',
      steps: [10, 11, 12, 13, 14].map(incarnation => ({incarnation})),
    },
    {
      name: 'becomes ready again after it was damped',
      steps: [
        ...[10, 11, 12, 13, 14].map(incarnation => ({incarnation})),
        {passMs: 120_000},
        {incarnation: 14},
      ],
    },
  ];
  for (const {name, steps} of cases) {
    it(`a server that ${name}`, () => {
      expect(applySteps(steps)).toMatchSnapshot();
    });
  }

  it('refuses servers above the limit', () => {
    const registry = new ServerRegistry();
    const results = Array.from({length: 65}, (unused, index) =>
      registry.announce({...ANNOUNCEMENT, name: `s-${index}`}, NOW_MS),
    );
    expect(results.filter(result => result.isErr())).to.have.length(1);
  });
});

describe('parseAnnouncement', () => {
  const {address, connections, ...required} = ANNOUNCEMENT;
  const cases: {name: string; text: string}[] = [
    {name: 'all fields', text: JSON.stringify(ANNOUNCEMENT)},
    {name: 'defaults', text: JSON.stringify(required)},
    {name: 'malformed JSON', text: '{"name": '},
    {name: 'an empty text', text: ''},
    {name: 'an array', text: '[]'},
    {name: 'a missing field', text: '{"name": "a"}'},
    {
      name: 'an unknown field',
      text: JSON.stringify({...ANNOUNCEMENT, slot: 3}),
    },
    {
      name: 'values out of range',
      text: JSON.stringify({...ANNOUNCEMENT, port: 0, slots: 0, state: 'up'}),
    },
    {
      name: 'a group without a team',
      text: JSON.stringify({...ANNOUNCEMENT, group: 'homeowner-api'}),
    },
    {name: 'too many bytes', text: `"${'x'.repeat(5000)}"`},
  ];
  for (const {name, text} of cases) {
    it(`accepts or rejects ${name}`, () => {
      const result = parseAnnouncement(text);
      expect(result.isOk() ? result.value : result.error).toMatchSnapshot();
    });
  }

  it('fills in the default address and connections', () => {
    const parsed = parseAnnouncement(JSON.stringify(required)).unwrap();
    expect(parsed.address).to.equal(address);
    expect(parsed.connections).to.be.below(connections);
  });
});
