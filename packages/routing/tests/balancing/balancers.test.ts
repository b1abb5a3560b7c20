import {SeededRandom} from '@turmericmill/utils';
import {expect} from 'chai';

import type {
  Balancer,
  CallResult,
  CallTraits,
  Candidate,
} from '../../src/balancing/balancer.js';
import {LeastExpectedCostBalancer} from '../../src/balancing/least-expected-cost.js';
import {LeastInFlightBalancer} from '../../src/balancing/least-in-flight.js';
import {RoundRobinBalancer} from '../../src/balancing/round-robin.js';

const NOW_MS = 1_000_000;
const SEED = 11;

function server(id: string, fields: Partial<Candidate> = {}): Candidate {
  return {
    nodeId: `node-${id}`,
    serverId: id,
    incarnation: 1,
    group: 'city/desk',
    dataCentre: 'ncr-a',
    state: 'ready',
    slots: 9,
    readySinceMs: 0,
    ...fields,
  };
}

const CALL: CallTraits = {class: 'city/class/desk', priority: 'interactive'};

const ANSWERED: CallResult = {
  outcome: 'answered',
  latencyMs: 20,
  load: {inFlight: 1, queued: 0, limit: 9, serviceMs: 20},
};

/** Shares of 1,000 choices by server id, without feedback. */
function shares(
  balancer: Balancer,
  candidates: readonly Candidate[],
  nowMs = NOW_MS,
  call = CALL,
): Record<string, number> {
  const random = new SeededRandom(SEED);
  const counts: Record<string, number> = {};
  for (let i = 0; i < 1_000; i++) {
    const id =
      balancer.choose(candidates, call, nowMs, random)?.serverId ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1 / 1_000;
  }
  return counts;
}

function observe(
  balancer: Balancer,
  candidate: Candidate,
  result: CallResult,
  times = 10,
): void {
  for (let i = 0; i < times; i++) {
    balancer.started(candidate, CALL, NOW_MS);
    balancer.finished(candidate, CALL, result, NOW_MS);
  }
}

const policies: (() => Balancer)[] = [
  () => new RoundRobinBalancer(),
  () => new LeastInFlightBalancer(),
  () => new LeastExpectedCostBalancer('ncr-a'),
];

for (const make of policies) {
  describe(make().name, () => {
    it('chooses nothing when no server is ready', () => {
      const candidates = [
        server('a', {state: 'starting'}),
        server('b', {state: 'draining'}),
      ];
      expect(shares(make(), candidates)).to.have.all.keys('none');
      expect(shares(make(), [])).to.have.all.keys('none');
    });

    it('excludes starting and draining servers', () => {
      const candidates = [
        server('a'),
        server('b', {state: 'draining'}),
        server('c', {state: 'starting'}),
      ];
      expect(shares(make(), candidates)).to.have.all.keys('a');
    });

    it('spreads calls over equal servers', () => {
      const candidates = [server('a'), server('b'), server('c')];
      for (const share of Object.values(shares(make(), candidates))) {
        expect(share).to.be.within(0.25, 0.42);
      }
    });
  });
}

describe('least-in-flight', () => {
  it('takes the server with the fewest calls', () => {
    const balancer = new LeastInFlightBalancer();
    const [a, b] = [server('a'), server('b')];
    balancer.started(a);
    expect(shares(balancer, [a, b])).to.have.all.keys('b');
    balancer.finished(a);
    expect(shares(balancer, [a, b])).to.have.all.keys('a', 'b');
  });
});

