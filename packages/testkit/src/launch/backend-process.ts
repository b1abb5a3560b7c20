/** Starts backend server stand-ins as separate processes. */

import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import type {BackendServerOptions} from '../backend-server/backend-server.js';

const MAIN = fileURLToPath(
  new URL('../backend-server/main.js', import.meta.url),
);

/** A backend server process. */
export class BackendProcess {
  private constructor(
    readonly child: ChildProcess,
    readonly url: string,
  ) {}

  /** Resolves when the server has announced itself. */
  static async launch(options: BackendServerOptions): Promise<BackendProcess> {
    const args = [MAIN, JSON.stringify(options)];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lines = createInterface({input: child.stdout});
    const [line] = await new Promise<[string]>((resolve, reject) => {
      lines.once('line', text => resolve([text]));
      child.once('exit', () =>
        reject(new Error('The backend server exited before it was ready.')),
      );
    });
    const {ready} = JSON.parse(line) as {ready: string};
    return new BackendProcess(child, ready);
  }

  /** Kills the server with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    if (this.child.exitCode !== null || this.child.signalCode) return;
    const exited = new Promise(resolve => this.child.once('exit', resolve));
    this.child.kill('SIGKILL');
    await exited;
  }
}
