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

/** Returns the row of a route of `shop.example` to the service `desk`. */
function routeRow(prefix: string, kind: string, maxAttempts: number) {
  return [
    `r-${prefix}`,
    'shop.example',
    `/${prefix}/`,
    kind,
    '3000ms',
    '2000ms',
    1,
    'desk',
    maxAttempts,
    null,
  ];
}

/** A route of each kind to the service `desk`: `/d/`, `/safe/`, `/download/`. */
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
      routeRow('d', 'unsafe', 1),
      routeRow('safe', 'safe', 2),
      routeRow('download', 'download', 2),
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

/** Builds the settings file of the node at `ip`. */
export function settings(
  ip: string,
  storePort: number,
  nodeId = 'node-1',
): string {
  const limits = {nodeId, cpuShare: 0.27, memoryMb: MEMORY_MB, linkMbps: 7};
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

/** An answer as its caller gets it; status 0 without a complete one. */
export interface CompleteAnswer {
  status: number;
  body: string;
}

/** Sends a request; resolves with the complete answer. */
export function fetchAnswer(
  ip: string,
  path: string,
  method = 'GET',
): Promise<CompleteAnswer> {
  return new Promise(resolve => {
    const headers = {
      host: 'shop.example',
      'x-turmericmill-request-id': `q-${path}`,
      'x-turmericmill-request-deadline': '3000',
    };
    const options = {host: ip, port: 8141, method, path, headers, agent: false};
    const req = request(options, res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.once('close', () => {
        const status = res.complete ? (res.statusCode ?? 0) : 0;
        resolve({status, body: Buffer.concat(chunks).toString('latin1')});
      });
    });
    req.once('error', () => resolve({status: 0, body: ''}));
    req.end();
  });
}

/** The same, with the status alone. */
export async function get(ip: string, path: string): Promise<number> {
  return (await fetchAnswer(ip, path)).status;
}
