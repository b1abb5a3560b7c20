import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Readable} from 'node:stream';

import {expect} from 'chai';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {AppServer} from '../../src/platform/app-server.js';
import {StoreServer} from '../../src/platform/store-server.js';
import {CONFIG, get, launch, MEMORY_MB, settings} from './smallest-host.js';

const SLOTS = 13;
/** Number of requests for each path with an endless answer. */
const ROUNDS = 5;
const SEAL = 'X-Turmericmill-Response-Seal: s';
const CHUNKED = `HTTP/1.1 200 OK\r\n${SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const ID = 'X-Turmericmill-Request-Id';

/** Endless answers: a prefix that is sent once, and a block that repeats. */
const ENDLESS: readonly (readonly [prefix: string, block: string])[] = [
  [`HTTP/1.1 200 OK\r\n${SEAL}\r\n\r\n`, 'x'.repeat(65_536)],
  [`${CHUNKED}fffffffffff\r\n`, 'x'.repeat(65_536)],
  [CHUNKED, '1\r\nx\r\n'.repeat(10_000)],
  [CHUNKED, `200\r\n${'x'.repeat(512)}\r\n`.repeat(128)],
  [`${CHUNKED}1;`, 'x'.repeat(65_536)],
  [`${CHUNKED}0\r\n`, 'X-More: x\r\n'.repeat(5_000)],
  [`HTTP/1.1 200 OK\r\nX-Long: `, 'x'.repeat(65_536)],
  ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000)],
];

/** Answers a request with its id, as servers do. */
function wholeAnswer(request: string): string {
  const [, id = ''] = new RegExp(`^${ID}: (.*)\r$`, 'im').exec(request) ?? [];
  return `HTTP/1.1 200 OK\r\n${SEAL}\r\n${ID}: ${id}\r\nContent-Length: 5\r\n\r\nwhole`;
}

/** Sends a complete answer for `/d/whole`, the Nth endless one for `/d/N`. */
function handleConnection(socket: Socket): void {
  socket.on('error', () => socket.destroy());
  socket.on('data', chunk => {
    const text = chunk.toString('latin1');
    const [, name] = /^GET \/d\/(\w+) /.exec(text) ?? [];
    if (name === 'whole') socket.write(wholeAnswer(text));
    const [prefix, block] = ENDLESS[Number(name) % ENDLESS.length] ?? [];
    if (prefix === undefined || block === undefined) return;
    socket.write(prefix);
    const endless = function* () {
      for (;;) yield Buffer.from(block);
    };
    Readable.from(endless()).pipe(socket);
  });
}

/** Peak resident memory of a process, in MB. */
function peakMemoryMb({pid}: ChildProcess): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  const [, kib] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kib) / 1024;
}

describe('a sidecar whose backend server sends endless answers', function () {
  this.timeout(20_000);
  const ip = `127.${220 + (process.pid % 30)}.0.1`;
  let folder: string;
  let store: StoreServer;
  let server: Server;
  let sockets: Set<Socket>;
  let node: ChildProcess;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
    store = new StoreServer();
    store.put('keyed.op', 'config', CONFIG);
    sockets = new Set();
    server = createServer(socket => {
      sockets.add(socket);
      handleConnection(socket);
    });
    await new Promise<void>(resolve => server.listen(8147, ip, resolve));
    const path = join(folder, 'settings.json');
    writeFileSync(path, settings(ip, await store.listen()));
    node = launch(path);
    const app = new AppServer({
      id: 'i-1',
      service: 'desk',
      address: ip,
      port: 8147,
      control: {address: ip, port: 8146},
      workMs: 0,
      slots: SLOTS,
    });
    const isReported = async () => {
      try {
        return (await app.report('ready')) === 200;
      } catch {
        // The connection is refused until the node listens.
        return false;
      }
    };
    await waitUntil(isReported, 10_000);
    await waitUntil(async () => (await get(ip, '/d/whole')) === 200, 10_000);
  });

  afterEach(async () => {
    const ended = new Promise(resolve => node.once('exit', resolve));
    if (node.exitCode === null && node.signalCode === null) {
      node.kill('SIGKILL');
      await ended;
    }
    for (const socket of sockets) socket.destroy();
    server.close();
    await store.close();
    rmSync(folder, {recursive: true, force: true});
  });

  it('answers every request within the memory of the smallest host', async () => {
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
