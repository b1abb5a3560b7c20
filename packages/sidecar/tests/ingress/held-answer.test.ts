import {ByteBudget} from '@turmericmill/utils';
import {expect} from 'chai';

import {reserveBytes, type AnswerHolder} from '../../src/answer-budget.js';
import {HeldAnswer} from '../../src/ingress/held-answer.js';

const MAX_BYTES = 10;

/** Answers that share a budget; records what their callers see. */
class Fixture {
  readonly seen: string[] = [];
  readonly budget = new ByteBudget<AnswerHolder>(MAX_BYTES);

  /** An answer whose head has come. */
  answer(name: string): HeldAnswer {
    const see = (text: string) => this.seen.push(`${name}: ${text}`);
    const caller = {
      start: (status: number, headers: string[]) => {
        see([status, ...headers].join(' '));
      },
      data: (chunk: Uint8Array) => {
        see(Buffer.from(chunk).toString());
      },
      end: () => {
        see('end');
      },
    };
    const answer = new HeldAnswer('GET', caller, this.budget);
    answer.start(200, []);
    return answer;
  }
}

describe('HeldAnswer', () => {
  let fixture: Fixture;

  beforeEach(() => {
    fixture = new Fixture();
  });

  it('is passed on at its end, in its own chunks', () => {
    const answer = fixture.answer('a');
    answer.data(Buffer.from('one'));
    answer.data(Buffer.from('two'));
    expect(fixture.seen).to.deep.equal([]);
    expect(answer.end()).to.equal(true);
    const whole = ['a: 200 content-length 6', 'a: one', 'a: two', 'a: end'];
    expect(fixture.seen).to.deep.equal(whole);
    expect(fixture.budget.heldBytes).to.equal(0);
  });

  it('is not passed on when it is shorter than it states', () => {
    const answer = fixture.answer('a');
    answer.start(200, ['content-length', '7']);
    answer.data(Buffer.from('one'));
    expect(answer.end()).to.equal(false);
    expect(fixture.seen).to.deep.equal([]);
  });

  it('does not end when it is streamed and shorter than it states', () => {
    const answer = fixture.answer('a');
    answer.start(200, ['content-length', '20']);
    answer.data(Buffer.from('more than ten'));
    expect(answer.end()).to.equal(false);
    const streamed = ['a: 200 content-length 20', 'a: more than ten'];
    expect(fixture.seen).to.deep.equal(streamed);
  });

  it('leaves no bytes in the budget when it is dropped', () => {
    const answer = fixture.answer('a');
    answer.data(Buffer.from('one'));
    answer.drop();
    expect(fixture.budget.heldBytes).to.equal(0);
    expect(fixture.seen).to.deep.equal([]);
  });

  it('streams the largest answer when the budget is spent', () => {
    const large = fixture.answer('large');
    const small = fixture.answer('small');
    large.data(Buffer.from('123456'));
    small.data(Buffer.from('1234'));
    small.data(Buffer.from('5'));
    expect(large.isStreaming).to.equal(true);
    expect(small.isStreaming).to.equal(false);
    expect(fixture.seen).to.deep.equal(['large: 200', 'large: 123456']);
    expect(fixture.budget.heldBytes).to.equal(5);
  });

  it('goes on as it comes once it is streamed', () => {
    const answer = fixture.answer('a');
    answer.data(Buffer.from('more than ten'));
    answer.data(Buffer.from('bytes'));
    expect(answer.end()).to.equal(true);
    const streamed = ['a: 200', 'a: more than ten', 'a: bytes', 'a: end'];
    expect(fixture.seen).to.deep.equal(streamed);
    expect(fixture.budget.heldBytes).to.equal(0);
  });

  it('holds one chunk each, whatever else is held', () => {
    const waiting = fixture.answer('waiting');
    waiting.data(Buffer.from('12345'));
    const answer = fixture.answer('a');
    answer.data(Buffer.from('12345'));
    expect(answer.end()).to.equal(true);
    expect(waiting.isStreaming).to.equal(false);
    expect(fixture.budget.heldBytes).to.equal(5);
  });

  it('is held on beside a larger answer of the server', () => {
    const seen: string[] = [];
    reserveBytes(fixture.budget, {freeBuffer: () => seen.push('dropped')}, 8);
    const answer = fixture.answer('a');
    answer.data(Buffer.from('123'));
    expect(seen).to.deep.equal(['dropped']);
    expect(answer.isStreaming).to.equal(false);
    expect(fixture.budget.heldBytes).to.equal(3);
  });
});
