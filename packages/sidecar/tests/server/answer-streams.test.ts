import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

import {headerOf} from '@turmericmill/node';
import {
  ANSWER_PROOF_HEADER,
  NOT_RUN_HEADER,
  REQUEST_ID_HEADER,
} from '@turmericmill/platform-adapter';
import {expect} from 'chai';
import fc from 'fast-check';

import {createAnswerBudget} from '../../src/answer-budget.js';
import {
  ServerConnection,
  type ExchangeEnd,
} from '../../src/server/server-connection.js';

/** Streams of a run in CI; `FUZZ_RUNS` and `FUZZ_SEED` set others by hand. */
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1_000);
const SEED = Number(process.env['FUZZ_SEED'] ?? 1);
/** Time in ms for the streams of a run by hand; CI has that of each test. */
const MS_PER_RUN = 20;
const OPEN_TIMEOUT_MS = 2_000;
/** Time in ms after which the server ends a stream that is not answered. */
const END_AFTER_MS = 4;

/** What the server means to answer. */
interface Meant {
  status: number;
  isRefusal: boolean;
  isChunked: boolean;
  body: string;
}

/** Bytes of an earlier answer, between two places given as shares. */
interface Stray {
  answer: number;
  from: number;
  to: number;
}

/** One exchange: the answer, what stands around it, and where reads end. */
interface Exchange {
  meant: Meant;
  before: Stray[];
  after: Stray[];
  cuts: number[];
}

function encode({status, isRefusal, isChunked, body}: Meant, index: number) {
  const lines = [
    `HTTP/1.1 ${status} Reason`,
    `${REQUEST_ID_HEADER}: q-${index}`,
    ...(isRefusal ? [`${NOT_RUN_HEADER}: 1`] : []),
    `${ANSWER_PROOF_HEADER}: s-${index}`,
  ];
  if (!isChunked) {
    lines.push(`Content-Length: ${body.length}`);
    return `${lines.join('\r\n')}\r\n\r\n${body}`;
  }
  lines.push('Transfer-Encoding: chunked');
  const chunk = body && `${body.length.toString(16)};x=y\r\n${body}\r\n`;
  return `${lines.join('\r\n')}\r\n\r\n${chunk}0\r\nX-Trailer: z\r\n\r\n`;
}

/** The pieces that the server writes for the exchange with this index. */
function piecesOf(exchanges: readonly Exchange[], index: number): string[] {
  const {meant, before, after, cuts} = exchanges[index]!;
  const strayBytes = ({answer, from, to}: Stray): string => {
    if (index === 0) return '';
    const earlier = answer % index;
    const text = encode(exchanges[earlier]!.meant, earlier);
    const places = [from, to].map(share => Math.round(share * text.length));
    return text.slice(Math.min(...places), Math.max(...places));
  };
  const stream = [
    ...before.map(strayBytes),
    encode(meant, index),
    ...after.map(strayBytes),
  ].join('');
  const ends = cuts.map(share => Math.round(share * stream.length));
  const places = [0, ...ends.sort((a, b) => a - b), stream.length];
  return places
    .slice(1)
    .map((end, i) => stream.slice(places[i], end))
    .filter(piece => piece.length > 0);
}

const share = fc.oneof(
  fc.constantFrom(0, 1),
  fc.double({min: 0, max: 1, noNaN: true}),
);
const stray = fc.record({answer: fc.nat(5), from: share, to: share});
/** Earlier answers are most often repeated from their start. */
const strays = fc.array(
  fc.oneof(
    stray,
    stray.map(one => ({...one, from: 0})),
  ),
  {maxLength: 2},
);
const meant = fc.oneof(
  fc.record({
    status: fc.constantFrom(200, 201, 404, 500),
    isRefusal: fc.constant(false),
    isChunked: fc.boolean(),
    body: fc.string({unit: fc.constantFrom('a', 'b', '1', ' '), maxLength: 20}),
  }),
  fc.record({
    status: fc.constantFrom(503, 429),
    isRefusal: fc.constant(true),
    isChunked: fc.boolean(),
    body: fc.constantFrom('', 'later'),
  }),
);
const exchange = fc.record({
  meant,
  before: strays,
  after: strays,
  cuts: fc.array(share, {maxLength: 2}),
});

describe('answer streams', () => {
  let server: Server;
  let exchanges: readonly Exchange[] = [];

  before(async () => {
    server = createServer(socket => answerAll(socket));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  after(() => server.close());

  /** Writes the pieces of one exchange after the other. */
  function answerAll(socket: Socket): void {
    const own = exchanges;
    let index = 0;
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      // Else it is the empty line by which a connection tells a reset.
      if (!bytes.toString('latin1').includes('HTTP/1.1')) return;
      const pieces = piecesOf(own, index);
      index += 1;
      void writeAll(socket, pieces);
    });
  }

  async function writeAll(socket: Socket, pieces: string[]): Promise<void> {
    for (const piece of pieces) {
      socket.write(piece, 'latin1');
      await new Promise(resolve => setImmediate(resolve));
    }
    // What is still awaited never comes.
    setTimeout(() => socket.end(), END_AFTER_MS);
  }

  function exchangeOn(
    connection: ServerConnection,
    index: number,
  ): Promise<ExchangeEnd> {
    const requestId = `q-${index}`;
    const head = Buffer.from(`GET /${requestId} HTTP/1.1\r\n\r\n`);
    return new Promise(resolve => {
      connection.exchange(
        {head, body: [], requestId, bodyless: false},
        resolve,
      );
    });
  }

  // Callers got the answer of another request, "not run" for what had run, or a
  // failure as a success, when an earlier answer came once more, whole or in part.
  it('answer each request with its own whole answer or none', async function () {
    this.timeout(20_000 + MS_PER_RUN * RUNS);
    const {port} = server.address() as AddressInfo;
    await fc.assert(
      fc.asyncProperty(
        fc.array(exchange, {minLength: 2, maxLength: 4}),
        async generated => {
          exchanges = generated;
          const connection = await ServerConnection.open(
            '127.0.0.1',
            port,
            OPEN_TIMEOUT_MS,
            createAnswerBudget(100),
          );
          for (const [index, {meant: own}] of generated.entries()) {
            const end = await exchangeOn(connection, index);
            if (end.kind !== 'answered') break;
            const {status, headers, body} = end.answer;
            expect({
              status,
              body: Buffer.concat(body).toString('latin1'),
              id: headerOf(headers, REQUEST_ID_HEADER),
              proof: headerOf(headers, ANSWER_PROOF_HEADER),
              isRefusal: headerOf(headers, NOT_RUN_HEADER) !== undefined,
            }).to.deep.equal({
              status: own.status,
              body: own.body,
              id: `q-${index}`,
              proof: `s-${index}`,
              isRefusal: own.isRefusal,
            });
          }
          connection.close('the stream is over');
        },
      ),
      {numRuns: RUNS, seed: SEED},
    );
  });
});
