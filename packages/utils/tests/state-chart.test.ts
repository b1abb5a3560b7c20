import {expect} from 'chai';

import {StateChart} from '../src/index.js';

type State = 'closed' | 'open';
type Event = {type: 'push'} | {type: 'pull'};

const CHART = new StateChart<State, Event, {locked: boolean}>(
  {
    id: 'door',
    initial: 'closed',
    states: {
      closed: {on: {push: {target: 'open', guard: 'isUnlocked'}}},
      open: {on: {pull: 'closed'}},
    },
  },
  {isUnlocked: ({locked}) => !locked},
);

describe('StateChart', () => {
  const cases: {from: State; event: Event; locked: boolean; to: State}[] = [
    {from: 'closed', event: {type: 'push'}, locked: false, to: 'open'},
    {from: 'closed', event: {type: 'push'}, locked: true, to: 'closed'},
    {from: 'closed', event: {type: 'pull'}, locked: false, to: 'closed'},
    {from: 'open', event: {type: 'pull'}, locked: true, to: 'closed'},
  ];
  for (const {from, event, locked, to} of cases) {
    it(`goes from ${from} to ${to} on ${event.type}, locked ${locked}`, () => {
      expect(CHART.next(from, event, {locked})).to.equal(to);
    });
  }

  it('starts in the initial state of the chart', () => {
    expect(CHART.initial).to.equal('closed');
  });

  it('returns the same states from the cache of a chart without guards', () => {
    const chart = new StateChart<State, Event>({
      id: 'gate',
      initial: 'closed',
      states: {
        closed: {on: {push: 'open'}},
        open: {on: {pull: 'closed'}},
      },
    });
    for (let i = 0; i < 2; i++) {
      expect(chart.next('closed', {type: 'push'})).to.equal('open');
      expect(chart.next('closed', {type: 'pull'})).to.equal('closed');
      expect(chart.next('open', {type: 'pull'})).to.equal('closed');
    }
  });
});
