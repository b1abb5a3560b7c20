/** Return of a third and of all nodes, against nodes that read the log. */

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
const SETTLE_MS = 8000;
const SAMPLE_MS = 100;

type Part = 'third' | 'all';

interface Figures {
  mode: ConfigNodeMode;
  nodes: number;
  part: Part;
  /** From a node's own start to the newest version in force there. */
  p50Ms: number;
  maxMs: number;
  missed: number;
  logReads: number;
  peakLogReadsPerSecond: number;
  peakFetchesPerSecondAtOneNode: number;
}

/** Each mode at each size, first a third and then all. */
class RestartBench extends Bench {
  override readonly summary = 'Time and requests when many nodes come back';

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
  const before = counts.reads;
  const version = fleet.log.log.bounds('config').next - 1;
  let peak = 0;
  const samples: number[] = [];
  const sampler = setInterval(() => {
    samples.push(counts.reads);
    const past = samples.at(-1 - 1000 / SAMPLE_MS) ?? before;
    peak = Math.max(peak, counts.reads - past);
  }, SAMPLE_MS);
  const numbers = await fleet.restart(isChosen);
  await fleet.waitUntilEnforced(version, READY_TIMEOUT_MS);
  clearInterval(sampler);
  const back = fleet.nodes.filter(node => numbers.includes(numberOf(node)));
  const times = back.flatMap(node => {
    const atMs = node.enforcedAtMs.get(version);
    return atMs === undefined ? [] : [atMs - node.readyAtMs];
  });
  times.sort((a, b) => a - b);
  const traffic = await Promise.all(fleet.nodes.map(node => node.count()));
  return {
    mode,
    nodes: fleet.nodes.length,
    part,
    p50Ms: times[Math.floor(times.length / 2)] ?? 0,
    maxMs: times.at(-1) ?? 0,
    missed: back.length - times.length,
    logReads: counts.reads - before,
    peakLogReadsPerSecond: peak,
    peakFetchesPerSecondAtOneNode: Math.max(
      ...traffic.map(count => count.peakFetchesPerSecond),
    ),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

export const bench: Bench = new RestartBench();
