import type {Socket} from 'node:net';

import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {idLine, RawServerHost, SEAL} from './raw-server-host.js';
import {fetchAnswer, type CompleteAnswer} from './smallest-host.js';

/**
 * Time in ms within which a request ends whose answer is spoilt; its caller
 * would wait for 3 s.
 */
const AT_ONCE_MS = 1_000;
const START_TIMEOUT_MS = 10_000;

const BODY = 'hello world!';
const CHUNKS = `5\r\nhello\r\n7\r\n world!\r\n0\r\n\r\n`;
const CLOSE = 'Connection: close\r\n';
const LENGTH = 'Content-Length: 12\r\n';
const CODING = 'Transfer-Encoding: chunked\r\n';

/** What follows the status line, the proof and the id. */
type Rest = string;

function inChunks(lines: string): Rest {
  return `${lines}\r\n${CHUNKS}`;
}

function withBody(lines: string): Rest {
  return `${lines}\r\n${BODY}`;
}

/** Answers whose server closes the connection behind them. */
const CLOSED: Record<string, Rest> = {
  'a byte less in the coding': inChunks('Transfer-Encoding: chunke\r\n'),
  'a byte more in the coding': inChunks('Transfer-Encoding: chunkedd\r\n'),
  'another byte in the coding': inChunks('Transfer-Encoding: chunkeD1\r\n'),
  'an empty coding': inChunks('Transfer-Encoding: \r\n'),
  'chunked not last': inChunks('Transfer-Encoding: chunked, gzip\r\n'),
  'a second coding': inChunks('Transfer-Encoding: gzip, chunked\r\n'),
  'another coding': inChunks('Transfer-Encoding: gzip\r\n'),
  'a byte less in the name of the coding': inChunks(
    'Transfer-Encodin: chunked\r\n',
  ),
  'a byte more in the name of the coding': inChunks(
    'Transfer-Encodings: chunked\r\n',
  ),
  'a colon in the name of the coding': inChunks(
    'Transfer:Encoding: chunked\r\n',
  ),
  'an empty line before the length': withBody(`X-A: b\r\n\r\n${LENGTH}`),
  'an empty line before the coding': inChunks(`X-A: b\r\n\r\n${CODING}`),
  'a length that is too large': withBody('Content-Length: 120\r\n'),
  'another byte in the name of the length': withBody('Content-Lenght: 12\r\n'),
};

/** Answers whose server keeps the connection open. */
const KEPT: Record<string, Rest> = {
  'a length of 0': withBody('Content-Length: 0\r\n'),
  'a length without its last digit': withBody('Content-Length: 1\r\n'),
  'a length without its first digit': withBody('Content-Length: 2\r\n'),
  'an empty line after the length': withBody(`${LENGTH}\r\nX-A: b\r\n`),
  'a length that is a word': withBody('Content-Length: twelve\r\n'),
  'a length with a sign': withBody('Content-Length: +12\r\n'),
  'a hexadecimal length': withBody('Content-Length: 0xc\r\n'),
  'a list of lengths': withBody('Content-Length: 12, 12\r\n'),
  'an empty length': withBody('Content-Length: \r\n'),
  'a length with a control character': withBody('Content-Length: 1\x002\r\n'),
  'two lengths': withBody(`${LENGTH}Content-Length: 13\r\n`),
  'a length and a coding': withBody(LENGTH + CODING),
  'a folded line': withBody(`X-A: b\r\n c\r\n${LENGTH}`),
  'a line without a colon': withBody(`X-A\r\n${LENGTH}`),
  'a space before the colon': withBody(`X-A : b\r\n${LENGTH}`),
  'nothing before the colon': withBody(`: b\r\n${LENGTH}`),
  'a name with a control character': withBody(`X\x01A: b\r\n${LENGTH}`),
};

const SPOILT: Record<string, Rest> = {
  ...KEPT,
  ...CLOSED,
  ...Object.fromEntries(
    Object.entries(CLOSED).map(([name, rest]) => [
      `${name}, after a stated close`,
      CLOSE + rest,
    ]),
  ),
};
// Until the connection ends, which these state, the body is the server's.
delete SPOILT['another byte in the name of the length, after a stated close'];

const EXTRA = `HTTP/1.1 200 OK\r\n${SEAL}\r\nContent-Length: 5\r\n\r\nextra`;

const SOUND: Record<string, Rest> = {
  'with a length': withBody(LENGTH),
  'in chunks': inChunks(CODING),
  'in chunks, in another case': inChunks('TRANSFER-ENCODING: Chunked\r\n'),
  'in chunks with extensions and trailers': `${CODING}\r\nc;a=b\r\n${BODY}\r\n0;c\r\nX-T: d\r\n\r\n`,
  'that ends with the connection': CLOSE + withBody(''),
  'with lines that end in LF': withBody(LENGTH).replaceAll('\r', ''),
  'with a second answer behind': withBody(LENGTH) + EXTRA,
  'in chunks with a second answer behind': inChunks(CODING) + EXTRA,
};

