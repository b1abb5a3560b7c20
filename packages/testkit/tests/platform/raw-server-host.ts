/**
 * A node whose backend server writes the bytes that the test chooses, and a
 * second node, at first without a server.
 */

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
const HEARTBEAT_MS = 1_000;

/** Writes the answer to a request. */
type Answer = (socket: Socket, request: string) => void;

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
  /** Address of the second node, which `startFar` starts. */
  readonly farIp = this.ip.replace(/1$/, '2');
  private readonly folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
  private readonly store = new StoreServer();
  private readonly sockets = new Set<Socket>();
  private readonly servers: Server[] = [];
  private readonly heartbeats: NodeJS.Timeout[] = [];
  private process: ChildProcess | undefined;
  private farProcess: ChildProcess | undefined;
  private storePort = 0;

  /** `/d/whole` is answered completely; `answer` writes all other answers. */
  constructor(private readonly answer: Answer) {
    this.store.put('keyed.op', 'config', CONFIG);
  }

  get node(): ChildProcess {
    if (!this.process) throw new Error('The node has not been started.');
    return this.process;
  }

  /** Starts the node and waits until it passes requests on. */
  async start(slots: number): Promise<void> {
    this.storePort = await this.store.listen();
    this.process = this.launch(this.ip, 'node-1');
    await this.startServer(this.ip, 'i-1', slots, this.answer);
    await this.waitUntilServed(this.ip);
  }

  /** Starts the second node and waits until it passes requests to the first. */
  async startFar(): Promise<void> {
    this.farProcess = this.launch(this.farIp, 'node-2');
    await this.waitUntilServed(this.farIp);
  }

  /** Starts a server beside the second node. */
  startFarServer(slots: number, answer: Answer): Promise<void> {
    return this.startServer(this.farIp, 'i-2', slots, answer);
  }

  async stop(): Promise<void> {
    for (const heartbeat of this.heartbeats) clearInterval(heartbeat);
    await end(this.farProcess);
    await end(this.process);
    for (const socket of this.sockets) socket.destroy();
    for (const server of this.servers) server.close();
    await this.store.close();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private launch(ip: string, nodeId: string): ChildProcess {
    const path = join(this.folder, `${nodeId}.json`);
    writeFileSync(path, settings(ip, this.storePort, nodeId));
    return launch(path);
  }

  private async startServer(
    ip: string,
    id: string,
    slots: number,
    answer: Answer,
  ): Promise<void> {
    const server = createServer(socket => {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('data', chunk => {
        const text = chunk.toString('latin1');
        // Else it is the empty line by which a connection tells a reset.
        if (!text.includes('HTTP/1.1')) return;
        if (text.startsWith('GET /d/whole ')) socket.write(wholeAnswer(text));
        else answer(socket, text);
      });
    });
    this.servers.push(server);
    await new Promise<void>(resolve => server.listen(8147, ip, resolve));
    const app = new AppServer({
      id,
      service: 'desk',
      address: ip,
      port: 8147,
      control: {address: ip, port: 8146},
      workMs: 0,
      slots,
    });
    // The connection is refused until the node listens.
    const report = () => app.report('ready').catch(() => 0);
    const isReported = async () => (await report()) === 200;
    await waitUntil(isReported, START_TIMEOUT_MS);
    this.heartbeats.push(setInterval(() => void report(), HEARTBEAT_MS));
  }

  private async waitUntilServed(ip: string): Promise<void> {
    const isServed = async () => (await get(ip, '/d/whole')) === 200;
    await waitUntil(isServed, START_TIMEOUT_MS);
  }
}

async function end(node: ChildProcess | undefined): Promise<void> {
  if (node?.exitCode !== null || node.signalCode !== null) return;
  const ended = new Promise(resolve => node.once('exit', resolve));
  node.kill('SIGKILL');
  await ended;
}
