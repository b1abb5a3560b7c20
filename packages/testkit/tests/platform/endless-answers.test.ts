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
/** How often each answer without end is asked for. */
const ROUNDS = 5;
const SEAL = 'X-Turmericmill-Response-Seal: s';
const CHUNKED = `HTTP/1.1 200 OK\r\n${SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const WHOLE = `HTTP/1.1 200 OK\r\n${SEAL}\r\nContent-Length: 5\r\n\r\nwhole`;

/** What the server sends at first, and again and again behind it. */
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

/** Answers `/d/whole`, and without end the path `/d/N` with the Nth bytes. */
function serve(socket: Socket): void {
  socket.on('error', () => socket.destroy());
  socket.on('data', chunk => {
    const [, name] = /^GET \/d\/(\w+) /.exec(chunk.toString('latin1')) ?? [];
    if (name === 'whole') socket.write(WHOLE);
    const [prefix, block] = ENDLESS[Number(name) % ENDLESS.length] ?? [];
    if (prefix === undefined || block === undefined) return;
    socket.write(prefix);
    const endless = function* () {
      for (;;) yield Buffer.from(block);
    };
    Readable.from(endless()).pipe(socket);
  });
}

/** Most memory in MB that a process has had in use. */
function peakMemoryMb({pid}: ChildProcess): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  const [, kib] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kib) / 1024;
}

describe('a node beside a server whose answers have no end', function () {
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
      serve(socket);
    });
    await new Promise<void>(resolve => server.listen(8147, ip, resolve));
    const path = join(folder, 'settings.yaml');
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
    const reported = async () => {
      try {
        return (await app.report('ready')) === 200;
      } catch {
        // Refused until the node listens.
        return false;
      }
    };
    await waitUntil(reported, 10_000);
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

  it('answers all requests and keeps within the memory of the smallest host', async () => {
    const paths = [...Array(SLOTS - 1).keys()].map(i => `/d/${i}`);
    const again = async (path: string) => {
      const statuses: number[] = [];
      for (let i = 0; i < ROUNDS; i++) statuses.push(await get(ip, path));
      return statuses;
    };
    const endless = Promise.all(paths.map(again));
    const whole: number[] = [];
    for (let i = 0; i < 10; i++) whole.push(await get(ip, '/d/whole'));
    const statuses = new Set((await endless).flat());
    expect([node.exitCode, node.signalCode]).to.deep.equal([null, null]);
    expect(peakMemoryMb(node), 'peak memory in MB').to.be.below(MEMORY_MB);
    // 502: not an answer. 504: no answer by the deadline.
    expect([502, 504]).to.include.members([...statuses]);
    expect(new Set(whole)).to.deep.equal(new Set([200]));
  });
});
