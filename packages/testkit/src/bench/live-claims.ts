/**
 * Measures calls with and without an idempotency key, in turn, through node
 * processes.
 */

import {LatencyHistograms} from '@turmericmill/utils';
import {Agent, request} from 'undici';

import {BackendProcess} from '../launch/backend-process.js';
import {cpuTimeMs} from '../launch/cpu-time.js';
import {NodeProcess} from '../launch/node-process.js';
import {LogServer} from '../log-service/log-server.js';
import {publishFiles, waitUntilServed} from './publish-files.js';

const GROUP = 'bench/posting';
const DATA_CENTRES = ['ncr-a', 'ncr-b', 'ncr-c'];
const WARM_UP_CALLS = 600;
const BODY = Buffer.alloc(256, 'x');

const FILE_SET = JSON.stringify({
  classes: [{name: 'interactive', priority: 'interactive'}],
  backendServerGroups: [{name: 'posting', maxSlots: 1000, maxConnections: 256}],
  services: [{name: 'posting', backendServerGroup: 'posting', timeoutMs: 5000}],
  routes: [
    {
      name: 'posting',
      match: {pathPrefix: '/'},
      service: 'posting',
      class: 'interactive',
      repetition: 'at-most-once',
    },
  ],
});

interface Setup {
  log: LogServer;
  nodes: NodeProcess[];
  backend: BackendProcess;
  agent: Agent;
}

/**
 * Measures each rate of calls with a key per second in turn, with as many calls
 * without a key. The log stand-in answers without delay.
 */
export async function measureLiveClaims(
  rates: readonly number[],
  seconds: number,
): Promise<object[]> {
  const setup = await setUp();
  const rows: object[] = [];
  try {
    for (let i = 0; i < WARM_UP_CALLS; i++) {
      await call(setup, i, i % 2 === 0 ? `warm-${i}` : undefined);
    }
    for (const rate of rates) rows.push(await measure(setup, rate, seconds));
  } finally {
    await tearDown(setup);
  }
  return rows;
}

async function setUp(): Promise<Setup> {
  const log = new LogServer();
  const logUrl = await log.start();
  const nodes: NodeProcess[] = [];
  for (const dataCentre of DATA_CENTRES) {
    const seeds = nodes.map(node => node.meshAddress);
    const nodeId = `node-${dataCentre}`;
    const region = 'ncr';
    const settings = {nodeId, dataCentre, region, seeds, logUrl};
    nodes.push(await NodeProcess.launch(settings));
  }
  const backend = await BackendProcess.launch({
    name: 'posting-1',
    group: GROUP,
    slots: 1000,
    connections: 128,
    announceUrl: (nodes[0] as NodeProcess).announceUrl,
  });
  await publishFiles(logUrl, 'bench', [{file: 'b.json', text: FILE_SET}]);
  const urls = nodes.map(node => node.callsUrl);
  await waitUntilServed(urls, '/ready');
  return {log, nodes, backend, agent: new Agent({connections: 128})};
}

async function tearDown({log, nodes, backend, agent}: Setup): Promise<void> {
  await backend.kill();
  for (const node of nodes) await node.kill();
  await agent.destroy();
  await log.stop();
}

async function measure(
  setup: Setup,
  rate: number,
  seconds: number,
): Promise<object> {
  const {log, nodes} = setup;
  const histograms = new LatencyHistograms();
  const calls = rate * 2 * seconds;
  const appendsBefore = log.counts.appends;
  const cpuBefore = totalCpuMs(nodes);
  const startMs = performance.now();
  const running: Promise<void>[] = [];
  let failed = 0;
  for (let i = 0; i < calls; i++) {
    const dueMs = startMs + (i * 1000) / (rate * 2);
    while (performance.now() < dueMs) await new Promise(setImmediate);
    const isKeyed = i % 2 === 0;
    const key = isKeyed ? `${rate}-${i}` : undefined;
    const finished = call(setup, i, key).then(ok => {
      if (!ok) failed += 1;
      const latencyMs = performance.now() - dueMs;
      histograms.record(isKeyed ? 'keyed' : 'plain', latencyMs);
    });
    running.push(finished);
  }
  await Promise.all(running);
  const appends = log.counts.appends - appendsBefore;
  const cpuMs = totalCpuMs(nodes) - cpuBefore;
  return {
    keyedPerSecond: rate,
    failed,
    ...figuresOf(histograms, appends, cpuMs, seconds, calls),
  };
}

function figuresOf(
  histograms: LatencyHistograms,
  appends: number,
  cpuMs: number,
  seconds: number,
  calls: number,
): object {
  const keyed = histograms.summaryOf('keyed');
  const plain = histograms.summaryOf('plain');
  return {
    appendsPerSecond: round(appends / seconds),
    appendsPerKeyedCall: round(appends / keyed.count),
    plain: {p50Ms: plain.p50Ms, p99Ms: plain.p99Ms},
    keyed: {p50Ms: keyed.p50Ms, p99Ms: keyed.p99Ms},
    addedP50Ms: round(keyed.p50Ms - plain.p50Ms),
    addedP99Ms: round(keyed.p99Ms - plain.p99Ms),
    cpuMsPerCallAllNodes: round(cpuMs / calls),
  };
}

/** Returns the CPU time of all nodes together, in ms. */
function totalCpuMs(nodes: readonly NodeProcess[]): number {
  const times = nodes.map(node => cpuTimeMs(node.child.pid ?? 0));
  return times.reduce((sum, ms) => sum + ms, 0);
}

/** Makes a call; resolves to true for status 200 with the same body. */
async function call(
  {nodes, agent}: Setup,
  index: number,
  key: string | undefined,
): Promise<boolean> {
  const node = nodes[Math.floor(index / 2) % nodes.length] as NodeProcess;
  const headers = {
    'x-customer': 'bank',
    ...(key === undefined ? {} : {'idempotency-key': key}),
  };
  const res = await request(`${node.callsUrl}/posting`, {
    method: 'POST',
    headers,
    body: BODY,
    dispatcher: agent,
  });
  const answer = Buffer.from(await res.body.arrayBuffer());
  return res.statusCode === 200 && answer.equals(BODY);
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
