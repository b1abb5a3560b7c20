/** Starts configuration nodes as separate processes, for benchmarks. */

import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import type {MemberRecord} from '@turmericmill/wire';

import type {
  ConfigNodeCommand,
  ConfigNodeLine,
  ConfigNodeOptions,
  NodeTraffic,
} from '../config-node/messages.js';

const MAIN = fileURLToPath(new URL('../config-node/main.js', import.meta.url));

/** A configuration node process. */
export class ConfigNodeProcess {
  /** Time at which each version came into force, in ms since the epoch. */
  readonly enforcedAtMs = new Map<number, number>();
  /** Version in force, -1 without one; a decrease is a fault. */
  version = -1;
  /** Time at which the node was ready, in ms since the epoch. */
  readyAtMs = 0;
  /** Number of times that the version decreased. */
  falls = 0;
  private port = 0;
  private onCount: ((traffic: NodeTraffic) => void) | undefined;

  private constructor(
    readonly options: ConfigNodeOptions,
    readonly child: ChildProcess,
  ) {}

  /** Starts a node; resolves when it is ready. */
  static async launch(options: ConfigNodeOptions): Promise<ConfigNodeProcess> {
    const child = spawn(process.execPath, [MAIN, JSON.stringify(options)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const node = new ConfigNodeProcess(options, child);
    await new Promise<void>((resolve, reject) => {
      child.once('exit', () =>
        reject(new Error('The configuration node exited before it was ready.')),
      );
      const lines = createInterface({input: child.stdout as never});
      lines.on('line', text => {
        const line = JSON.parse(text) as ConfigNodeLine;
        if (line.type === 'ready') resolve();
        node.handleLine(line);
      });
    });
    return node;
  }

  get member(): MemberRecord {
    const {nodeId, dataCentre, region} = this.options;
    return {
      id: nodeId,
      incarnation: 1,
      status: 'alive',
      address: '127.0.0.1',
      port: this.port,
      dataCentre,
      region,
      servers: [],
      revision: 0,
    };
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  setMembers(members: MemberRecord[]): void {
    this.send({type: 'members', members});
  }

  /** Requests exact counts of the traffic of the node. */
  count(): Promise<NodeTraffic> {
    return new Promise(resolve => {
      this.onCount = resolve;
      this.send({type: 'count'});
    });
  }

  /** Kills the node with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode) return;
    const exited = new Promise(resolve => this.child.once('exit', resolve));
    this.child.kill('SIGKILL');
    await exited;
  }

  private handleLine(line: ConfigNodeLine): void {
    switch (line.type) {
      case 'ready':
        this.port = line.port;
        this.readyAtMs = Date.now();
        break;
      case 'enforced':
        if (line.version < this.version) this.falls++;
        this.version = line.version;
        this.enforcedAtMs.set(line.version, line.atMs);
        break;
      case 'count':
        this.onCount?.(line);
    }
  }

  private send(command: ConfigNodeCommand): void {
    this.child.stdin?.write(`${JSON.stringify(command)}\n`);
  }
}
