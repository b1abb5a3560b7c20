/** The demonstration: reconfigures a small mesh while it is under load. */

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
import {buildDemoOrder} from './demo-calls.js';
import {
  buildCallRows,
  buildConfigRows,
  buildControlRows,
  DRAIN_TARGET_MS,
} from './demo-rows.js';
import {createCountCheck, type TableRow} from './results-table.js';

const EXAMPLE_FILES = fileURLToPath(
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

/** Runs the demonstration and collects the rows of the results table. */
export class Demo {
  private readonly mesh = new Mesh();
  private readonly caller = new Caller();
  private readonly watch = new VersionWatch(this.mesh);
  private readonly rows: TableRow[] = [];
  private readonly convergenceMs: number[] = [];
  private readonly startedMs = performance.now();
  private filesDirectory = '';
  private readonly drain = {server: DRAINED_SERVER, startMs: 0, endMs: 0};

  constructor(private readonly print: (line: string) => void) {}

  async run(): Promise<TableRow[]> {
    this.filesDirectory = await mkdtemp(join(tmpdir(), 'turmericmill-demo-'));
    try {
      await cp(EXAMPLE_FILES, this.filesDirectory, {recursive: true});
      await this.startAll();
      await this.publishInitialVersion();
      await this.changeUnderLoad();
      await this.runReadCommands();
      await this.collectRows();
    } finally {
      await this.shutDown();
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

  private async publishInitialVersion(): Promise<void> {
    await this.waitForAll('nodes', this.mesh.nodes.size, p => p.nodes());
    await this.cli('validate', this.filesDirectory);
    await this.cli('plan', this.filesDirectory);
    await this.cli(
      'publish',
      this.filesDirectory,
      '--wait',
      '--message',
      'first',
    );
    const servers = this.mesh.servers.size;
    await this.waitForAll('servers', servers, p => p.readyServers());
  }

  /** Waits until `count` returns `expected` for every node. */
  private async waitForAll(
    subject: string,
    expected: number,
    count: (probe: NodeProbe) => Promise<number | undefined>,
  ): Promise<void> {
    const tookMs = await waitUntil(async () => {
      const counts = await Promise.all(this.mesh.probes().map(count));
      return counts.every(value => value === expected);
    }, READY_TIMEOUT_MS);
    if (tookMs !== undefined) return;
    throw new Error(
      `Timed out before every node reported ${expected} ${subject}.`,
    );
  }

  private async changeUnderLoad(): Promise<void> {
    const urls = () => this.mesh.callUrls();
    const load = new Load(this.caller, urls, buildDemoOrder, CALLS_PER_SECOND);
    load.start();
    await sleep(SETTLE_MS);
    await this.measureConvergence(1, () =>
      this.publishTimeoutChange('800', '900'),
    );
    await sleep(SETTLE_MS);
    await this.measureConvergence(2, () => this.cli('rollback', '0'));
    await this.drainAndUndrain();
    await load.stop();
  }

  private async publishTimeoutChange(from: string, to: string): Promise<void> {
    const file = join(this.filesDirectory, 'homeowner-api.json');
    const text = await readFile(file, 'utf8');
    const changed = text.replace(`"timeoutMs": ${from}`, `"timeoutMs": ${to}`);
    await writeFile(file, changed);
    await this.cli(
      'publish',
      this.filesDirectory,
      '--message',
      'longer timeout',
    );
  }

  /**
   * Measures the time from the append to the log until every node enforces
   * `version`.
   */
  private async measureConvergence(
    version: number,
    publish: () => Promise<unknown>,
  ): Promise<void> {
    let appendedMs = 0;
    this.mesh.log.log.onAppend('config', () => {
      appendedMs = performance.now();
    });
    const enforced = waitUntil(async () => {
      const probes = this.mesh.probes();
      const versions = await Promise.all(probes.map(p => p.version()));
      return versions.every(at => at !== undefined && at >= version);
    }, CONVERGENCE_TIMEOUT_MS);
    const enforcedMs = enforced.then(() => performance.now());
    await publish();
    this.convergenceMs.push((await enforcedMs) - appendedMs);
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

  private async runReadCommands(): Promise<void> {
    for (const command of ['status', 'servers', 'calls', 'history', 'show']) {
      await this.cli(command);
      await this.cli(command, '--json');
    }
    const {out} = await this.cli('calls');
    this.print(`\n${out}\n`);
  }

  private async collectRows(): Promise<void> {
    const {mesh, watch, convergenceMs, drain} = this;
    const config = await buildConfigRows(mesh, NEWEST_VERSION, {
      stepsBack: watch.stepsBack.length,
      slowestMs: Math.max(...convergenceMs),
    });
    const calls = buildCallRows(this.caller.calls, mesh.ledger, drain);
    this.rows.push(...config, ...calls);
  }

  private async shutDown(): Promise<void> {
    this.watch.stop();
    await this.caller.close();
    const codes = await this.mesh.close();
    const failed = Object.values(codes).filter(code => code !== 0).length;
    this.rows.push(
      ...buildControlRows(this.mesh, performance.now() - this.startedMs),
    );
    this.rows.push(
      createCountCheck('nodes that did not end with 0', failed, 0),
    );
    await rm(this.filesDirectory, {recursive: true, force: true});
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
