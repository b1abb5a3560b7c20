/**
 * Measures the restart of a third of the nodes and of all nodes, compared with
 * nodes that poll the log.
 */

import type {ConfigNodeMode} from '../config-node/messages.js';
import {
  Bench,
  numberOption,
  numbersOption,
  type BenchOptions,
} from './bench.js';
import {benchResources, ConfigFleet, numberOf} from './config-fleet.js';

const MODES: readonly ConfigNodeMode[] = ['convergence', 'bytes', 'poll'];
const READY_TIMEOUT_MS = 60_000;
/** Waiting time before each restart. */
const SETTLE_MS = 8000;
const SAMPLE_INTERVAL_MS = 100;

/** Nodes that are restarted at the same time. */
type Part = 'third' | 'all';

interface Figures {
  mode: ConfigNodeMode;
  nodes: number;
  part: Part;
  /** Time from when a node is ready until it enforces the newest version. */
  p50Ms: number;
  maxMs: number;
  /** Restarted nodes that did not enforce the newest version in time. */
  missed: number;
  logReads: number;
  peakLogReadsPerSecond: number;
  peakFetchesPerSecondAtOneNode: number;
}

/** Restarts a third and then all nodes, in each mode at each fleet size. */
class RestartBench extends Bench {
  override readonly summary = 'Time and requests when many nodes restart';

  override async run(options: BenchOptions): Promise<object> {
    const sizes = numbersOption(options, 'nodes', [12, 50, 100]);
    const resources = numberOption(options, 'resources', 300);
    const rows: Figures[] = [];
    for (const nodes of sizes) {
      for (const mode of MODES) {
        rows.push(...(await measure(mode, nodes, resources)));
      }
    }
    return {bench: 'restart', resources, rows};
  }
}

async function measure(
  mode: ConfigNodeMode,
  nodes: number,
  resources: number,
): Promise<Figures[]> {
  const fleet = new ConfigFleet(mode);
  try {
    await fleet.start(nodes, benchResources(resources));
    await sleep(SETTLE_MS);
    const third = await restart(fleet, mode, 'third', n => n % 9 < 3);
    await sleep(SETTLE_MS);
    const all = await restart(fleet, mode, 'all', () => true);
    return [third, all];
  } finally {
    await fleet.stop();
  }
}

async function restart(
  fleet: ConfigFleet,
  mode: ConfigNodeMode,
  part: Part,
  isChosen: (number: number) => boolean,
): Promise<Figures> {
  const {counts} = fleet.log;
  const readsBefore = counts.reads;
  const version = fleet.log.log.bounds('config').next - 1;
  let peakReads = 0;
  const samples: number[] = [];
  const sampler = setInterval(() => {
    samples.push(counts.reads);
    const readsOneSecondAgo =
      samples.at(-1 - 1000 / SAMPLE_INTERVAL_MS) ?? readsBefore;
    peakReads = Math.max(peakReads, counts.reads - readsOneSecondAgo);
  }, SAMPLE_INTERVAL_MS);
  const numbers = await fleet.restart(isChosen);
  await fleet.waitUntilEnforced(version, READY_TIMEOUT_MS);
  clearInterval(sampler);
  const restarted = fleet.nodes.filter(node =>
    numbers.includes(numberOf(node)),
  );
  const timesMs = restarted.flatMap(node => {
    const enforcedAtMs = node.enforcedAtMs.get(version);
    return enforcedAtMs === undefined ? [] : [enforcedAtMs - node.readyAtMs];
  });
  timesMs.sort((a, b) => a - b);
  const traffic = await Promise.all(fleet.nodes.map(node => node.count()));
  return {
    mode,
    nodes: fleet.nodes.length,
    part,
    p50Ms: timesMs[Math.floor(timesMs.length / 2)] ?? 0,
    maxMs: timesMs.at(-1) ?? 0,
    missed: restarted.length - timesMs.length,
    logReads: counts.reads - readsBefore,
    peakLogReadsPerSecond: peakReads,
    peakFetchesPerSecondAtOneNode: Math.max(
      ...traffic.map(count => count.peakFetchesPerSecond),
    ),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

export const bench: Bench = new RestartBench();
