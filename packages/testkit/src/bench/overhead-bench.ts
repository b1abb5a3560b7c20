/** Overhead of the mesh per call, relative to direct calls in the same run. */

import {readFileSync} from 'node:fs';

import {LatencyHistograms} from '@turmericmill/utils';
import {Agent, request} from 'undici';

import {writeSlopes, type SlopeName} from '../capacity/slopes.js';
import {BackendProcess} from '../launch/backend-process.js';
import {cpuTimeMs, residentBytes} from '../launch/cpu-time.js';
import {NodeProcess} from '../launch/node-process.js';
import {LogServer} from '../log-service/log-server.js';
import {
  Bench,
  commandOf,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {publishFiles, waitUntilServed} from './publish-files.js';

/** Paths from the caller to the server that are compared. */
type CallPath = 'direct' | 'oneHop' | 'twoHops';

const PATHS: readonly CallPath[] = ['direct', 'oneHop', 'twoHops'];
const GROUP = 'bench/echo';
const WARM_UP_CALLS = 3000;

/** Time in ms without calls in which the CPU time of idle nodes is measured. */
const QUIET_PERIOD_MS = 10_000;
/** Body size in bytes of the calls whose figures the capacity page uses. */
const SLOPE_BODY_BYTES = 1024;

const FILE_SET = JSON.stringify({
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [{name: 'echo', maxSlots: 1000, maxConnections: 256}],
  services: [{name: 'echo', backendServerGroup: 'echo', timeoutMs: 5000}],
  routes: [
    {
      name: 'echo',
      match: {pathPrefix: '/'},
      service: 'echo',
      class: 'interactive',
      repetition: 'repeatable',
    },
  ],
});

interface Setup {
  log: LogServer;
  nodes: NodeProcess[];
  backend: BackendProcess;
  urls: Record<CallPath, string>;
}

interface Row {
  /** Calls per second over all three paths together. */
  rate: number;
  /** Body size. */
  bytes: number;
  failed: number;
  cpuMsPerCallBeside: number;
  cpuMsPerCallEntry: number;
}

/** CPU usage when idle and memory after load, each of the node with more. */
interface NodeFigures {
  quietCpuMsPerSecond: number;
  residentMiB: number;
}

interface OverheadResult {
  bench: 'overhead';
  targetAddedP99Ms: number;
  node: NodeFigures;
  rows: Row[];
}

/** Sends calls over the three paths in turn, at fixed rates and body sizes. */
class OverheadBench extends Bench {
  override readonly summary = 'Latency and CPU time added to a call';
  private readonly agent = new Agent({connections: 128, pipelining: 1});

  /**
   * Measures, or reads the result of an earlier run from the file `--result`;
   * writes slopes into the file `--slopes`.
   */
  override async run(options: BenchOptions): Promise<OverheadResult> {
    const {result: resultFile, slopes: slopesFile} = options;
    const result = resultFile
      ? (JSON.parse(readFileSync(resultFile, 'utf8')) as OverheadResult)
      : await this.measureAll(options);
    if (slopesFile) {
      const command = commandOf('overhead', options);
      writeSlopes(slopesFile, command, slopesOf(result));
    }
    return result;
  }

  private async measureAll(options: BenchOptions): Promise<OverheadResult> {
    const rates = numbersOption(options, 'rates', [150, 600, 1500]);
    const sizes = numbersOption(options, 'bytes', [0, 1024, 65536]);
    const seconds = numberOption(options, 'seconds', 8);
    const setup = await this.setUp();
    const rows: Row[] = [];
    let node: NodeFigures;
    try {
      await this.warmUp(setup.urls);
      const quietCpuMsPerSecond = await measureQuietCpu(setup.nodes);
      for (const bytes of sizes) {
        for (const rate of rates) {
          rows.push(await this.measure(setup, rate, bytes, seconds));
        }
      }
      const residentMiB = maxResidentMiB(setup.nodes);
      node = {quietCpuMsPerSecond, residentMiB};
    } finally {
      await this.tearDown(setup);
    }
    return {bench: 'overhead', targetAddedP99Ms: 0.36, node, rows};
  }

  private async setUp(): Promise<Setup> {
    const log = new LogServer();
    const logUrl = await log.start();
    const region = 'nairobi';
    const beside = await NodeProcess.launch({
      nodeId: 'beside',
      dataCentre: 'nairobi-a',
      region,
      seeds: [],
      logUrl,
    });
    const entry = await NodeProcess.launch({
      nodeId: 'entry',
      dataCentre: 'nairobi-b',
      region,
      seeds: [beside.meshAddress],
      logUrl,
    });
    const backend = await BackendProcess.launch({
      name: 'echo-1',
      group: GROUP,
      slots: 1000,
      connections: 128,
      announceUrl: beside.announceUrl,
    });
    await publishFiles(logUrl, 'bench', [{file: 'b.json', text: FILE_SET}]);
    const urls = {
      direct: backend.url,
      oneHop: beside.callsUrl,
      twoHops: entry.callsUrl,
    };
    await waitUntilServed([urls.oneHop, urls.twoHops], '/ready');
    return {log, nodes: [beside, entry], backend, urls};
  }

  private async warmUp(urls: Record<CallPath, string>): Promise<void> {
    for (let i = 0; i < WARM_UP_CALLS; i++) {
      for (const path of PATHS) await this.call(urls[path], Buffer.alloc(256));
    }
  }

  private async measure(
    {nodes, urls}: Setup,
    rate: number,
    bytes: number,
    seconds: number,
  ): Promise<Row> {
    const histograms = new LatencyHistograms();
    const body = Buffer.alloc(bytes, 'x');
    const cpuBefore = nodes.map(node => cpuTimeMs(node.child.pid ?? 0));
    const startMs = performance.now();
    const calls = rate * seconds;
    const running: Promise<void>[] = [];
    let failed = 0;
    for (let i = 0; i < calls; i++) {
      const dueMs = startMs + (i * 1000) / rate;
      while (performance.now() < dueMs) await new Promise(setImmediate);
      const path = PATHS[i % PATHS.length] as CallPath;
      const call = this.call(urls[path], body).then(ok => {
        if (!ok) failed += 1;
        histograms.record(path, performance.now() - dueMs);
      });
      running.push(call);
    }
    await Promise.all(running);
    const cpuMs = nodes.map(
      (node, i) => cpuTimeMs(node.child.pid ?? 0) - (cpuBefore[i] ?? 0),
    );
    return {rate, bytes, failed, ...figuresOf(histograms, cpuMs, calls)};
  }

  private async call(url: string, body: Buffer): Promise<boolean> {
    const res = await request(`${url}/x`, {
      method: body.length > 0 ? 'POST' : 'GET',
      body: body.length > 0 ? body : null,
      dispatcher: this.agent,
    });
    const answer = Buffer.from(await res.body.arrayBuffer());
    return res.statusCode === 200 && answer.equals(body);
  }

  private async tearDown({log, nodes, backend}: Setup): Promise<void> {
    await backend.kill();
    for (const node of nodes) await node.stop();
    await this.agent.destroy();
    await log.stop();
  }
}

/** Derives the slopes from the highest and the lowest rate of 1 KiB calls. */
function slopesOf({
  rows,
  node,
}: OverheadResult): Partial<Record<SlopeName, number>> {
  const slopeRows = rows.filter(({bytes}) => bytes === SLOPE_BODY_BYTES);
  if (slopeRows.length === 0) return {};
  const highRate = slopeRows.reduce((a, b) => (a.rate > b.rate ? a : b));
  const lowRate = slopeRows.reduce((a, b) => (a.rate < b.rate ? a : b));
  return {
    'overhead.cpuMsPerCallEntry': highRate.cpuMsPerCallEntry,
    'overhead.cpuMsPerCallBeside': highRate.cpuMsPerCallBeside,
    'overhead.slowCpuMsPerCallEntry': lowRate.cpuMsPerCallEntry,
    'overhead.slowCpuMsPerCallBeside': lowRate.cpuMsPerCallBeside,
    'overhead.quietCpuMsPerSecond': node.quietCpuMsPerSecond,
    'overhead.residentMiB': node.residentMiB,
  };
}

/** Returns the CPU time in ms per idle second, the maximum of the nodes. */
async function measureQuietCpu(nodes: readonly NodeProcess[]): Promise<number> {
  const before = nodes.map(node => cpuTimeMs(node.child.pid ?? 0));
  await new Promise(resolve => setTimeout(resolve, QUIET_PERIOD_MS));
  const spent = nodes.map(
    (node, i) => cpuTimeMs(node.child.pid ?? 0) - (before[i] ?? 0),
  );
  return (Math.max(...spent) * 1000) / QUIET_PERIOD_MS;
}

function maxResidentMiB(nodes: readonly NodeProcess[]): number {
  const bytes = nodes.map(node => residentBytes(node.child.pid ?? 0));
  return Math.round(Math.max(...bytes) / 1024 / 1024);
}

function figuresOf(
  histograms: LatencyHistograms,
  cpuMs: number[],
  calls: number,
): Omit<Row, 'rate' | 'bytes' | 'failed'> {
  const direct = histograms.summaryOf('direct');
  const entries = PATHS.map(path => {
    const {p50Ms, p99Ms} = histograms.summaryOf(path);
    const added = {
      addedP50Ms: round(p50Ms - direct.p50Ms),
      addedP99Ms: round(p99Ms - direct.p99Ms),
      ratioP50: round(p50Ms / direct.p50Ms),
      ratioP99: round(p99Ms / direct.p99Ms),
    };
    return [path, {p50Ms, p99Ms, ...(path === 'direct' ? {} : added)}];
  });
  const callsPerPath = calls / PATHS.length;
  return {
    ...(Object.fromEntries(entries) as object),
    // The node of the server is on both mesh paths; the entry node on one.
    cpuMsPerCallBeside: round((cpuMs[0] ?? 0) / (2 * callsPerPath)),
    cpuMsPerCallEntry: round((cpuMs[1] ?? 0) / callsPerPath),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

export const bench: Bench = new OverheadBench();
