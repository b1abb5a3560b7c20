import {ByteBudget} from '@turmericmill/utils';
import {expect} from 'chai';

import {reserveBytes, type AnswerHolder} from '../../src/answer-budget.js';
import {BufferedAnswer} from '../../src/ingress/buffered-answer.js';

const MAX_BYTES = 10;

/** Answers that share a budget; records what their callers receive. */
class Fixture {
  readonly seen: string[] = [];
  readonly budget = new ByteBudget<AnswerHolder>(MAX_BYTES);

  /** Returns an answer whose status and headers have arrived. */
  answer(name: string): BufferedAnswer {
    const record = (text: string) => this.seen.push(`${name}: ${text}`);
    const caller = {
      start: (status: number, headers: string[]) => {
        record([status, ...headers].join(' '));
      },
      data: (chunk: Uint8Array) => {
        record(Buffer.from(chunk).toString());
      },
      end: () => {
        record('end');
      },
    };
    const answer = new BufferedAnswer('GET', caller, this.budget);
    answer.start(200, []);
    return answer;
  }
}

describe('BufferedAnswer', () => {
  let fixture: Fixture;

  beforeEach(() => {
    fixture = new Fixture();
  });

  it('is forwarded at its end, in its own chunks', () => {
    const answer = fixture.answer('a');
    answer.data(Buffer.from('one'));
    answer.data(Buffer.from('two'));
    expect(fixture.seen).to.deep.equal([]);
    expect(answer.end()).to.equal(true);
    const whole = ['a: 200 content-length 6', 'a: one', 'a: two', 'a: end'];
    expect(fixture.seen).to.deep.equal(whole);
    expect(fixture.budget.reservedBytes).to.equal(0);
  });

  it('is not forwarded when it is shorter than its content-length', () => {
    const answer = fixture.answer('a');
    answer.start(200, ['content-length', '7']);
    answer.data(Buffer.from('one'));
    expect(answer.end()).to.equal(false);
    expect(fixture.seen).to.deep.equal([]);
  });

  it('does not end when streamed and shorter than its content-length', () => {
    const answer = fixture.answer('a');
    answer.start(200, ['content-length', '20']);
    answer.data(Buffer.from('more than ten'));
    expect(answer.end()).to.equal(false);
    const streamed = ['a: 200 content-length 20', 'a: more than ten'];
    expect(fixture.seen).to.deep.equal(streamed);
  });

  it('releases its bytes when it is discarded', () => {
    const answer = fixture.answer('a');
    answer.data(Buffer.from('one'));
    answer.discard();
    expect(fixture.budget.reservedBytes).to.equal(0);
    expect(fixture.seen).to.deep.equal([]);
  });

  it('streams the largest answer when the budget is exceeded', () => {
    const large = fixture.answer('large');
    const small = fixture.answer('small');
    large.data(Buffer.from('123456'));
    small.data(Buffer.from('1234'));
    small.data(Buffer.from('5'));
    expect(large.isStreaming).to.equal(true);
    expect(small.isStreaming).to.equal(false);
    expect(fixture.seen).to.deep.equal(['large: 200', 'large: 123456']);
    expect(fixture.budget.reservedBytes).to.equal(5);
  });

  it('forwards each chunk as it arrives once it is streamed', () => {
    const answer = fixture.answer('a');
    answer.data(Buffer.from('more than ten'));
    answer.data(Buffer.from('bytes'));
    expect(answer.end()).to.equal(true);
    const streamed = ['a: 200', 'a: more than ten', 'a: bytes', 'a: end'];
    expect(fixture.seen).to.deep.equal(streamed);
    expect(fixture.budget.reservedBytes).to.equal(0);
  });

  it('is buffered beside another answer within the budget', () => {
    const waiting = fixture.answer('waiting');
    waiting.data(Buffer.from('12345'));
    const answer = fixture.answer('a');
    answer.data(Buffer.from('12345'));
    expect(answer.end()).to.equal(true);
    expect(waiting.isStreaming).to.equal(false);
    expect(fixture.budget.reservedBytes).to.equal(5);
  });

  it('stays buffered when a larger answer of the server is discarded', () => {
    const seen: string[] = [];
    reserveBytes(fixture.budget, {freeBuffer: () => seen.push('discarded')}, 8);
    const answer = fixture.answer('a');
    answer.data(Buffer.from('123'));
    expect(seen).to.deep.equal(['discarded']);
    expect(answer.isStreaming).to.equal(false);
    expect(fixture.budget.reservedBytes).to.equal(3);
  });
});
