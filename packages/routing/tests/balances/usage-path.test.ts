import {expect} from 'chai';

import {ManualClock, SeededRandom} from '@turmericmill/utils';

import {
  BalanceGate,
  UsageCollector,
  UsageLedger,
  UsageMeter,
} from '../../src/balances/index.js';

const METER = {
  reportIntervalMs: 60_000,
  nearLimitIntervalMs: 5_000,
  rolloverMs: 300_000,
  maxRowAgeMs: 12 * 3_600_000,
};
const COLLECTOR = {
  appendIntervalMs: 2_000,
  maxRecordBytes: 1024,
  maxRows: 100,
};
const SEEDS = [1, 2, 3, 5, 8, 13, 21, 34];

describe('usage from meter to gate', () => {
  for (const seed of SEEDS) {
    it(`never counts a call twice under faults (seed ${seed})`, () => {
      const random = new SeededRandom(seed);
      const clock = new ManualClock(1_000_000_000);
      const ledger = new UsageLedger();
      let offset = 0;
      let callsMade = 0;
      const createMeter = (i: number) =>
        new UsageMeter({...METER, nodeId: `n${i}`}, clock.now());
      const meters = [0, 1, 2].map(createMeter);
      const collectors = [0, 1].map(() => new UsageCollector(COLLECTOR));
      for (let step = 0; step < 2000; step++) {
        clock.advance(random.nextInt(3000));
        const meter = random.pick(meters)!;
        meter.count('c');
        callsMade += 1;
        const row = meter.takeDueRow(() => true, clock.now());
        if (row) for (const collector of collectors) collector.add(row);
        for (const collector of collectors) {
          const body = collector.takeDueRecord(clock.now());
          if (!body) continue;
          const isAppended = random.next() < 0.8;
          if (isAppended) ledger.fold(offset++, body);
          collector.handleAppend(isAppended && random.next() < 0.8);
        }
        const draw = random.next();
        if (draw < 0.01) clock.advance(METER.rolloverMs);
        if (draw > 0.99) meters[step % 3] = createMeter(step % 3);
        expect(ledger.total('c')).to.be.at.most(callsMade);
      }
      expect(ledger.total('c')).to.be.at.least(callsMade * 0.9);
    });
  }

  it('reports customers near their limit at short intervals', () => {
    const meter = new UsageMeter({...METER, nodeId: 'n'}, 0);
    meter.count('near');
    meter.count('far');
    const isNear = (customer: string) => customer === 'near';
    expect(meter.takeDueRow(isNear, 1_000)).to.equal(undefined);
    expect(meter.takeDueRow(isNear, 5_000)?.calls).to.deep.equal({near: 1});
    expect(meter.takeDueRow(isNear, 10_000)).to.equal(undefined);
    expect(meter.takeDueRow(isNear, 60_000)?.calls).to.deep.equal({far: 1});
    meter.markAllChanged();
    expect(meter.takeFinalRow()?.calls).to.deep.equal({near: 1, far: 1});
  });

  it('starts a new row after a pause, with the unreported counts', () => {
    const meter = new UsageMeter({...METER, nodeId: 'n'}, 0);
    meter.count('c');
    expect(meter.takeDueRow(() => true, 5_000)).to.deep.include({
      incarnation: 0,
      calls: {c: 1},
    });
    meter.count('c');
    expect(meter.takeDueRow(() => true, 400_000)).to.deep.include({
      incarnation: 400_000,
      calls: {c: 1},
    });
  });

  it('splits rows that do not fit in one record', () => {
    const collector = new UsageCollector(COLLECTOR);
    for (let i = 0; i < 40; i++) {
      collector.add({nodeId: `node-${i}`, incarnation: 1, calls: {c: i + 1}});
    }
    const ledger = new UsageLedger();
    for (let offset = 0; collector.size > 0; offset++) {
      const body = collector.takeDueRecord(offset * 2_000) ?? '';
      expect(body.length).to.be.at.most(1024).and.above(0);
      expect(collector.takeDueRecord((offset + 1) * 2_000)).to.equal(undefined);
      collector.handleAppend(true);
      ledger.fold(offset, body);
    }
    expect(ledger.total('c')).to.equal(820);
  });

  const gates: [name: string, prepaid: number, used: number, ok: boolean][] = [
    ['an unused balance', 10, 0, true],
    ['one call left', 10, 9, true],
    ['a used-up balance', 10, 10, false],
    ['an exceeded balance', 10, 12, false],
    ['no prepaid calls', 0, 0, false],
  ];
  for (const [name, prepaid, used, ok] of gates) {
    it(`${ok ? 'allows' : 'refuses'} a customer with ${name}`, () => {
      const gate = new BalanceGate();
      gate.configure(new Map([['c', prepaid]]));
      gate.update({c: used});
      gate.update({c: used - 5});
      expect(gate.allows('c')).to.equal(ok);
      expect(gate.allows('not metered')).to.equal(true);
      expect(gate.isNearLimit('c')).to.equal(used >= 0.9 * prepaid);
    });
  }
});
