import {expect} from 'chai';

import type {ClaimReply} from '@turmericmill/wire';

import {ClaimClient} from '../../src/claims/index.js';

const OPTIONS = {
  claimIdPrefix: 'e1:2',
  claimTimeoutMs: 500,
  claimedWaitMs: 200,
  retryIntervalMs: 50,
  lingerMs: 5000,
  maxKeptAnswerBytes: 10,
};
const CALL = {partition: 0, key: 'k', requestDigest: 'd', deadlineMs: 1000};

function reply(verdict: ClaimReply['verdict'], claimId = 'e1:2.1'): ClaimReply {
  return {requestId: 1, claimId, verdict, inDoubt: false};
}

const ANSWER = {status: 200, headers: [], body: Buffer.from('x')};

/** Returns the types of the effects of `step` after one attempt has started. */
function typesAfter(step: (client: ClaimClient) => {type: string}[]): string[] {
  const client = new ClaimClient(OPTIONS);
  client.start(1, CALL, 0);
  return step(client).map(effect => effect.type);
}

describe('ClaimClient', () => {
  const cases: {
    name: string;
    step: (client: ClaimClient) => {type: string}[];
    effects: string[];
  }[] = [
    {
      name: 'ignores a reply to the same request id of an earlier start',
      step: c => c.handleReply(reply('granted', 'e1:1.1'), 10),
      effects: [],
    },
    {
      name: 'runs a call once however often its claim is granted',
      step: c => [
        ...c.handleReply(reply('granted'), 10),
        ...c.handleReply(reply('granted'), 11),
      ],
      effects: ['run'],
    },
    {
      name: 'repeats an unanswered claim request',
      step: c => [...c.tick(49), ...c.tick(50), ...c.tick(51)],
      effects: ['ask'],
    },
    {
      name: 'releases the claim and refuses the call at the timeout',
      step: c => c.tick(500),
      effects: ['report', 'refuse'],
    },
    {
      name: 'releases a claim that is granted after the timeout',
      step: c => {
        c.tick(500);
        return c.handleReply(reply('granted'), 501);
      },
      effects: ['report'],
    },
    {
      name: 'does not release the claim while the call runs',
      step: c => {
        c.handleReply(reply('granted'), 10);
        return [...c.handleReply(reply('granted'), 20), ...c.tick(900)];
      },
      effects: [],
    },
    {
      name: 'does not report an answer above the size limit',
      step: c => {
        c.handleReply(reply('granted'), 10);
        const answer = {status: 200, headers: [], body: Buffer.alloc(11)};
        return c.finished(1, {type: 'answered', answer}, 20);
      },
      effects: [],
    },
    {
      name: 'waits for the answer of the attempt that holds the key',
      step: c => [
        ...c.handleReply(reply('claimed'), 10),
        ...c.tick(60),
        ...c.handleReply({...reply('answered'), answer: ANSWER}, 70),
      ],
      effects: ['ask', 'answer'],
    },
    {
      name: 'runs the call when the holder has released the key',
      step: c => [
        ...c.handleReply(reply('claimed'), 10),
        ...c.handleReply(reply('granted'), 70),
      ],
      effects: ['run'],
    },
    {
      name: 'stops waiting for the holder at the time limit',
      step: c => [
        ...c.handleReply(reply('claimed'), 10),
        ...c.handleReply(reply('claimed'), 100),
        ...c.tick(210),
      ],
      effects: ['report', 'refuse'],
    },
    {
      name: 'removes an ended attempt',
      step: c => {
        c.tick(500);
        c.tick(5500);
        expect(c.size).to.equal(0);
        return c.handleReply(reply('granted'), 5501);
      },
      effects: [],
    },
  ];
  for (const {name, step, effects} of cases) {
    it(name, () => {
      expect(typesAfter(step)).to.deep.equal(effects);
    });
  }
});
