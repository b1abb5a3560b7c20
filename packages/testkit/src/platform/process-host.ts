/** A host on loopback whose node is a process. */

import {request, type Agent} from 'node:http';

import type {HostSettings} from '@turmericmill/platform-adapter';

import {AppServer} from './app-server.js';
import {ROUTE_HOST} from './config-document.js';
import {createSettings, PORTS} from './host-settings.js';
import {SidecarProcess} from './sidecar-process.js';

/** Time in ms that callers wait. */
const REMAINING_MS = 900;

let lastNetwork = process.pid % 100;
let lastRequest = 0;

/** Returns the number of a loopback network that no other test uses. */
export function nextNetwork(): number {
  lastNetwork += 1;
  return 20 + (lastNetwork % 200);
}

export interface ProcessHostOptions {
  network: number;
  index: number;
  storePort: number;
  settings?: Partial<HostSettings>;
}

/** An answer; the status is 0 if it is not complete. */
export interface FetchedAnswer {
  status: number;
  bytes: number;
}

export class ProcessHost {
  readonly app: AppServer;
  private settings: HostSettings;
  private node: SidecarProcess;

  constructor({network, index, storePort, settings}: ProcessHostOptions) {
    const ip = `127.${network}.1.${index}`;
    this.settings = createSettings(ip, storePort, {
      nodeId: `node-${index}`,
      ...settings,
    });
    this.app = new AppServer({
      id: `i-${index}`,
      service: 'desk',
      address: ip,
      port: PORTS.server,
      control: this.settings.listen.reports,
      workMs: 5,
      slots: 4,
    });
    this.node = new SidecarProcess(this.settings);
  }

  get nodeId(): string {
    return this.settings.nodeId;
  }

  async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    this.node.signal(signal);
    await this.node.ended;
  }

  restart(): void {
    this.settings = {...this.settings, isFirstStart: false};
    this.node = new SidecarProcess(this.settings);
  }

  /**
   * Sends a request, on a connection of its own unless there is an agent;
   * resolves with the status, 0 without a complete answer.
   */
  async call(path: string, agent: Agent | false = false): Promise<number> {
    return (await this.fetch(path, agent)).status;
  }

  /** The same, with the bytes of the answer's body. */
  fetch(path: string, agent: Agent | false = false): Promise<FetchedAnswer> {
    lastRequest += 1;
    const {address: host, port} = this.settings.listen.callers;
    const headers = {
      host: ROUTE_HOST,
      'x-turmericmill-request-id': `q-${lastRequest}`,
      'x-turmericmill-request-deadline': String(REMAINING_MS),
    };
    return new Promise(resolve => {
      const options = {host, port, path, agent, headers};
      const req = request(options, res => {
        let bytes = 0;
        res.on('data', (chunk: Buffer) => (bytes += chunk.length));
        res.once('close', () => {
          const status = res.complete ? (res.statusCode ?? 0) : 0;
          resolve({status, bytes});
        });
      });
      req.once('error', () => resolve({status: 0, bytes: 0}));
      req.end();
    });
  }

  /** Resolves with the status of a report, 0 if the node does not listen. */
  report(state: 'ready' | 'draining'): Promise<number> {
    return this.app.report(state).catch(() => 0);
  }

  /** The same for a report that was made before all others. */
  reportLate(): Promise<number> {
    return this.app.reportLate('ready').catch(() => 0);
  }
}
