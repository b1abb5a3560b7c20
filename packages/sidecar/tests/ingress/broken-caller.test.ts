import {
  createServer,
  request,
  type IncomingMessage,
  type Server,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';

import {NO_LOAD, type AttemptEnd, type CallLeg} from '@turmericmill/node';
import {ByteBudget, SystemClock} from '@turmericmill/utils';
import type {FlatHeaders} from '@turmericmill/wire';
import {expect} from 'chai';

import type {AnswerHolder} from '../../src/answer-budget.js';
import {BufferedAnswer} from '../../src/ingress/buffered-answer.js';
import {CallerRequest} from '../../src/ingress/caller-request.js';
import type {RoutedRequest} from '../../src/ingress/routed-request.js';
import {ServerAttempt} from '../../src/ingress/server-attempt.js';

const LEG: CallLeg = {
  data: () => undefined,
  end: () => undefined,
  credit: () => undefined,
  cancel: () => undefined,
};

/** A step of the caller's side that throws, and what the caller gets. */
const STEPS: Record<string, {status: number}> = {
  start: {status: 502},
  data: {status: 0},
  end: {status: 0},
};

// An exception while an answer was passed on left its caller without any answer
// and closed the connection between nodes with all calls on it.
describe('an answer that cannot be passed on', () => {
  const clock = new SystemClock();
  let server: Server;
  let onCaller: (caller: CallerRequest) => void;

  /** Resolves with the status and headers; 0 for a broken connection. */
  async function call(): Promise<Partial<IncomingMessage>> {
    const {port} = server.address() as AddressInfo;
    return new Promise(resolve => {
      const req = request({host: '127.0.0.1', port, agent: false}, res => {
        res.resume();
        res.once('end', () => resolve(res));
        res.once('error', () => resolve({statusCode: 0}));
      });
      req.once('error', () => resolve({statusCode: 0}));
      req.end();
    });
  }

  beforeEach(async () => {
    server = createServer((req, res) => {
      onCaller(new CallerRequest(req, res, clock));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Passes an answer on; answers 502 if the attempt fails. */
  async function passOn(
    caller: CallerRequest,
    headers: FlatHeaders,
  ): Promise<AttemptEnd> {
    const deadlineMs = clock.now() + 1_000;
    const routed = {caller, deadlineMs} as RoutedRequest;
    const budget = new ByteBudget<AnswerHolder>(1_000);
    const answer = new BufferedAnswer('GET', caller, budget);
    const attempt = new ServerAttempt(routed, answer, clock);
    const ended = attempt.run(() => LEG);
    attempt.answerStart(200, headers, {...NO_LOAD});
    attempt.answerData(Buffer.from('whole'));
    attempt.answerEnd();
    const end = await ended;
    if (end.kind === 'failed') {
      caller.sendLocalAnswer({status: 502, reason: 'server-failed'});
    }
    return end;
  }

  for (const [step, {status}] of Object.entries(STEPS)) {
    it(`ends its request at once: ${step}`, async () => {
      const ends: Promise<AttemptEnd>[] = [];
      onCaller = caller => {
        Object.assign(caller, {
          [step]: () => {
            throw new Error('injected');
          },
        });
        ends.push(passOn(caller, []));
      };
      const {statusCode} = await call();
      expect(statusCode).to.equal(status);
      const [end] = await Promise.all(ends);
      expect(end?.kind).to.equal(status === 0 ? 'cut' : 'failed');
    });
  }

  it('passes on an answer with a Trailer line and a length, without the line', async () => {
    onCaller = caller => {
      const headers = ['Trailer', 'X-Checksum', 'Content-Length', '5'];
      void passOn(caller, headers);
    };
    const {statusCode, headers} = await call();
    expect(statusCode).to.equal(200);
    expect(headers).to.include({'content-length': '5'});
    expect(headers).to.not.have.property('trailer');
  });

  it('leaves other answers alone when its buffer is freed', () => {
    const budget = new ByteBudget<AnswerHolder>(10);
    const broken = new BufferedAnswer(
      'GET',
      {
        start: () => {
          throw new Error('injected');
        },
        data: () => undefined,
        end: () => undefined,
      },
      budget,
    );
    const errors: unknown[] = [];
    broken.onBroken = err => errors.push(err);
    broken.start(200, []);
    broken.data(Buffer.alloc(8));
    const sink = {
      start: () => undefined,
      data: () => undefined,
      end: () => undefined,
    };
    const other = new BufferedAnswer('GET', sink, budget);
    other.start(200, []);
    other.data(Buffer.alloc(4));
    expect(errors).to.have.length(1);
    expect(other.end()).to.equal(true);
  });
});
