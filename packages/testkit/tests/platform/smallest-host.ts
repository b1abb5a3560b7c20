/** Runs a node with the memory and flags that it has on the smallest hosts. */

import {spawn, type ChildProcess} from 'node:child_process';
import {request} from 'node:http';
import {createRequire} from 'node:module';

import {readHostCommand} from '../../src/platform/host-command.js';
import {
  createSettings,
  formatSettings,
} from '../../src/platform/host-settings.js';

/** Memory of the process on the smallest hosts, in MB. */
export const MEMORY_MB = 250;

/** One route: `/d/` of `shop.example` to the service `desk`. */
export const CONFIG = JSON.stringify({
  version: 'r1',
  routes: {
    columns: [
      'name',
      'host',
      'path_prefix',
      'kind',
      'timeout',
      'target_latency',
      'priority',
      'service',
      'max_attempts',
      'traffic_split',
    ],
    rows: [
      [
        'r',
        'shop.example',
        '/d/',
        'unsafe',
        '3000ms',
        '2000ms',
        1,
        'desk',
        1,
        null,
      ],
    ],
  },
  services: {
    columns: ['name', 'health_check_path', 'max_connections'],
    rows: [['desk', '/health', 100]],
  },
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout: '3000ms',
    idle_timeout: '15000ms',
  },
});

/** Builds the settings file of a single node at `ip`. */
export function settings(ip: string, storePort: number): string {
  const limits = {cpuShare: 0.27, memoryMb: MEMORY_MB, linkMbps: 7};
  return formatSettings(createSettings(ip, storePort, limits));
}

/** Starts the node with the flags that it has on the platform's hosts. */
export function launch(settingsPath: string): ChildProcess {
  const {flags} = readHostCommand();
  const index = createRequire(import.meta.url).resolve('@turmericmill/sidecar');
  const program = index.replace(/index\.js$/, 'main.js');
  return spawn(process.execPath, [...flags, program], {
    env: {PATH: process.env['PATH'], TURMERICMILL_BOOT: settingsPath},
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

/** Sends a request; resolves with the status, 0 without a complete answer. */
export function get(ip: string, path: string): Promise<number> {
  return new Promise(resolve => {
    const headers = {
      host: 'shop.example',
      'x-turmericmill-request-id': `q-${path}`,
      'x-turmericmill-request-deadline': '3000',
    };
    const options = {host: ip, port: 8141, path, headers, agent: false};
    const req = request(options, res => {
      res.resume();
      res.once('close', () =>
        resolve(res.complete ? (res.statusCode ?? 0) : 0),
      );
    });
    req.once('error', () => resolve(0));
    req.end();
  });
}
