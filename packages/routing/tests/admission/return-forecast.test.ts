import {expect} from 'chai';

import {
  AnswerLink,
  ReturnForecast,
} from '../../src/admission/return-forecast.js';
import {SlotQueue} from '../../src/admission/slot-queue.js';

/** A link of 12 Mbit/s. */
class TestLink extends AnswerLink {
  override readonly bytesPerMs = 1_500;
  override readonly shortBytes = 4_096;
  bytes = 0;

  override waitingBytes(): number {
    return this.bytes;
  }
}

const ANSWER_BYTES = 90_000;
const TRANSFER_MS = ANSWER_BYTES / 1_500;

describe('ReturnForecast', () => {
  let link: TestLink;
  let forecast: ReturnForecast;

  beforeEach(() => {
    link = new TestLink();
    forecast = new ReturnForecast(link);
    for (let i = 0; i < 20; i++) {
      forecast.recordAnswer('download', ANSWER_BYTES);
      forecast.recordAnswer('read', 600);
    }
  });

  it('is the time of the transfer at a free link', () => {
    expect(forecast.returnMs('download', [], 150)).to.equal(TRANSFER_MS);
  });

  it('adds the answers that wait or are about to, but for those that leave meanwhile', () => {
    link.bytes = 4 * ANSWER_BYTES;
    const running = ['download', 'read', 'download'];
    expect(forecast.returnMs('download', running, 150)).to.equal(
      6 * TRANSFER_MS - 150 + TRANSFER_MS,
    );
  });

  it('is 0 for short answers and for a class without any', () => {
    link.bytes = 40 * ANSWER_BYTES;
    expect(forecast.returnMs('read', ['download'], 50)).to.equal(0);
    expect(forecast.returnMs('new', ['download'], 50)).to.equal(0);
  });

  // Guards against a server that runs calls all of whose answers are late.
  it('keeps answers on time at three times the load of the link', () => {
    const queue = new SlotQueue(8);
    const targetMs = 700;
    const serviceMs = 150;
    let refused = 0;
    let linkFreeAtMs = 0;
    const lateness: number[] = [];
    const running = new Map<number, number>();
    let nextId = 0;
    for (let now = 0; now < 20_000; now += 1) {
      for (const [id, endMs] of running) {
        if (endMs > now) continue;
        running.delete(id);
        queue.finished(id, true, now);
        linkFreeAtMs = Math.max(now, linkFreeAtMs) + TRANSFER_MS;
        lateness.push(linkFreeAtMs - (endMs - serviceMs) - targetMs);
      }
      if (now % (TRANSFER_MS / 3) !== 0) continue;
      link.bytes = Math.max(0, linkFreeAtMs - now) * link.bytesPerMs;
      const classes = [...running].map(() => 'download');
      const call = {
        id: (nextId += 1),
        class: 'download',
        rank: 0,
        targetMs: now + targetMs,
        deadlineMs: now + 2_900,
        returnMs: forecast.returnMs('download', classes, serviceMs),
        acceptsLate: false,
        suspect: false,
      };
      for (const effect of queue.offer(call, now)) {
        if (effect.type === 'run') running.set(effect.id, now + serviceMs);
        else refused += 1;
      }
    }
    const late = lateness.filter(ms => ms > 0);
    expect(late.length / lateness.length).to.be.at.most(0.05);
    // The link stays in use: a third of the calls are answered.
    expect(lateness.length / nextId).to.be.above(0.3);
    expect(refused).to.equal(nextId - lateness.length - running.size);
  });
});