/** Sound answers without a body. */
const BODYLESS: Record<
  string,
  {method: string; status: number; lines: string}
> = {
  'to HEAD': {method: 'HEAD', status: 200, lines: LENGTH},
  'to HEAD, in chunks': {method: 'HEAD', status: 200, lines: CODING},
  'with status 204': {method: 'GET', status: 204, lines: ''},
  'with status 304': {method: 'GET', status: 304, lines: ''},
  'with status 304 and a length': {method: 'GET', status: 304, lines: LENGTH},
};

const INFORMATION = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';

const WHOLE: CompleteAnswer = {status: 200, body: BODY};
const PLACES = ['near', 'far'] as const;
const PREFIXES = {unsafe: 'd', safe: 'safe', download: 'download'};
type Place = (typeof PLACES)[number];
type Kind = keyof typeof PREFIXES;
const KINDS = Object.keys(PREFIXES) as Kind[];

function nameIn(request: string): string {
  const [, name = ''] = /^\w+ \S*\/(\S+) /.exec(request) ?? [];
  return decodeURIComponent(name);
}

function headOf(request: string, status = 200): string {
  return `HTTP/1.1 ${status} Reason\r\n${SEAL}\r\n${idLine(request)}\r\n`;
}

/** Sends the answer that the path names. */
function writeAnswer(socket: Socket, request: string): void {
  const name = nameIn(request);
  const bodyless = BODYLESS[name];
  if (bodyless) {
    const {status, lines} = bodyless;
    socket.write(`${headOf(request, status)}${lines}\r\n`);
    return;
  }
  if (name in SOUND) socket.write(INFORMATION);
  const rest = SPOILT[name] ?? SOUND[name] ?? '';
  socket.write(headOf(request) + rest, 'latin1');
  if (!(name in KEPT)) socket.end();
}

async function fetchAt(
  {ip, farIp}: RawServerHost,
  place: Place,
  kind: Kind,
  name: string,
  method = 'GET',
) {
  const path = `/${PREFIXES[kind]}/${place}/${encodeURIComponent(name)}`;
  const startedMs = performance.now();
  const answer = await fetchAnswer(place === 'near' ? ip : farIp, path, method);
  const isAtOnce = performance.now() - startedMs < AT_ONCE_MS;
  return {...answer, isAtOnce};
}

// The client got a complete 200 with a body that was not the server's.
describe('an answer whose head is spoilt', function () {
  this.timeout(20_000);
  let runs = 0;
  let host: RawServerHost;

  before(async () => {
    host = new RawServerHost((socket, request) => {
      runs += 1;
      writeAnswer(socket, request);
    });
    await host.start(4);
    await host.startFar();
  });

  beforeEach(() => {
    runs = 0;
  });

  after(() => host.stop());

  for (const place of PLACES) {
    for (const kind of KINDS) {
      for (const name of Object.keys(SPOILT)) {
        it(`ends the request at once with 502: ${name}, ${kind}, ${place}`, async () => {
          const got = await fetchAt(host, place, kind, name);
          expect(got).to.include({status: 502, isAtOnce: true});
          expect(runs).to.equal(1);
        });
      }

      for (const name of Object.keys(SOUND)) {
        it(`does not concern one ${name}, ${kind}, ${place}`, async () => {
          const got = await fetchAt(host, place, kind, name);
          expect(got).to.deep.equal({...WHOLE, isAtOnce: true});
          expect(runs).to.equal(1);
        });
      }

      for (const [name, {method, status}] of Object.entries(BODYLESS)) {
        it(`does not concern one ${name}, ${kind}, ${place}`, async () => {
          const got = await fetchAt(host, place, kind, name, method);
          expect(got).to.deep.equal({status, body: '', isAtOnce: true});
          expect(runs).to.equal(1);
        });
      }
    }
  }
});

describe('an answer whose head is spoilt, beside a sound server', function () {
  this.timeout(20_000);
  /** Names of the answers that the faulty server has sent. */
  const sent = new Set<string>();
  let host: RawServerHost;

  before(async () => {
    host = new RawServerHost((socket, request) => {
      sent.add(nameIn(request));
      writeAnswer(socket, request);
    });
    await host.start(4);
    await host.startFar();
    let farRuns = 0;
    await host.startFarServer(4, (socket, request) => {
      farRuns += 1;
      socket.write(headOf(request) + withBody(LENGTH));
    });
    const isFarServerInUse = async () => {
      await fetchAt(host, 'near', 'safe', 'with a length');
      return farRuns > 0;
    };
    await waitUntil(isFarServerInUse, START_TIMEOUT_MS);
  });

  after(() => host.stop());

  it('lets a request be repeated that may be', async () => {
    sent.clear();
    for (const name of Object.keys(SPOILT)) {
      for (const place of PLACES) {
        for (const kind of ['safe', 'download'] as const) {
          const got = await fetchAt(host, place, kind, name);
          expect(got, name).to.deep.equal({...WHOLE, isAtOnce: true});
        }
      }
    }
    expect(sent).to.not.be.empty;
  });
});
