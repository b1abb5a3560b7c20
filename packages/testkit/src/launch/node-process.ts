/** Starts node processes for tests, benchmarks and the demonstration. */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

import type {NodePorts, NodeSettings} from '@turmericmill/node';

/** Time limit in ms for a started node to become ready. */
const READY_TIMEOUT_MS = 60_000;

/** Settings of a node to launch; all others have default values. */
export type LaunchSettings = Pick<
  NodeSettings,
  'nodeId' | 'dataCentre' | 'region' | 'seeds'
> &
  Partial<NodeSettings> & {logUrl: string};

/** Bearer token of the administration API of launched nodes. */
export const LAUNCH_TOKEN = 'launched-node-token';

/** Running nodes, which are killed when this process exits. */
const RUNNING = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of RUNNING) child.kill('SIGKILL');
});

/** A node process. */
export class NodeProcess {
  private constructor(
    readonly nodeId: string,
    readonly child: ChildProcess,
    readonly ports: NodePorts,
    private readonly folder: string,
  ) {}

  /** Starts a node on loopback; resolves when it reports that it is ready. */
  static async launch(settings: LaunchSettings): Promise<NodeProcess> {
    const folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
    const file = join(folder, 'node.json');
    writeFileSync(file, JSON.stringify(buildSettings(settings)));
    const child = spawn(process.execPath, [nodeBinary(), '--settings', file], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    RUNNING.add(child);
    child.once('exit', () => RUNNING.delete(child));
    const ports = await waitForPorts(child);
    return new NodeProcess(settings.nodeId, child, ports, folder);
  }

  get meshAddress(): string {
    return `127.0.0.1:${this.ports.mesh}`;
  }

  get callsUrl(): string {
    return `http://127.0.0.1:${this.ports.calls}`;
  }

  get announceUrl(): string {
    return `http://127.0.0.1:${this.ports.announce}`;
  }

  get adminUrl(): string {
    return `http://127.0.0.1:${this.ports.admin}`;
  }

  /** Shuts the node down gracefully; resolves with its exit code. */
  stop(): Promise<number | null> {
    return this.terminate('SIGTERM');
  }

  /**
   * Kills the node with SIGKILL; resolves with null, or with the exit code of a
   * node that had already exited.
   */
  kill(): Promise<number | null> {
    return this.terminate('SIGKILL');
  }

  private async terminate(
    signal: 'SIGTERM' | 'SIGKILL',
  ): Promise<number | null> {
    const {child} = this;
    if (child.exitCode === null && child.signalCode === null) {
      const exited = new Promise(resolve => child.once('exit', resolve));
      child.kill(signal);
      await exited;
    }
    rmSync(this.folder, {recursive: true, force: true});
    return child.exitCode;
  }
}

function nodeBinary(): string {
  const index = createRequire(import.meta.url).resolve('@turmericmill/node');
  return index.replace(/index\.js$/, 'main.js');
}

function buildSettings({logUrl, ...settings}: LaunchSettings): object {
  const loopback = {address: '127.0.0.1', port: 0};
  return {
    mesh: loopback,
    calls: loopback,
    announce: loopback,
    admin: {...loopback, token: LAUNCH_TOKEN},
    log: {urls: [logUrl]},
    logLevel: 'info',
    ...settings,
  };
}

function waitForPorts(child: ChildProcess): Promise<NodePorts> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error('The node did not become ready within the time limit.'));
    }, READY_TIMEOUT_MS);
    child.once('exit', code => {
      clearTimeout(timer);
      reject(new Error(`The node exited with code ${String(code)}.`));
    });
    const lines = createInterface({input: child.stdout as never});
    lines.on('line', line => {
      const entry = JSON.parse(line) as {msg: string; ports?: NodePorts};
      if (entry.msg !== 'ready' || !entry.ports) return;
      clearTimeout(timer);
      resolve(entry.ports);
    });
  });
}
