/** CPU time and memory that the bundled node needs to start. */

import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {cpuTimeMs, residentBytes} from '../launch/cpu-time.js';
import {waitUntil} from '../mesh/wait-until.js';
import {readHostCommand} from '../platform/host-command.js';
import {
  createSettings,
  formatSettings,
  PORTS,
} from '../platform/host-settings.js';
import {StoreServer} from '../platform/store-server.js';
import {Bench, numberOption, type BenchOptions} from './bench.js';

const ADDRESS = '127.0.77.1';
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

function isListening(): Promise<boolean> {
  return new Promise(resolve => {
    const options = {
      host: ADDRESS,
      port: PORTS.readiness,
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
  const {flags, program} = readHostCommand();
  const child: ChildProcess = spawn(process.execPath, [...flags, program], {
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
    const path = join(folder, 'settings.json');
    writeFileSync(
      path,
      formatSettings(createSettings(ADDRESS, await store.listen())),
    );
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
