/** A node whose backend server writes the bytes that the test chooses. */

import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {waitUntil} from '../../src/mesh/wait-until.js';
import {AppServer} from '../../src/platform/app-server.js';
import {StoreServer} from '../../src/platform/store-server.js';
import {CONFIG, get, launch, settings} from './smallest-host.js';

export const SEAL = 'X-Turmericmill-Response-Seal: s';
const ID = 'X-Turmericmill-Request-Id';
const START_TIMEOUT_MS = 10_000;

/** Returns the line with the id of a request, which servers repeat. */
export function idLine(request: string): string {
  const [, id = ''] = new RegExp(`^${ID}: (.*)\r$`, 'im').exec(request) ?? [];
  return `${ID}: ${id}`;
}

/** Answers a request completely, as servers do. */
function wholeAnswer(request: string): string {
  return `HTTP/1.1 200 OK\r\n${SEAL}\r\n${idLine(request)}\r\nContent-Length: 5\r\n\r\nwhole`;
}

export class RawServerHost {
  readonly ip = `127.${220 + (process.pid % 30)}.0.1`;
  private readonly folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
  private readonly store = new StoreServer();
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  private process: ChildProcess | undefined;

  /** `/d/whole` is answered completely; `answer` writes all other answers. */
  constructor(answer: (socket: Socket, request: string) => void) {
    this.store.put('keyed.op', 'config', CONFIG);
    this.server = createServer(socket => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('data', chunk => {
        const text = chunk.toString('latin1');
        if (text.startsWith('GET /d/whole ')) socket.write(wholeAnswer(text));
        else answer(socket, text);
      });
    });
  }

  get node(): ChildProcess {
    if (!this.process) throw new Error('The node has not been started.');
    return this.process;
  }

  /** Starts the node and waits until it passes requests on. */
  async start(slots: number): Promise<void> {
    const {ip} = this;
    await new Promise<void>(resolve => this.server.listen(8147, ip, resolve));
    const path = join(this.folder, 'settings.json');
    writeFileSync(path, settings(ip, await this.store.listen()));
    this.process = launch(path);
    const app = new AppServer({
      id: 'i-1',
      service: 'desk',
      address: ip,
      port: 8147,
      control: {address: ip, port: 8146},
      workMs: 0,
      slots,
    });
    // The connection is refused until the node listens.
    const isReported = async () =>
      (await app.report('ready').catch(() => 0)) === 200;
    await waitUntil(isReported, START_TIMEOUT_MS);
    const isServed = async () => (await get(ip, '/d/whole')) === 200;
    await waitUntil(isServed, START_TIMEOUT_MS);
  }

  async stop(): Promise<void> {
    const {process} = this;
    if (process?.exitCode === null && process.signalCode === null) {
      const ended = new Promise(resolve => process.once('exit', resolve));
      process.kill('SIGKILL');
      await ended;
    }
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
    await this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }
}