describe('least-expected-cost', () => {
  const [a, b, c] = [server('a'), server('b'), server('c')];
  const bad: [string, CallResult][] = [
    ['slow', {...ANSWERED, load: {...ANSWERED.load!, serviceMs: 100}}],
    ['failing', {outcome: 'failed', latencyMs: 1}],
    ['erroneous but fast', {outcome: 'server-error', latencyMs: 1}],
    ['timing out', {outcome: 'timed-out', latencyMs: 500}],
    ['refusing', {outcome: 'refused', latencyMs: 1}],
    [
      'full',
      {...ANSWERED, load: {inFlight: 9, queued: 9, limit: 9, serviceMs: 20}},
    ],
  ];
  for (const [name, result] of bad) {
    it(`avoids a server that is ${name}`, () => {
      const balancer = new LeastExpectedCostBalancer('ncr-a');
      for (const good of [a, b]) observe(balancer, good, ANSWERED);
      observe(balancer, c, result);
      expect(shares(balancer, [a, b, c])['c'] ?? 0).to.be.below(0.1);
    });

    it(`returns to a server that was ${name} two minutes ago`, () => {
      const balancer = new LeastExpectedCostBalancer('ncr-a');
      for (const good of [a, b]) observe(balancer, good, ANSWERED);
      observe(balancer, c, result);
      const later = shares(balancer, [a, b, c], NOW_MS + 120_000);
      expect(later['c'] ?? 0).to.be.above(0.1);
    });
  }

  it('probes with one call at a time after an ejection', () => {
    const balancer = new LeastExpectedCostBalancer('ncr-a');
    for (const good of [a, b]) observe(balancer, good, ANSWERED);
    observe(balancer, c, {outcome: 'failed', latencyMs: 1});
    const laterMs = NOW_MS + 120_000;
    balancer.started(c, CALL);
    expect(shares(balancer, [a, b, c], laterMs)['c']).to.equal(undefined);
    balancer.finished(c, CALL, ANSWERED, laterMs);
    expect(shares(balancer, [a, b, c], laterMs)['c']).to.be.above(0.1);
  });

  it('ignores ejections when most servers would be excluded', () => {
    const balancer = new LeastExpectedCostBalancer('ncr-a');
    for (const each of [a, b, c]) {
      observe(balancer, each, {outcome: 'failed', latencyMs: 1});
    }
    const keys = Object.keys(shares(balancer, [a, b, c]));
    expect(keys.sort()).to.deep.equal(['a', 'b', 'c']);
  });

  it('discards the evidence of an earlier incarnation', () => {
    const balancer = new LeastExpectedCostBalancer('ncr-a');
    for (const good of [a, b]) observe(balancer, good, ANSWERED);
    observe(balancer, c, {outcome: 'failed', latencyMs: 1});
    const again = server('c', {incarnation: 2});
    expect(shares(balancer, [a, b, again])['c']).to.be.above(0.1);
    balancer.finished(c, CALL, {outcome: 'failed', latencyMs: 1}, NOW_MS);
    expect(shares(balancer, [a, b, again])['c']).to.be.above(0.1);
  });

  it('stays in its data centre until its servers are full', () => {
    const balancer = new LeastExpectedCostBalancer('ncr-a');
    const far = server('far', {dataCentre: 'ncr-b'});
    observe(balancer, a, ANSWERED);
    observe(balancer, far, ANSWERED);
    expect(shares(balancer, [a, far])).to.have.all.keys('a');
    for (let i = 0; i < 9; i++) balancer.started(a, CALL);
    expect(shares(balancer, [a, far])).to.have.all.keys('far');
  });

  it('spreads calls over a large group', () => {
    const balancer = new LeastExpectedCostBalancer('ncr-a');
    const many = Array.from({length: 500}, (unused, i) => server(`s${i}`));
    const spread = Object.values(shares(balancer, many));
    expect(spread.length).to.be.above(350);
    expect(Math.max(...spread)).to.be.below(0.02);
  });

  it('increases the share of a started server slowly', () => {
    const balancer = new LeastExpectedCostBalancer('ncr-a');
    const slow = {...CALL, slowStartMs: 10_000};
    const cold = server('c', {readySinceMs: NOW_MS});
    for (const each of [a, b, cold]) {
      observe(balancer, each, ANSWERED);
      balancer.started(each, CALL);
    }
    const shareOfCold = (nowMs: number) =>
      shares(balancer, [a, b, cold], nowMs, slow)['c'];
    expect(shareOfCold(NOW_MS + 100)).to.equal(undefined);
    expect(shareOfCold(NOW_MS + 10_000)).to.be.above(0.2);
  });
});
