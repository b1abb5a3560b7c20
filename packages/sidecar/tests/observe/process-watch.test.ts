import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {ProcessWatch} from '../../src/observe/process-watch.js';
import {linesOf} from './lines.js';

const MIB = 1024 * 1024;
const TICK_MS = 250;

function open() {
  const {logger, lines} = linesOf();
  const clock = new ManualClock(1_000);
  const delays: number[] = [];
  const memory = {bytes: 0};
  const watch = new ProcessWatch({
    clock,
    logger,
    residentBytes: () => memory.bytes,
    onDelay: delayMs => delays.push(delayMs),
  });
  const look = (afterMs: number) => {
    clock.advance(afterMs);
    watch.tick();
  };
  return {look, lines, delays, memory};
}

describe('ProcessWatch', () => {
  it('counts the lateness of the event loop and writes of a long one', () => {
    const {look, lines, delays} = open();
    for (const lateMs of [0, 40, 900]) look(TICK_MS + lateMs);
    expect(delays).to.deep.equal([0, 40, 900]);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.include({msg: 'event loop late', delayMs: 900});
  });

  it('bounds the lines of a starved process', () => {
    const {look, lines} = open();
    for (let i = 0; i < 100; i++) look(600);
    expect(lines).to.have.length.within(5, 5 + 0.2 * 60);
  });

  it('writes once of each step of memory', () => {
    const {look, lines, memory} = open();
    for (const mib of [60, 63, 70, 40, 70, 130, 90]) {
      memory.bytes = mib * MIB;
      look(TICK_MS);
    }
    const told = lines.map(({residentBytes}) => Number(residentBytes) / MIB);
    expect(told).to.deep.equal([60, 70, 130]);
  });
});
