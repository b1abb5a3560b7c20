import {expect} from 'chai';

import {LogClient} from '@turmericmill/platform';
import type {
  LogError,
  LogErrorCode,
  LogPage,
  StreamBounds,
} from '@turmericmill/platform';
import {Err, ManualClock, Ok, SeededRandom} from '@turmericmill/utils';
import type {Result} from '@turmericmill/utils';

import {
  buildPublication,
  emptyConfigState,
  publish,
  PublishDecision,
} from '../../src/index.js';
import {customer, put, route} from '../fixtures.js';

/** An append that fails with `code`, with or without effect. */
interface Fault {
  code: LogErrorCode;
  takesEffect: boolean;
}

class FaultyLog extends LogClient {
  readonly bodies: string[] = [];
  appends = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly faults: (Fault | null)[],
    private readonly readFaults: (LogErrorCode | null)[] = [],
  ) {
    super();
  }

  override append(
    unusedStream: string,
    body: string,
  ): Promise<Result<number, LogError>> {
    const fault = this.faults[this.appends++] ?? null;
    this.clock.advance(5);
    if (!fault || fault.takesEffect) this.bodies.push(body);
    if (fault) return Promise.resolve(Err({code: fault.code, message: ''}));
    return Promise.resolve(Ok(this.bodies.length - 1));
  }

  override read(
    unusedStream: string,
    from: number,
  ): Promise<Result<LogPage, LogError>> {
    this.clock.advance(5);
    const code = this.readFaults.shift();
    if (code) return Promise.resolve(Err({code, message: ''}));
    const records = this.bodies
      .slice(from)
      .map((body, index) => ({offset: from + index, body}));
    return Promise.resolve(
      Ok({records, earliest: 0, next: this.bodies.length}),
    );
  }

  override bounds(): Promise<Result<StreamBounds, LogError>> {
    return Promise.resolve(Ok({earliest: 0, next: this.bodies.length}));
  }
}

const ANSWER_LOST: Fault = {code: 'outcome-unknown', takesEffect: true};
const APPEND_LOST: Fault = {code: 'outcome-unknown', takesEffect: false};
const DOWN: Fault = {code: 'unavailable', takesEffect: false};

const SMALL = put(customer('a', 'x'));
const LARGE = put(
  ...Array.from({length: 9}, (unused, index) => customer('a', `${index}`)),
  route('a', 'dangling', 'none', {headers: {'x-a': 'y'.repeat(200_000)}}),
  route('a', 'dangling2', 'none', {headers: {'x-a': 'y'.repeat(200_000)}}),
);

describe('publish', () => {
  const cases: {
    name: string;
    faults?: (Fault | null)[];
    readFaults?: (LogErrorCode | null)[];
    writes?: typeof SMALL;
    status: string;
    records: number;
  }[] = [
    {name: 'without faults', status: 'accepted', records: 1},
    {
      name: 'when the answer to an append is lost',
      faults: [ANSWER_LOST],
      status: 'accepted',
      records: 1,
    },
    {
      name: 'when an append is lost',
      faults: [APPEND_LOST],
      status: 'accepted',
      records: 1,
    },
    {
      name: 'after an outage of the log',
      faults: [DOWN, DOWN, DOWN],
      readFaults: ['unavailable', 'outcome-unknown'],
      status: 'accepted',
      records: 1,
    },
    {
      name: 'when the look-up of an append fails at first',
      faults: [ANSWER_LOST],
      readFaults: ['unavailable', 'unavailable'],
      status: 'accepted',
      records: 1,
    },
    {
      name: 'with several records whose answers are lost',
      writes: LARGE,
      faults: [ANSWER_LOST, APPEND_LOST, ANSWER_LOST],
      status: 'rejected',
      records: 2,
    },
    {
      name: 'when the log refuses the record',
      faults: [{code: 'refused', takesEffect: false}],
      status: 'refused',
      records: 0,
    },
    {
      name: 'when unread records expired',
      readFaults: ['trimmed'],
      status: 'unreadable',
      records: 1,
    },
    {
      name: 'when the log is down until the deadline',
      faults: new Array<Fault>(1000).fill(DOWN),
      status: 'unknown',
      records: 0,
    },
  ];
  for (const {name, faults, readFaults, writes, status, records} of cases) {
    it(`ends as ${status} ${name}`, async () => {
      const clock = new ManualClock();
      const log = new FaultyLog(clock, faults ?? [], readFaults ?? []);
      const decision = new PublishDecision(
        {
          id: 'p',
          bodies: buildPublication({
            id: 'p',
            team: 'a',
            author: 'tester',
            base: -1,
            writes: writes ?? SMALL,
          }).unwrap(),
          state: emptyConfigState(),
          deadlineMs: 60_000,
        },
        new SeededRandom(1),
      );
      const wait = (ms: number) => {
        clock.advance(ms);
        return Promise.resolve();
      };
      const outcome = await publish(decision, {log, clock, wait});
      expect(outcome.status).to.equal(status);
      expect(log.bodies.length).to.equal(records);
    });
  }
});
