/** Stand-in for a backend server: announces itself and answers calls. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

import {
  Announcer,
  type AnnouncedState,
  type Announcement,
} from './announcer.js';
import {HealthHistory} from './health-report.js';
import {RunLedger, type RunEnd, type RunRecord} from './run-ledger.js';
import {
  GOOD_BEHAVIOUR,
  workTimeMs,
  type ServerBehaviour,
} from './server-behaviour.js';

const DEADLINE_HEADER = 'x-turmericmill-deadline-ms';
const KEEP_ALIVE_MS = 60_000;
/** Longest delay that the timers of Node.js support. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Options of a backend server. */
export interface BackendServerOptions {
  name: string;
  /** Backend server group as `team/name`. */
  group: string;
  slots: number;
  connections: number;
  /** Base URL of the announce listener of the node on the same host. */
  announceUrl: string;
  /** Initial run time of a call, in ms. */
  workMs?: number;
}

/** Answers each call with the request ID and the body that it was sent with. */
export class BackendServer {
  behaviour: ServerBehaviour;
  private server: Server | undefined;
  private announcer: Announcer | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new WeakSet<Socket>();
  private readonly health = new HealthHistory();
  private incarnation = 0;
  private startedAtMs = 0;
  private port = 0;
  private inFlight = 0;
  private state: AnnouncedState = 'ready';

  constructor(
    private readonly options: BackendServerOptions,
    readonly ledger = new RunLedger(),
  ) {
    this.behaviour = {...GOOD_BEHAVIOUR, workMs: options.workMs ?? 0};
  }

  get name(): string {
    return this.options.name;
  }

  /** Runs of this server and of all servers that share its ledger. */
  get runs(): readonly RunRecord[] {
    return this.ledger.runs;
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Starts a new incarnation on loopback and announces it. */
  async start(): Promise<void> {
    this.startedAtMs = Date.now();
    this.incarnation = Math.max(this.incarnation + 1, this.startedAtMs);
    this.state = 'ready';
    const server = createServer(
      (req, res) => void this.handleRequest(req, res),
    );
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.on('connection', socket => this.track(socket));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    this.server = server;
    this.port = (server.address() as AddressInfo).port;
    const {announceUrl} = this.options;
    this.announcer = new Announcer(announceUrl, () => this.buildAnnouncement());
    await this.announcer.start();
  }

  /** Announces that the server is draining; calls in flight continue. */
  async drain(): Promise<void> {
    this.state = 'draining';
    await this.announcer?.announce();
  }

  /** Stops the announcements and closes all connections. */
  async stop(): Promise<void> {
    const {server} = this;
    this.server = undefined;
    await this.announcer?.stop();
    if (!server) return;
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  }

  /** Resets all connections and stops; `start` starts a new incarnation. */
  async crash(): Promise<void> {
    for (const socket of this.sockets) socket.resetAndDestroy();
    await this.stop();
  }

  /**
   * Silences the open connections permanently: the server neither reads from
   * them nor answers on them. New connections work.
   */
  silence(): void {
    for (const socket of this.sockets) {
      socket.pause();
      this.silenced.add(socket);
    }
  }

  private buildAnnouncement(): Announcement | undefined {
    if (!this.behaviour.announces) return undefined;
    const {name, group, slots, connections} = this.options;
    const {port, state, incarnation} = this;
    const address = '127.0.0.1';
    return {
      name,
      group,
      slots,
      connections,
      address,
      port,
      state,
      incarnation,
    };
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (this.silenced.has(req.socket)) return;
    if (req.method === 'GET' && req.url === '/health') {
      this.answerHealth(res);
    } else if (this.inFlight >= this.behaviour.shedAbove) {
      req.resume();
      res.writeHead(503, {'retry-after': '1'}).end();
    } else {
      await this.run(req, res);
    }
  }

  private answerHealth(res: ServerResponse): void {
    const report = this.health.report(this.behaviour, Date.now());
    const {healthy, inFlight} = report;
    const {slots} = this.options;
    res.writeHead(healthy ? 200 : 503, {'content-type': 'application/json'});
    res.end(JSON.stringify({healthy, inFlight, slots}));
  }

  private async run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const run = this.ledger.begin({
      method: req.method ?? '',
      path: req.url ?? '',
      requestId: headerOf(req, 'x-request-id'),
      server: this.name,
      atMs: Date.now(),
    });
    if (headerOf(req, this.behaviour.poisonHeader) !== '') {
      run.end = 'cut';
      await this.crash();
      return;
    }
    this.changeInFlight(1);
    run.end = await this.work(req, res).catch((): RunEnd => 'cut');
    this.changeInFlight(-1);
    if (run.end === 'expired') res.destroy();
  }

  private async work(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<RunEnd> {
    const earlyEnd = watchEarlyEnd(res, remainingMs(req));
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const upMs = Date.now() - this.startedAtMs;
    const workMs = workTimeMs(this.behaviour, upMs);
    const early = await Promise.race([earlyEnd.early, sleep(workMs)]);
    earlyEnd.stop();
    if (early !== undefined) return early;
    if (this.silenced.has(req.socket)) return 'cut';
    const body = Buffer.concat(chunks);
    res.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': body.length,
      'x-request-id': headerOf(req, 'x-request-id'),
      'x-served-by': this.name,
    });
    res.end(body);
    return 'answered';
  }

  private changeInFlight(by: number): void {
    this.inFlight += by;
    const healthy = this.inFlight <= this.options.slots;
    this.health.record({atMs: Date.now(), healthy, inFlight: this.inFlight});
  }
}

function headerOf(req: IncomingMessage, name: string): string {
  const value = req.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Remaining time of the call in ms; infinite without a valid header. */
function remainingMs(req: IncomingMessage): number {
  const text = headerOf(req, DEADLINE_HEADER);
  const value = text === '' ? Number.POSITIVE_INFINITY : Number(text);
  return Number.isNaN(value) ? Number.POSITIVE_INFINITY : value;
}

/** Resolves `early` when the caller disconnects or the deadline expires. */
function watchEarlyEnd(
  res: ServerResponse,
  limitMs: number,
): {early: Promise<RunEnd>; stop(): void} {
  let timer: NodeJS.Timeout | undefined;
  const early = new Promise<RunEnd>(resolve => {
    res.once('close', () => resolve('cancelled'));
    if (limitMs > MAX_TIMER_MS) return;
    timer = setTimeout(() => resolve('expired'), Math.max(0, limitMs));
  });
  return {early, stop: () => clearTimeout(timer)};
}

function sleep(ms: number): Promise<undefined> {
  if (ms <= 0) return Promise.resolve(undefined);
  return new Promise(resolve => setTimeout(() => resolve(undefined), ms));
}
