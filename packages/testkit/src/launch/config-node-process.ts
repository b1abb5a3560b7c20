/** Starts configuration nodes as processes, for benchmarks. */

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

/** One configuration node process. */
export class ConfigNodeProcess {
  /** When each version came into force, in ms since the epoch. */
  readonly enforcedAtMs = new Map<number, number>();
  /** The highest version enforced; a fall would be a fault. */
  version = -1;
  /** When the node said that it listens. */
  readyAtMs = 0;
  /** Number of times that the version fell. */
  falls = 0;
  private port = 0;
  private onCount: ((traffic: NodeTraffic) => void) | undefined;

  private constructor(
    readonly options: ConfigNodeOptions,
    readonly child: ChildProcess,
  ) {}

  /** Resolves when the node listens. */
  static async launch(options: ConfigNodeOptions): Promise<ConfigNodeProcess> {
    const child = spawn(process.execPath, [MAIN, JSON.stringify(options)], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const node = new ConfigNodeProcess(options, child);
    await new Promise<void>((resolve, reject) => {
      child.once('exit', () => reject(new Error('The node ended.')));
      const lines = createInterface({input: child.stdout as never});
      lines.on('line', text => {
        const line = JSON.parse(text) as ConfigNodeLine;
        if (line.type === 'ready') resolve();
        node.take(line);
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

  /** Exact counts of what the node has sent. */
  count(): Promise<NodeTraffic> {
    return new Promise(resolve => {
      this.onCount = resolve;
      this.send({type: 'count'});
    });
  }

  /** Ends the node without warning. */
  async kill(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode) return;
    const exited = new Promise(resolve => this.child.once('exit', resolve));
    this.child.kill('SIGKILL');
    await exited;
  }

  private take(line: ConfigNodeLine): void {
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
