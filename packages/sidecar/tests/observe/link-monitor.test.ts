import {expect} from 'chai';

import {LinkMonitor} from '../../src/observe/link-monitor.js';
import {captureLog} from './log-capture.js';

const CHECK_INTERVAL_MS = 250;
const BYTES_PER_MS = 1_000;

function createMonitor() {
  const {logger, lines} = captureLog();
  const traffic = {sentBytes: 0, unsentBytes: 0};
  let now = 1_000;
  const parts = {
    bytesPerMs: BYTES_PER_MS,
    logger,
    sentBytes: () => traffic.sentBytes,
    unsentBytes: () => traffic.unsentBytes,
  };
  const monitor = new LinkMonitor(parts, now);
  const check = (bytes: number, unsentBytes = 0) => {
    now += CHECK_INTERVAL_MS;
    traffic.sentBytes += bytes;
    traffic.unsentBytes = unsentBytes;
    monitor.check(20, now);
  };
  return {check, lines};
}

describe('LinkMonitor', () => {
  it('logs bytes near the bandwidth of the link', () => {
    const {check, lines} = createMonitor();
    check(199_000);
    check(225_000);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.deep.include({
      msg: 'link busy',
      sentBytesPerS: 900_000,
      linkShare: 0.9,
      unsentBytes: 0,
      loopDelayMs: 20,
    });
  });

  it('logs bytes that sockets do not take', () => {
    const {check, lines} = createMonitor();
    check(0, 249_000);
    check(0, 250_000);
    expect(lines).to.have.length(1);
    expect(lines[0]).to.include({msg: 'link busy', unsentBytes: 250_000});
  });

  it('limits the lines of a link that stays full', () => {
    const {check, lines} = createMonitor();
    for (let i = 0; i < 100; i++) check(250_000);
    expect(lines).to.have.length.within(5, 5 + 0.5 * 25);
  });
});
