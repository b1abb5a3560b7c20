/** CPU time and memory that the bundled node needs to start. */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {cpuTimeMs, residentBytes} from '../launch/cpu-time.js';
import {waitUntil} from '../mesh/wait-until.js';
import {StoreServer} from '../platform/store-server.js';
import {Bench, numberOption, type BenchOptions} from './bench.js';

const ROOT = new URL('../../../../../', import.meta.url);
const BUNDLE = fileURLToPath(new URL('target/turmericmill.mjs', ROOT));
const ADDRESS = '127.0.77.1';
const READINESS_PORT = 8140;
const DEFAULT_STARTS = 5;
/** Time in ms within which the readiness socket of the node must answer. */
const START_TIMEOUT_MS = 10_000;
/** Time in ms for which the node is idle before its memory is measured. */
const SETTLE_MS = 2_000;

interface StartFigures {
  /** CPU time in ms until the readiness socket answers. */
  cpuMs: number;
  /** Resident memory in MiB when idle. */
  residentMib: number;
}

function settingsText(storePort: number): string {
  const addressOf = (port: number) => `${ADDRESS}:${port}`;
  return JSON.stringify({
    self: {
      node: 'n-1',
      ip: ADDRESS,
      zone: 'a',
      region: 'r',
      limits: {cpu_share: 1, memory_mb: 350, link_mbps: 1000},
      app_address: addressOf(8147),
      service: 'desk',
    },
    network: {
      listen: {
        outbound: addressOf(8141),
        ready: addressOf(READINESS_PORT),
        control: addressOf(8146),
      },
      internal_ports: [7660, 7675],
    },
    platform: {
      heartbeat_interval: '1500ms',
      platform: {address: `127.0.0.1:${storePort}`},
    },
    terms: {
      bounds: {
        drain: '2s',
        grace: '6s',
        budget_ratio: 0.2,
        budget_extra_tries: 62,
        budget_window: '10s',
      },
    },
  });
}

function isListening(): Promise<boolean> {
  return new Promise(resolve => {
    const options = {
      host: ADDRESS,
      port: READINESS_PORT,
      path: '/api/readiness',
    };
    const req = request(options, res => {
      res.resume();
      resolve(true);
    });
    req.once('error', () => resolve(false));
    req.end();
  });
}

async function measureStart(settingsPath: string): Promise<StartFigures> {
  const child: ChildProcess = spawn(process.execPath, [BUNDLE], {
    env: {...process.env, TURMERICMILL_BOOT: settingsPath},
    stdio: 'ignore',
  });
  const pid = child.pid ?? 0;
  const waitedMs = await waitUntil(isListening, START_TIMEOUT_MS);
  if (waitedMs === undefined) throw new Error('The node did not answer.');
  const cpuMs = cpuTimeMs(pid);
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const residentMib = residentBytes(pid) / 1024 ** 2;
  const ended = new Promise(resolve => child.once('exit', resolve));
  child.kill('SIGKILL');
  await ended;
  return {cpuMs, residentMib: Math.round(residentMib)};
}

class StartBench extends Bench {
  override readonly summary =
    'CPU time and memory of starting the bundled node: --starts 5';

  override async run(options: BenchOptions): Promise<object> {
    const store = new StoreServer();
    const folder = mkdtempSync(join(tmpdir(), 'turmericmill-'));
    const path = join(folder, 'settings.yaml');
    writeFileSync(path, settingsText(await store.listen()));
    const starts: StartFigures[] = [];
    const count = numberOption(options, 'starts', DEFAULT_STARTS);
    for (let i = 0; i < count; i++) starts.push(await measureStart(path));
    await store.close();
    rmSync(folder, {recursive: true});
    return {starts};
  }
}

/** Requires the bundle that `node scripts/bundle-sidecar.mjs` builds. */
export const bench = new StartBench();
