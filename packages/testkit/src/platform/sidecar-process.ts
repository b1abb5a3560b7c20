/** Runs the program of a host's node as a process of its own. */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {
  SETTINGS_PATH_VARIABLE,
  type HostAddress,
  type HostSettings,
} from '@turmericmill/platform-adapter';

const MAIN = fileURLToPath(
  new URL('./main.js', import.meta.resolve('@turmericmill/sidecar')),
);

/** How a process ended. */
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
    const file = join(this.directory, 'settings.yaml');
    writeFileSync(file, JSON.stringify(fileOf(settings)));
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

  /** Ends the process without warning. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }
}

/** The settings as the platform's file has them; JSON is YAML as well. */
function fileOf(settings: HostSettings): object {
  const {server, listen, retries, store} = settings;
  return {
    self: {
      node: settings.nodeId,
      ip: settings.ip,
      zone: settings.dataCentre,
      region: settings.region,
      limits: {
        cpu_share: settings.cpuShare,
        memory_mb: settings.memoryMb,
        link_mbps: settings.linkMbps,
      },
      app_address: textOf(server),
      service: settings.service,
    },
    network: {
      listen: {
        outbound: textOf(listen.callers),
        ready: textOf(listen.readiness),
        control: textOf(listen.reports),
      },
      internal_ports: settings.meshPorts,
    },
    platform: {
      platform: {address: textOf(store)},
      heartbeat_interval: `${settings.heartbeatIntervalMs}ms`,
    },
    terms: {
      bounds: {
        grace: `${settings.shutdownGraceMs}ms`,
        drain: `${settings.drainMs}ms`,
        budget_ratio: retries.share,
        budget_extra_tries: retries.extra,
        budget_window: `${retries.windowMs}ms`,
      },
    },
  };
}

function textOf({address, port}: HostAddress): string {
  return `${address}:${port}`;
}
