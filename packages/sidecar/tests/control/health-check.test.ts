import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';

import {expect} from 'chai';

import {askHealthyServerId} from '../../src/control/health-check.js';

/** Time limit in ms for any answer, or none, to be judged. */
const JUDGED_MS = 1_500;
const ID = 'x-turmericmill-instance-id: i-1\r\n';

interface Case {
  /** The bytes of the server; none: it does not answer. */
  answer?: string;
  /** Repeats the bytes until the connection closes. */
  isEndless?: boolean;
  expected: string | undefined;
}

const CASES: Record<string, Case> = {
  healthy: {answer: `HTTP/1.1 200 OK\r\n${ID}\r\n`, expected: 'i-1'},
  leaving: {
    answer: `HTTP/1.1 503 Service Unavailable\r\n${ID}\r\n`,
    expected: undefined,
  },
  'another server': {
    answer: `HTTP/1.1 421 Misdirected Request\r\n${ID}\r\n`,
    expected: undefined,
  },
  'no id': {answer: 'HTTP/1.1 200 OK\r\n\r\n', expected: undefined},
  'two ids': {
    answer: `HTTP/1.1 200 OK\r\n${ID}${ID.replace('i-1', 'i-2')}\r\n`,
    expected: 'i-1, i-2',
  },
  'a head that breaks off': {
    answer: `HTTP/1.1 200 OK\r\n${ID}`,
    expected: undefined,
  },
  'bytes that are no answer': {answer: 'hello\r\n\r\n', expected: undefined},
  'a head without end': {
    answer: `HTTP/1.1 200 OK\r\n${'x: y\r\n'.repeat(5_000)}`,
    isEndless: true,
    expected: undefined,
  },
  'no answer': {expected: undefined},
};

describe('askHealthyServerId', () => {
  let server: Server;
  let request = '';

  async function ask({answer, isEndless}: Case): Promise<string | undefined> {
    server = createServer(socket => {
      socket.on('error', () => socket.destroy());
      socket.once('data', (chunk: Buffer) => {
        request = chunk.toString();
        if (answer === undefined) return;
        if (!isEndless) {
          socket.end(answer);
          return;
        }
        const write = () => {
          if (!socket.destroyed) {
            socket.write(answer, () => setImmediate(write));
          }
        };
        write();
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    return askHealthyServerId({address: '127.0.0.1', port}, '/health');
  }

  afterEach(() => server.close());

  for (const [name, testCase] of Object.entries(CASES)) {
    it(`judges an answer: ${name}`, async () => {
      const startedMs = performance.now();
      expect(await ask(testCase)).to.equal(testCase.expected);
      expect(performance.now() - startedMs).to.be.below(JUDGED_MS);
      expect(request).to.match(/^GET \/health HTTP\/1\.1\r\n/);
    });
  }

  it('resolves if no server listens', async () => {
    await ask({answer: 'x', expected: undefined});
    const {port} = server.address() as AddressInfo;
    server.close();
    await once(server, 'close');
    const id = await askHealthyServerId({address: '127.0.0.1', port}, '/');
    expect(id).to.equal(undefined);
  });
});
