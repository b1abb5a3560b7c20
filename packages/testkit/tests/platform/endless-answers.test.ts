import type {ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';

import {expect} from 'chai';

import {RawServerHost, SEAL} from './raw-server-host.js';
import {get, MEMORY_MB} from './smallest-host.js';

const SLOTS = 13;
/** Number of requests for each path with an endless answer. */
const ROUNDS = 5;
const CHUNKED = `HTTP/1.1 200 OK\r\n${SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n`;

/** Endless answers: a prefix that is sent once, and a block that repeats. */
const ENDLESS: readonly (readonly [prefix: string, block: string])[] = [
  [
    `HTTP/1.1 200 OK\r\n${SEAL}\r\nConnection: close\r\n\r\n`,
    'x'.repeat(65_536),
  ],
  [`${CHUNKED}fffffffffff\r\n`, 'x'.repeat(65_536)],
  [CHUNKED, '1\r\nx\r\n'.repeat(10_000)],
  [CHUNKED, `200\r\n${'x'.repeat(512)}\r\n`.repeat(128)],
  [`${CHUNKED}1;`, 'x'.repeat(65_536)],
  [`${CHUNKED}0\r\n`, 'X-More: x\r\n'.repeat(5_000)],
  [`HTTP/1.1 200 OK\r\nX-Long: `, 'x'.repeat(65_536)],
  ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000)],
];

/** Sends the Nth endless answer for `/d/N`. */
function answerEndlessly(socket: Socket, request: string): void {
  const [, name] = /^GET \/d\/(\w+) /.exec(request) ?? [];
  const [prefix, block] = ENDLESS[Number(name) % ENDLESS.length] ?? [];
  if (prefix === undefined || block === undefined) return;
  socket.write(prefix);
  const endless = function* () {
    for (;;) yield Buffer.from(block);
  };
  Readable.from(endless()).pipe(socket);
}

/** Peak resident memory of a process, in MB. */
function peakMemoryMb({pid}: ChildProcess): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  const [, kib] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kib) / 1024;
}

describe('a sidecar whose backend server sends endless answers', function () {
  this.timeout(20_000);
  let host: RawServerHost;

  beforeEach(async () => {
    host = new RawServerHost(answerEndlessly);
    await host.start(SLOTS);
  });

  afterEach(() => host.stop());

  it('answers every request within the memory of the smallest host', async () => {
    const {ip, node} = host;
    const paths = [...Array(SLOTS - 1).keys()].map(i => `/d/${i}`);
    const requestRepeatedly = async (path: string) => {
      const statuses: number[] = [];
      for (let i = 0; i < ROUNDS; i++) statuses.push(await get(ip, path));
      return statuses;
    };
    const endlessStatuses = Promise.all(paths.map(requestRepeatedly));
    const wholeStatuses: number[] = [];
    for (let i = 0; i < 10; i++) wholeStatuses.push(await get(ip, '/d/whole'));
    const statuses = new Set((await endlessStatuses).flat());
    expect([node.exitCode, node.signalCode]).to.deep.equal([null, null]);
    expect(peakMemoryMb(node), 'peak memory in MB').to.be.below(MEMORY_MB);
    // 502: not a valid answer. 504: no complete answer by the deadline.
    expect([502, 504]).to.include.members([...statuses]);
    expect(new Set(wholeStatuses)).to.deep.equal(new Set([200]));
  });
});
