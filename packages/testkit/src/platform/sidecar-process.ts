/** Runs a host's sidecar node as a separate process. */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {
  SETTINGS_PATH_VARIABLE,
  type HostSettings,
} from '@turmericmill/platform-adapter';

import {formatSettings} from './host-settings.js';

const MAIN = fileURLToPath(
  new URL('./main.js', import.meta.resolve('@turmericmill/sidecar')),
);

/** Exit code and signal of an ended process. */
export interface ProcessEnd {
  code: number | null;
  signal: NodeJS.Signals | null;
}

export class SidecarProcess {
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  private readonly child: ChildProcess;
  private readonly directory = mkdtempSync(join(tmpdir(), 'sidecar-'));

  constructor(settings: HostSettings) {
    const file = join(this.directory, 'settings.json');
    writeFileSync(file, formatSettings(settings));
    this.child = spawn(process.execPath, [MAIN], {
      env: {...process.env, [SETTINGS_PATH_VARIABLE]: file},
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    this.ended = once(this.child, 'exit').then(([code, signal]) => {
      rmSync(this.directory, {recursive: true});
      return {
        code: code as number | null,
        signal: signal as NodeJS.Signals | null,
      };
    });
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Kills the process with SIGKILL and waits for its end. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }
}
