import type {ClassPriority} from '@turmericmill/config';
import {expect} from 'chai';

import {Admission} from '../../src/admission/admission.js';
import type {AdmissionEffect} from '../../src/admission/admission.js';
import type {AdmissionCall} from '../../src/admission/call-lane.js';

function callOf(id: number, fields: Partial<AdmissionCall> = {}) {
  const call: AdmissionCall = {
    id,
    class: 'city/class/desk',
    priority: 'interactive',
    weight: 1,
    deadlineMs: 10_000,
    fingerprint: `f${id}`,
    suspect: false,
    ...fields,
  };
  return call;
}

function bulkOf(id: number, fields: Partial<AdmissionCall> = {}) {
  return callOf(id, {class: 'city/class/files', priority: 'bulk', ...fields});
}

function makeAdmission(slots: number): Admission {
  return new Admission({slots, connections: 130});
}

function summarize(effects: AdmissionEffect[]): string[] {
  return effects.map(effect =>
    effect.type === 'refuse'
      ? `refuse ${effect.id} ${effect.reason}`
      : `${effect.type} ${effect.id}`,
  );
}

describe('Admission', () => {
  it('runs the waiting call with the earliest deadline first', () => {
    const admission = makeAdmission(1);
    expect(summarize(admission.offer(callOf(1), 0))).to.deep.equal(['run 1']);
    admission.offer(callOf(2, {deadlineMs: 9_000}), 0);
    admission.offer(callOf(3, {deadlineMs: 8_000}), 0);
    const effects = admission.finished(1, 'answered', 10);
    expect(summarize(effects)).to.deep.equal(['run 3']);
  });

  const refusals: {name: string; call: AdmissionCall; reason: string}[] = [
    {
      name: 'a call whose deadline has passed',
      call: callOf(9, {deadlineMs: 100}),
      reason: 'deadline',
    },
    {
      name: 'a call that would not be answered in time',
      call: callOf(9, {deadlineMs: 130}),
      reason: 'deadline',
    },
    {
      name: 'a call that would wait past its deadline',
      call: callOf(9, {deadlineMs: 180}),
      reason: 'overload',
    },
    {
      name: 'a call that finds the queue full',
      call: callOf(9),
      reason: 'overload',
    },
  ];
  for (const {name, call, reason} of refusals) {
    it(`refuses ${name}`, () => {
      const admission = makeAdmission(1);
      admission.offer(callOf(1), 0);
      admission.finished(1, 'answered', 50);
      admission.offer(callOf(2), 100);
      for (let id = 3; id < 7; id++) admission.offer(callOf(id), 100);
      const effects = admission.offer(call, 100);
      expect(summarize(effects)).to.deep.equal([`refuse 9 ${reason}`]);
    });
  }

  it('refuses a waiting call once it can no longer be answered in time', () => {
    const admission = makeAdmission(1);
    admission.offer(callOf(1), 0);
    admission.offer(callOf(2, {deadlineMs: 500}), 0);
    expect(admission.nextExpiryMs()).to.equal(500);
    expect(admission.expire(499)).to.deep.equal([]);
    const expected = ['refuse 2 deadline'];
    expect(summarize(admission.expire(500))).to.deep.equal(expected);
    expect(admission.nextExpiryMs()).to.equal(undefined);
  });

  it('aborts a cancelled call, and keeps its slot until it has ended', () => {
    const admission = makeAdmission(1);
    admission.offer(callOf(1), 0);
    admission.offer(callOf(2), 0);
    admission.offer(callOf(3), 0);
    expect(summarize(admission.cancel(2))).to.deep.equal([
      'refuse 2 cancelled',
    ]);
    expect(summarize(admission.cancel(1))).to.deep.equal(['abort 1']);
    expect(admission.inFlight).to.equal(1);
    const effects = admission.finished(1, 'cancelled', 5);
    expect(summarize(effects)).to.deep.equal(['run 3']);
    expect(admission.cancel(2)).to.deep.equal([]);
  });

  it('refuses waiting and new calls while it drains, not running ones', () => {
    const admission = makeAdmission(1);
    admission.offer(callOf(1), 0);
    admission.offer(callOf(2), 0);
    expect(summarize(admission.drain())).to.deep.equal(['refuse 2 draining']);
    const late = admission.offer(callOf(3), 0);
    expect(summarize(late)).to.deep.equal(['refuse 3 draining']);
    expect(admission.inFlight).to.equal(1);
    admission.finished(1, 'answered', 5);
    expect(admission.inFlight).to.equal(0);
    admission.undrain();
    expect(summarize(admission.offer(callOf(4), 9))).to.deep.equal(['run 4']);
  });

  it('separates running calls from waiting ones after a crash', () => {
    const admission = makeAdmission(2);
    for (let id = 1; id <= 3; id++) admission.offer(callOf(id), 0);
    const {effects, running} = admission.crashed();
    expect(running.map(({id}) => id)).to.deep.equal([1, 2]);
    expect(summarize(effects)).to.deep.equal(['refuse 3 server-failed']);
    expect(admission.finished(1, 'lost', 1)).to.deep.equal([]);
  });

  it('runs one suspect at a time, and others beside it', () => {
    const admission = makeAdmission(4);
    const suspect = {suspect: true};
    const offers = [
      callOf(1, suspect),
      callOf(2, suspect),
      callOf(3),
      bulkOf(4, suspect),
    ];
    const effects = offers.flatMap(call => admission.offer(call, 0));
    expect(summarize(effects)).to.deep.equal(['run 1', 'run 3']);
    const next = admission.finished(1, 'answered', 5);
    expect(next).to.have.length(1);
  });

  it('keeps slots from bulk calls while interactive ones arrive', () => {
    const admission = makeAdmission(8);
    admission.offer(callOf(1), 0);
    for (let id = 10; id < 20; id++) admission.offer(bulkOf(id), 0);
    expect(admission.inFlight).to.equal(7);
    const effects = admission.offer(callOf(2), 0);
    expect(summarize(effects)).to.deep.equal(['run 2']);
  });

  it('gives bulk calls all slots while no interactive ones arrive', () => {
    const admission = makeAdmission(8);
    for (let id = 10; id < 30; id++) admission.offer(bulkOf(id), 0);
    expect(admission.inFlight).to.equal(8);
  });

  const shares: {slots: number; minShare: number}[] = [
    {slots: 1, minShare: 0.1},
    {slots: 5, minShare: 0.19},
    {slots: 12, minShare: 0.16},
  ];
  for (const {slots, minShare} of shares) {
    it(`does not starve bulk calls at ${slots} slots`, () => {
      const started = runSaturated(slots);
      const total = started.bulk + started.interactive;
      expect(started.bulk / total).to.be.at.least(minShare);
      expect(started.interactive / total).to.be.at.least(0.75);
    });
  }

  it('shares slots among classes of one priority by weight', () => {
    const admission = makeAdmission(8);
    const other = {class: 'city/class/control', weight: 3};
    for (let id = 0; id < 8; id++) admission.offer(callOf(id), 0);
    for (let id = 10; id < 18; id++) admission.offer(callOf(id), 0);
    for (let id = 20; id < 28; id++) admission.offer(callOf(id, other), 0);
    const effects: AdmissionEffect[] = [];
    for (let id = 0; id < 8; id++) {
      effects.push(...admission.finished(id, 'answered', 5));
    }
    expect(effects.filter(({id}) => id >= 20)).to.have.length(6);
  });

  it('lowers the limit on overload, and raises it again', () => {
    const admission = makeAdmission(12);
    let nextId = 0;
    let nowMs = 0;
    const round = (outcome: 'overloaded' | 'answered') => {
      const effects: AdmissionEffect[] = [];
      for (let i = 0; i < 12; i++) {
        effects.push(
          ...admission.offer(callOf(nextId++, {deadlineMs: 1e9}), nowMs),
        );
      }
      let running = effects.filter(({type}) => type === 'run');
      while (running.length > 0) {
        nowMs += 20;
        running = running
          .flatMap(({id}) => admission.finished(id, outcome, nowMs))
          .filter(({type}) => type === 'run');
      }
    };
    for (let i = 0; i < 20; i++) round('overloaded');
    expect(admission.load(callOf(0)).limit).to.be.at.most(3);
    nowMs += 10_000;
    for (let i = 0; i < 200; i++) round('answered');
    expect(admission.load(callOf(0)).limit).to.equal(12);
  });
});

/** Keeps both queues full, lets calls end in turn, and counts the starts. */
function runSaturated(slots: number): Record<ClassPriority, number> {
  const admission = makeAdmission(slots);
  const started = {interactive: 0, bulk: 0};
  const running: number[] = [];
  const bulkIds = new Set<number>();
  let nextId = 0;
  const apply = (effects: AdmissionEffect[]) => {
    for (const {type, id} of effects) {
      if (type !== 'run') continue;
      started[bulkIds.has(id) ? 'bulk' : 'interactive']++;
      running.push(id);
    }
  };
  for (let nowMs = 0; nowMs < 2_000; nowMs++) {
    const deadlineMs = nowMs + 5_000;
    apply(admission.offer(callOf(nextId++, {deadlineMs}), nowMs));
    bulkIds.add(nextId);
    apply(admission.offer(bulkOf(nextId++, {deadlineMs}), nowMs));
    const ended = running.shift();
    if (ended !== undefined) {
      apply(admission.finished(ended, 'answered', nowMs));
    }
  }
  return started;
}
