import {expect} from 'chai';

import type {LoadFigures} from '../../../src/bench/load/load-figures.js';
import {LoadModel} from '../../../src/bench/load/load-model.js';
import {LOAD_PATTERNS} from '../../../src/bench/load/load-pattern.js';

const SEED = 1;

function play(name: string): LoadFigures {
  const pattern = LOAD_PATTERNS.find(one => one.name === name);
  if (!pattern) throw new Error(`No pattern ${name}.`);
  return new LoadModel(pattern, SEED).run();
}

describe('load at its worst, replayed', function () {
  this.timeout(60_000);

  it('serves all on time while there is room', () => {
    const {onTime, refused, crossingBytes} = play('calm');
    expect(onTime).to.be.at.least(0.99);
    expect(refused).to.equal(0);
    // A tenth of the answers of the larger class at most.
    expect(crossingBytes).to.be.below(500);
  });

  it('serves on time what the slots can carry in an overload', () => {
    const {onTime, late, lateRefusals, refusalHeldMs} = play('overload');
    // The slots carry 0.81 of the load; nine tenths of that on time.
    expect(onTime).to.be.at.least(0.73);
    expect(late).to.be.at.most(0.08);
    // Refusals come at once: an eighth of the shorter target.
    expect(refusalHeldMs).to.be.at.most(50);
    expect(lateRefusals).to.be.at.most(0.08);
  });

  it('gets over a burst', () => {
    const {worth, refusalHeldMs} = play('burst');
    expect(worth).to.be.at.least(0.93);
    expect(refusalHeldMs).to.be.at.most(50);
  });

  it('passes over slow servers', () => {
    const {onTime} = play('slow');
    expect(onTime).to.be.at.least(0.95);
  });

  it('repeats within the budget when all servers shed', () => {
    const {worth, runs} = play('shed');
    expect(worth).to.be.at.least(0.9);
    // Clients' second attempts and a fifth of repetitions.
    expect(runs).to.be.at.most(1.5);
  });

  it('keeps large answers near as long as they can be served there', () => {
    const {refused, crossingBytes} = play('files');
    expect(refused).to.be.at.most(0.06);
    // A tenth of the size of an answer.
    expect(crossingBytes).to.be.below(9_000);
  });
});
