import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {ProcessMonitor} from '../../src/observe/process-monitor.js';
import {captureLog} from './log-capture.js';

const MIB = 1024 * 1024;
const CHECK_INTERVAL_MS = 250;

function createMonitor() {
  const {logger, lines} = captureLog();
  const clock = new ManualClock(1_000);
  const delays: number[] = [];
  const memory = {bytes: 0};
  const monitor = new ProcessMonitor({
    clock,
    logger,
    residentBytes: () => memory.bytes,
    onDelay: delayMs => delays.push(delayMs),
    link: {bytesPerMs: 1_000, sentBytes: () => 0, unsentBytes: () => 0},
  });
  const check = (afterMs: number) => {
    clock.advance(afterMs);
    monitor.tick();
  };
  return {check, lines, delays, memory};
}

describe('ProcessMonitor', () => {
  it('reports each event loop delay and logs a long one', () => {
    const {check, lines, delays} = createMonitor();
    for (const lateMs of [0, 40, 900]) check(CHECK_INTERVAL_MS + lateMs);
    expect(delays).to.deep.equal([0, 40, 900]);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.include({msg: 'event loop late', delayMs: 900});
  });

  it('limits the lines of a starved process', () => {
    const {check, lines} = createMonitor();
    for (let i = 0; i < 100; i++) check(600);
    expect(lines).to.have.length.within(5, 5 + 0.2 * 60);
  });

  it('logs each step of resident memory once', () => {
    const {check, lines, memory} = createMonitor();
    for (const mib of [60, 63, 70, 40, 70, 130, 90]) {
      memory.bytes = mib * MIB;
      check(CHECK_INTERVAL_MS);
    }
    const loggedMib = lines.map(
      ({residentBytes}) => Number(residentBytes) / MIB,
    );
    expect(loggedMib).to.deep.equal([60, 70, 130]);
  });
});
