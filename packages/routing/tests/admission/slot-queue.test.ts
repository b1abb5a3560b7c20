import {expect} from 'chai';

import {SlotQueue, type QueuedCall, type SlotEffect} from '../../src/index.js';

let nextId = 1;

function call(changes: Partial<QueuedCall> = {}): QueuedCall {
  nextId += 1;
  return {
    id: nextId,
    class: 'read',
    rank: 1,
    targetMs: 400,
    deadlineMs: 1500,
    acceptsLate: false,
    suspect: false,
    ...changes,
  };
}

/** A queue whose server takes 100 ms for each call. */
function trainedQueue(slots: number): SlotQueue {
  const queue = new SlotQueue(slots);
  for (let i = 0; i < 50; i++) queue.serviceTimes.record('read', 100);
  return queue;
}

function summarize(effects: SlotEffect[]): string[] {
  return effects.map(effect =>
    effect.type === 'run' ? 'run' : `refuse ${effect.reason}`,
  );
}

describe('SlotQueue', () => {
  it('runs a call at once while a slot is free, whatever the target', () => {
    const queue = trainedQueue(1);
    expect(summarize(queue.offer(call({targetMs: 50}), 0))).to.deep.equal([
      'run',
    ]);
  });

  // With a free slot; the target is at 400 ms, and late calls have 600 ms.
  for (const [acceptsLate, returnMs, expected] of [
    [false, 290, 'run'],
    [false, 310, 'refuse overload'],
    [true, 490, 'run'],
    [true, 510, 'refuse overload'],
  ] as const) {
    const kind = acceptsLate ? 'late call' : 'call';
    it(`answers "${expected}" to a ${kind} whose answer takes ${returnMs} ms back`, () => {
      const offered = call({acceptsLate, returnMs});
      const effects = trainedQueue(1).offer(offered, 0);
      expect(summarize(effects)).to.deep.equal([expected]);
    });
  }

  it('lets a call wait while it can be on time', () => {
    const queue = trainedQueue(1);
    queue.offer(call(), 0);
    expect(queue.offer(call(), 0)).to.deep.equal([]);
    expect(queue.queued).to.equal(1);
  });

  it('refuses at once a call that cannot be on time', () => {
    const queue = trainedQueue(1);
    const results = [1, 2, 3, 4, 5].map(() =>
      summarize(queue.offer(call(), 0)),
    );
    expect(results).to.deep.equal([
      ['run'],
      [],
      [],
      ['refuse overload'],
      ['refuse overload'],
    ]);
  });

  it('refuses at once a call that more urgent arrivals would make late', () => {
    const queue = trainedQueue(2);
    // Urgent calls have used half of the slots for seconds.
    let nowMs = 0;
    for (; nowMs < 5_000; nowMs += 100) {
      const urgent = call({class: 'urgent', rank: 0, targetMs: nowMs + 400});
      queue.offer({...urgent, deadlineMs: nowMs + 1_500}, nowMs);
      queue.finished(urgent.id, true, nowMs + 100);
    }
    const results = [1, 2, 3, 4].map(() => {
      const late = call({targetMs: nowMs + 400, deadlineMs: nowMs + 1_500});
      return summarize(queue.offer(late, nowMs));
    });
    // Without them, the fourth call would end after 200 of 400 ms.
    expect(results).to.deep.equal([
      ['run'],
      ['run'],
      ['refuse overload'],
      ['refuse overload'],
    ]);
  });

  it('keeps a late call while a slot is about to be free', () => {
    const queue = trainedQueue(2);
    for (let i = 0; i < 2; i++) queue.offer(call(), 0);
    expect(queue.offer(call({acceptsLate: true}), 60)).to.deep.equal([]);
  });

  it('refuses a late call at once when others wait before it', () => {
    const queue = trainedQueue(1);
    for (let i = 0; i < 3; i++) queue.offer(call({targetMs: 1000}), 0);
    const late = call({acceptsLate: true});
    expect(summarize(queue.offer(late, 0))).to.deep.equal(['refuse overload']);
  });

  it('does not count late calls before a call that can be on time', () => {
    const queue = trainedQueue(1);
    const first = call();
    queue.offer(first, 0);
    expect(queue.offer(call({acceptsLate: true}), 50)).to.deep.equal([]);
    expect(queue.waitMs(1, 50)).to.equal(50);
    const timely = call({targetMs: 300});
    queue.offer(timely, 50);
    expect(queue.finished(first.id, true, 100)[0]?.id).to.equal(timely.id);
  });

  it('gives a slot to the nearest target among the equally urgent', () => {
    const queue = trainedQueue(1);
    const first = call();
    queue.offer(first, 0);
    const firstAttempt = call({targetMs: 800});
    const retry = call({targetMs: 380});
    for (const each of [firstAttempt, retry]) queue.offer(each, 0);
    expect(queue.finished(first.id, true, 100)[0]?.id).to.equal(retry.id);
  });

  it('refuses at once a call that a more urgent one has displaced', () => {
    const queue = trainedQueue(1);
    const first = call({targetMs: 1000});
    const displaced = call({rank: 2, targetMs: 370});
    queue.offer(first, 0);
    expect(queue.offer(displaced, 0)).to.deep.equal([]);
    const urgent = call({rank: 0, targetMs: 500});
    expect(queue.offer(urgent, 50)).to.deep.equal([]);
    const second = call({rank: 0, targetMs: 600});
    expect(queue.offer(second, 50)).to.deep.equal([
      {type: 'refuse', id: displaced.id, reason: 'overload'},
    ]);
  });

  it('gives a slot to the most urgent call, then to the oldest', () => {
    const queue = trainedQueue(1);
    const first = call();
    queue.offer(first, 0);
    const older = call({rank: 2, targetMs: 1000});
    const newer = call({rank: 2, targetMs: 1000});
    const urgent = call({rank: 0, targetMs: 1000});
    for (const each of [older, newer, urgent]) queue.offer(each, 10);
    const order: number[] = [];
    let running = first.id;
    for (let now = 100; now <= 300; now += 100) {
      const [effect] = queue.finished(running, true, now);
      running = effect?.id ?? 0;
      order.push(running);
    }
    expect(order).to.deep.equal([urgent.id, older.id, newer.id]);
  });

  it('runs a call that can be on time before a late one', () => {
    const queue = trainedQueue(1);
    const first = call();
    queue.offer(first, 0);
    const late = call({acceptsLate: true, targetMs: 120});
    const timely = call();
    queue.offer(late, 0);
    queue.offer(timely, 0);
    expect(queue.finished(first.id, true, 100)[0]?.id).to.equal(timely.id);
  });

  it('refuses a waiting call once it can no longer be on time', () => {
    const queue = trainedQueue(1);
    queue.offer(call(), 0);
    queue.offer(call(), 0);
    expect(queue.expire(280)).to.deep.equal([]);
    expect(summarize(queue.expire(300))).to.deep.equal(['refuse overload']);
  });

  it('refuses a late call that has waited its maximum time', () => {
    const queue = trainedQueue(2);
    for (let i = 0; i < 2; i++) queue.offer(call(), 0);
    queue.offer(call({acceptsLate: true}), 60);
    // Two fifths of 1,440 ms, less the 100 ms that the call takes.
    expect(queue.expire(530)).to.deep.equal([]);
    expect(summarize(queue.expire(540))).to.deep.equal(['refuse overload']);
  });

  it('gives the deadline as the reason when it ends a wait', () => {
    const queue = trainedQueue(1);
    queue.offer(call(), 0);
    queue.offer(call({deadlineMs: 400}), 0);
    expect(summarize(queue.expire(360))).to.deep.equal(['refuse deadline']);
  });

  it('runs one suspect at a time', () => {
    const queue = trainedQueue(3);
    expect(summarize(queue.offer(call({suspect: true}), 0))).to.deep.equal([
      'run',
    ]);
    expect(summarize(queue.offer(call({suspect: true}), 0))).to.deep.equal([]);
    expect(queue.inFlight).to.equal(1);
  });

  it('refuses all calls once closed, and accepts calls once reopened', () => {
    const queue = trainedQueue(1);
    queue.offer(call(), 0);
    queue.offer(call(), 0);
    expect(summarize(queue.close('draining'))).to.deep.equal([
      'refuse draining',
    ]);
    expect(summarize(queue.offer(call(), 0))).to.deep.equal([
      'refuse draining',
    ]);
    expect(queue.limit).to.equal(0);
    queue.reopen();
    expect(summarize(queue.offer(call(), 0))).to.deep.equal([]);
  });

  it('reports the wait by rank', () => {
    const queue = trainedQueue(2);
    for (let i = 0; i < 4; i++) queue.offer(call({rank: 2}), 0);
    expect(queue.waitMs(2, 0)).to.equal(200);
    expect(queue.waitMs(0, 0)).to.equal(100);
  });
});
