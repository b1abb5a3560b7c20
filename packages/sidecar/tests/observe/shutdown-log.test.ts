import {ManualClock} from '@turmericmill/utils';
import {expect} from 'chai';

import {ShutdownLog, type WorkLeft} from '../../src/observe/shutdown-log.js';
import {captureLog} from './log-capture.js';

const NONE: WorkLeft = {requests: 0, peerCalls: 0, answersUnflushed: 0};

const ENDS: {name: string; left: WorkLeft; events: string[]}[] = [
  {name: 'no work', left: NONE, events: ['stopping', 'stopped']},
  ...(['requests', 'peerCalls', 'answersUnflushed'] as const).map(kind => ({
    name: kind,
    left: {...NONE, [kind]: 2},
    events: ['stopping', 'work ended by shutdown', 'stopped'],
  })),
];

describe('ShutdownLog', () => {
  for (const {name, left, events} of ENDS) {
    it(`logs the work that a shutdown ends: ${name}`, () => {
      const {logger, lines} = captureLog();
      const clock = new ManualClock(1_000);
      const log = new ShutdownLog(clock, logger, () => left);
      log.stopping(6_300);
      clock.advance(5_300);
      log.closing();
      log.stopped();
      expect(lines.map(({msg}) => msg)).to.deep.equal(events);
      expect(lines[0]).to.include({...left, remainingMs: 5_300});
      expect(lines.at(-1)).to.include({...left, tookMs: 5_300});
    });
  }
});
