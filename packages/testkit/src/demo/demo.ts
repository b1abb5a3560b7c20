/** The demonstration: a small mesh, changed under load. */

import {mkdtemp, cp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {Caller} from '../caller/caller.js';
import {Load} from '../caller/load.js';
import {Mesh, type CliRun} from '../mesh/mesh.js';
import type {NodeProbe} from '../mesh/node-probe.js';
import {VersionWatch} from '../mesh/version-watch.js';
import {waitUntil} from '../mesh/wait-until.js';
import {checkCount, type TableRow} from './closing-table.js';
import {demoOrder} from './demo-calls.js';
import {
  callRows,
  configRows,
  controlRows,
  DRAIN_TARGET_MS,
} from './demo-rows.js';

const FILES = fileURLToPath(
  new URL('../../../../../examples/nyota/files/', import.meta.url),
);
const TEAM = 'nyota';
const REGION = 'nairobi';
const DATA_CENTRES = ['nairobi-a', 'nairobi-b', 'nairobi-c'];
const NODES_PER_DATA_CENTRE = 2;
const CALLS_PER_SECOND = 120;
const READY_TIMEOUT_MS = 15_000;
const CONVERGENCE_TIMEOUT_MS = 10_000;
const DRAINED_SERVER = 'homeowner-api-nairobi-a';
const NEWEST_VERSION = 2;
const SETTLE_MS = 1000;

/** Runs all steps and collects the rows of the closing table. */
export class Demo {
  private readonly mesh = new Mesh();
  private readonly caller = new Caller();
  private readonly watch = new VersionWatch(this.mesh);
  private readonly rows: TableRow[] = [];
  private readonly convergenceMs: number[] = [];
  private readonly startedMs = performance.now();
  private files = '';
  private readonly drain = {server: DRAINED_SERVER, startMs: 0, endMs: 0};

  constructor(private readonly print: (line: string) => void) {}

  async run(): Promise<TableRow[]> {
    this.files = await mkdtemp(join(tmpdir(), 'turmericmill-demo-'));
    try {
      await cp(FILES, this.files, {recursive: true});
      await this.startAll();
      await this.publishFirst();
      await this.changeUnderLoad();
      await this.runReads();
      await this.collect();
    } finally {
      await this.endAll();
    }
    return this.rows;
  }

  private async startAll(): Promise<void> {
    await this.mesh.start();
    for (const dataCentre of DATA_CENTRES) {
      for (let i = 1; i <= NODES_PER_DATA_CENTRE; i++) {
        const nodeId = `${dataCentre}-${i}`;
        await this.mesh.startNode({nodeId, dataCentre, region: REGION});
        const name = i === 1 ? 'homeowner-api' : 'fieldkit';
        await this.mesh.startServer({
          name: `${name}-${dataCentre}`,
          group: `${TEAM}/${name}`,
          nodeId,
          slots: 12,
          connections: 130,
          workMs: 2,
        });
        this.print(`started node ${nodeId} and a server of ${TEAM}/${name}`);
      }
    }
    this.watch.start();
  }

  private async publishFirst(): Promise<void> {
    await this.waitForAll('nodes', this.mesh.nodes.size, p => p.nodes());
    await this.cli('validate', this.files);
    await this.cli('plan', this.files);
    await this.cli('publish', this.files, '--wait', '--message', 'first');
    const servers = this.mesh.servers.size;
    await this.waitForAll('servers', servers, p => p.readyServers());
  }

  /** Waits until every node counts `wanted` of something. */
  private async waitForAll(
    subject: string,
    wanted: number,
    count: (probe: NodeProbe) => Promise<number | undefined>,
  ): Promise<void> {
    const tookMs = await waitUntil(async () => {
      const counts = await Promise.all(this.mesh.probes().map(count));
      return counts.every(counted => counted === wanted);
    }, READY_TIMEOUT_MS);
    if (tookMs !== undefined) return;
    throw new Error(`Not every node counts ${wanted} ${subject}.`);
  }

  private async changeUnderLoad(): Promise<void> {
    const urls = () => this.mesh.callUrls();
    const load = new Load(this.caller, urls, demoOrder, CALLS_PER_SECOND);
    load.start();
    await sleep(SETTLE_MS);
    await this.measureConvergence(1, () => this.change('800', '900'));
    await sleep(SETTLE_MS);
    await this.measureConvergence(2, () => this.cli('rollback', '0'));
    await this.drainAndUndrain();
    await load.stop();
  }

  private async change(from: string, to: string): Promise<void> {
    const file = join(this.files, 'homeowner-api.json');
    const text = await readFile(file, 'utf8');
    const changed = text.replace(`"timeoutMs": ${from}`, `"timeoutMs": ${to}`);
    await writeFile(file, changed);
    await this.cli('publish', this.files, '--message', 'longer timeout');
  }

  /** Measures from the append until every node enforces `version`. */
  private async measureConvergence(
    version: number,
    publish: () => Promise<unknown>,
  ): Promise<void> {
    let acceptedMs = 0;
    this.mesh.log.log.onAppend('config', () => {
      acceptedMs = performance.now();
    });
    const enforced = waitUntil(async () => {
      const probes = this.mesh.probes();
      const versions = await Promise.all(probes.map(p => p.version()));
      return versions.every(at => at !== undefined && at >= version);
    }, CONVERGENCE_TIMEOUT_MS);
    const enforcedMs = enforced.then(() => performance.now());
    await publish();
    this.convergenceMs.push((await enforcedMs) - acceptedMs);
  }

  private async drainAndUndrain(): Promise<void> {
    const target = `nairobi-a-1/${DRAINED_SERVER}`;
    await this.cli('drain', target);
    this.drain.startMs = Date.now();
    await sleep(DRAIN_TARGET_MS + SETTLE_MS);
    this.drain.endMs = Date.now();
    await this.cli('drain', target, '--undo');
    await sleep(SETTLE_MS);
  }

  private async runReads(): Promise<void> {
    for (const command of ['status', 'servers', 'calls', 'history', 'show']) {
      await this.cli(command);
      await this.cli(command, '--json');
    }
    const {out} = await this.cli('calls');
    this.print(`\n${out}\n`);
  }

  private async collect(): Promise<void> {
    const {mesh, watch, convergenceMs, drain} = this;
    const config = await configRows(mesh, NEWEST_VERSION, {
      stepsBack: watch.stepsBack.length,
      slowestMs: Math.max(...convergenceMs),
    });
    const calls = callRows(this.caller.calls, mesh.ledger, drain);
    this.rows.push(...config, ...calls);
  }

  private async endAll(): Promise<void> {
    this.watch.stop();
    await this.caller.close();
    const codes = await this.mesh.close();
    const failed = Object.values(codes).filter(code => code !== 0).length;
    this.rows.push(
      ...controlRows(this.mesh, performance.now() - this.startedMs),
    );
    this.rows.push(checkCount('nodes that did not end with 0', failed, 0));
    await rm(this.files, {recursive: true, force: true});
  }

  private async cli(...argv: string[]): Promise<CliRun> {
    const run = await this.mesh.cli(TEAM, ...argv);
    this.print(`turmericmill ${argv.join(' ')} -> exit ${run.code}`);
    if (run.code !== 0) {
      throw new Error(`turmericmill ${argv.join(' ')}: ${run.err}`);
    }
    return run;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
